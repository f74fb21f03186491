package executor

// Stats holds counters since the start of the process, followed by gauges of the current state.
type Stats struct {
	Reserved        uint64 `json:"reserved"`
	Attempts        uint64 `json:"attempts"`
	Retried         uint64 `json:"retried"`
	PermitsRefused  uint64 `json:"permits-refused"`
	Joined          uint64 `json:"joined"`     // Execute calls that waited for a running execution of the same key
	Repeated        uint64 `json:"repeated"`   // Execute calls answered at once with the outcome of a used key
	Mismatched      uint64 `json:"mismatched"` // Execute calls with a different service or payload than the first one
	Revoked         uint64 `json:"revoked"`
	Forwarded       uint64 `json:"forwarded"`
	UnknownForwards uint64 `json:"unknown-forwards"`
	Done            uint64 `json:"done"`
	NotRun          uint64 `json:"not-run"`
	Unknown         uint64 `json:"unknown"`
	Dropped         uint64 `json:"dropped"` // ends of attempts and forwards that had no effect
	Expired         uint64 `json:"expired"` // keys removed from the table

	Keys     int  `json:"keys"`
	Bytes    int  `json:"bytes"`
	Running  int  `json:"running"`
	Forwards int  `json:"forwards"`
	Draining bool `json:"draining"`
}

// Stats returns the counters and the current gauges.
func (executor *Executor) Stats() Stats {
	stats := executor.stats
	stats.Keys = len(executor.table.entries)
	stats.Bytes = executor.table.bytes
	stats.Running = len(executor.running)
	stats.Forwards = len(executor.forwards)
	stats.Draining = executor.draining
	return stats
}

func (executor *Executor) countOutcome(status Status) {
	switch status {
	case StatusDone:
		executor.stats.Done++
	case StatusNotRun:
		executor.stats.NotRun++
	case StatusUnknown:
		executor.stats.Unknown++
	}
}
