package relayer

import (
	"time"

	"carobthread"
)

// SourcePlatform is the source name of objects that this host read from the platform.
const SourcePlatform = "platform"

// Status is the state of the propagation on one host, for operators.
type Status struct {
	Ready   bool   `json:"ready"`
	Source  string `json:"source"`
	Highest uint64 `json:"highest"`
	Objects int    `json:"objects"`
	// AgeMicros is the time since the state was last known to match the platform, or -1 if it never was.
	AgeMicros int64 `json:"age-us"`
	Reader    bool  `json:"reader"`
	// PlatformFailures is the number of consecutive failed watches of the index on a reader.
	PlatformFailures int `json:"platform-failures"`
}

// Status returns the state at the time of the last event.
func (relayer *Relayer) Status() Status {
	age := time.Duration(-1)
	if relayer.confirmedAt > 0 {
		age = relayer.now.Sub(relayer.confirmedAt) / time.Microsecond
	}
	return Status{
		Ready: relayer.start.ready, Source: relayer.source, Highest: relayer.state.highest, Objects: relayer.state.Len(),
		AgeMicros: int64(age), Reader: relayer.rank() >= 0, PlatformFailures: relayer.reader.index.failures,
	}
}

// Ready reports whether the host has a configuration to serve with.
func (relayer *Relayer) Ready() bool { return relayer.start.ready }

// Readers returns the readers of a data centre according to this host's view, in order of rank.
func (relayer *Relayer) Readers(centre string) []string { return relayer.roles.Readers(centre) }

// View returns the current view of the tracker.
func (relayer *Relayer) View() carobthread.View { return relayer.membership.View() }
