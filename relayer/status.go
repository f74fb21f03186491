package relayer

import (
	"time"

	"carobthread"
)

// SourcePlatform is the source of objects that this host read itself.
const SourcePlatform = "platform"

// Status is what operators see of the propagation on one host.
type Status struct {
	Ready   bool   `json:"ready"`
	Source  string `json:"source"`
	Highest uint64 `json:"highest"`
	Objects int    `json:"objects"`
	// AgeMicros is the time since the state was last known to be what the platform holds, or -1 if it never was.
	AgeMicros int64 `json:"age-us"`
	Reader    bool  `json:"reader"`
	// PlatformFailures counts failed watches in a row on a reader.
	PlatformFailures int `json:"platform-failures"`
}

// Status returns the state at the time of the last event.
func (relayer *Relayer) Status() Status {
	age := time.Duration(-1)
	if relayer.fresh > 0 {
		age = relayer.now.Sub(relayer.fresh) / time.Microsecond
	}
	return Status{
		Ready: relayer.start.ready, Source: relayer.source, Highest: relayer.state.highest, Objects: relayer.state.Len(),
		AgeMicros: int64(age), Reader: relayer.rank() >= 0, PlatformFailures: relayer.reader.index.failures,
	}
}

// Ready reports whether the host has a state to serve with.
func (relayer *Relayer) Ready() bool { return relayer.start.ready }

// Readers returns the readers of a data centre as this host sees them, the first in charge first.
func (relayer *Relayer) Readers(centre string) []string { return relayer.roles.Readers(centre) }

// View returns the hosts as the tracker sees them now.
func (relayer *Relayer) View() carobthread.View { return relayer.tracked.View() }
