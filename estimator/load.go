package estimator

import (
	"maps"
	"slices"
	"time"
)

// Load is the control traffic over a span of virtual time.
type Load struct {
	Span time.Duration `json:"span-ns"`
	// BytesPerHost and MessagesPerHost are per second and host, sent and received.
	BytesPerHost    float64 `json:"bytes-per-host"`
	MessagesPerHost float64 `json:"messages-per-host"`
	// BusiestHostBytes is the bytes per second of the host with the most traffic.
	BusiestHostBytes float64 `json:"most-bytes"`
	// PlatformCalls and PlatformBytes are per second, for the whole fleet.
	PlatformCalls float64 `json:"platform-calls"`
	PlatformBytes float64 `json:"platform-bytes"`
	// BytesByMethod splits BytesPerHost by method, ordered by name.
	BytesByMethod []MethodLoad `json:"kinds"`
}

// MethodLoad is the traffic of one method, per second and host.
type MethodLoad struct {
	Method       string  `json:"method"`
	BytesPerHost float64 `json:"bytes-per-host"`
}

// ResetTraffic resets the traffic counters; the next Load starts from here.
func (fleet *Fleet) ResetTraffic() {
	for _, node := range fleet.nodes {
		node.resetTraffic()
	}
	fleet.platform.calls, fleet.platform.bytes = 0, 0
	fleet.trafficSince = fleet.now
}

// Load returns the traffic since ResetTraffic.
func (fleet *Fleet) Load() Load {
	span := fleet.now.Sub(fleet.trafficSince)
	seconds := span.Seconds()
	hostSeconds := seconds * float64(len(fleet.nodes))
	load := Load{
		Span: span, PlatformCalls: float64(fleet.platform.calls) / seconds, PlatformBytes: float64(fleet.platform.bytes) / seconds,
	}
	totals := map[string]int64{}
	for _, node := range fleet.nodes {
		load.BytesPerHost += float64(node.traffic.Bytes) / hostSeconds
		load.MessagesPerHost += float64(node.traffic.Messages) / hostSeconds
		load.BusiestHostBytes = max(load.BusiestHostBytes, float64(node.traffic.Bytes)/seconds)
		for method, bytes := range node.traffic.BytesByMethod {
			totals[method] += bytes
		}
	}
	for _, method := range slices.Sorted(maps.Keys(totals)) {
		load.BytesByMethod = append(load.BytesByMethod, MethodLoad{Method: method, BytesPerHost: float64(totals[method]) / hostSeconds})
	}
	return load
}
