package estimator

import (
	"maps"
	"slices"
	"time"
)

// Load is the control traffic of a span of virtual time.
type Load struct {
	Span time.Duration `json:"span-ns"`
	// BytesPerHost and MessagesPerHost count both directions, per second and host.
	BytesPerHost    float64 `json:"bytes-per-host"`
	MessagesPerHost float64 `json:"messages-per-host"`
	// MostBytes is the busiest host's bytes per second.
	MostBytes float64 `json:"most-bytes"`
	// PlatformCalls and PlatformBytes are per second of the whole fleet.
	PlatformCalls float64 `json:"platform-calls"`
	PlatformBytes float64 `json:"platform-bytes"`
	// Kinds are the bytes per second and host by method, ordered by name.
	Kinds []KindLoad `json:"kinds"`
}

// KindLoad is the part of one method.
type KindLoad struct {
	Method       string  `json:"method"`
	BytesPerHost float64 `json:"bytes-per-host"`
}

// ResetTraffic begins a new span of the load.
func (fleet *Fleet) ResetTraffic() {
	for _, node := range fleet.nodes {
		node.resetTraffic()
	}
	fleet.platform.calls, fleet.platform.bytes = 0, 0
	fleet.measuredFrom = fleet.now
}

// Load returns the traffic since ResetTraffic.
func (fleet *Fleet) Load() Load {
	span := fleet.now.Sub(fleet.measuredFrom)
	seconds := span.Seconds()
	hostSeconds := seconds * float64(len(fleet.nodes))
	load := Load{
		Span: span, PlatformCalls: float64(fleet.platform.calls) / seconds, PlatformBytes: float64(fleet.platform.bytes) / seconds,
	}
	kinds := map[string]int64{}
	for _, node := range fleet.nodes {
		load.BytesPerHost += float64(node.traffic.Bytes) / hostSeconds
		load.MessagesPerHost += float64(node.traffic.Messages) / hostSeconds
		load.MostBytes = max(load.MostBytes, float64(node.traffic.Bytes)/seconds)
		for kind, bytes := range node.traffic.Kinds {
			kinds[kind] += bytes
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		load.Kinds = append(load.Kinds, KindLoad{Method: kind, BytesPerHost: float64(kinds[kind]) / hostSeconds})
	}
	return load
}
