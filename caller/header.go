package caller

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"carobthread"
)

// maxKeepAlive bounds the idle time that a searcher states for its connections, in seconds; longer ones make no difference.
const maxKeepAlive = 24 * 60 * 60

// maxRetryAfter bounds the time for which a searcher can refuse all requests of this host.
const maxRetryAfter = time.Hour

// Numbers of fields in a load.
const (
	loadFields     = 3
	slownessFields = 4
)

// parseLoad parses "running,waiting,slots" with or without ",slowness"; it returns nil for any other form, and bounds each
// number. A slowness that is not a positive number is ignored.
func parseLoad(text string) *carobthread.Load {
	fields := strings.Split(text, ",")
	if len(fields) != loadFields && len(fields) != slownessFields {
		return nil
	}
	numbers := [loadFields]int{}
	for i, field := range fields[:loadFields] {
		number, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || number < 0 {
			return nil
		}
		numbers[i] = min(number, math.MaxInt32) // sums of them must not overflow
	}
	load := &carobthread.Load{Running: numbers[0], Queued: numbers[1], Slots: numbers[2]}
	if len(fields) == slownessFields {
		if slowness, err := strconv.ParseFloat(strings.TrimSpace(fields[loadFields]), 64); err == nil && slowness > 0 {
			load.Slowness = int(min(slowness, math.MaxInt32))
		}
	}
	return load
}

// parseRateLimit parses a positive decimal number of requests per second; it returns 0, which means no limit, for any other
// text.
func parseRateLimit(text string) float64 {
	limit, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(limit > 0) || math.IsInf(limit, 0) {
		return 0
	}
	return limit
}

// parseRetryAfter parses a time in seconds, with or without a fraction; it returns 0 for any other text.
func parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// keepAliveExpiry returns when the searcher's Keep-Alive header forbids further use of the connection, or 0 without one.
func (caller *HTTPCaller) keepAliveExpiry(header http.Header) carobthread.Instant {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return caller.options.Timer.Now().Add(max(time.Millisecond, time.Duration(min(max(seconds, 0), maxKeepAlive))*time.Second-keepAliveMargin))
		}
	}
	return 0
}

// isHopByHop reports whether a header applies to a single connection only.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// EndToEndHeader returns a copy of the header without hop-by-hop headers, including those that Connection lists.
func EndToEndHeader(header http.Header) http.Header {
	kept := make(http.Header, len(header))
	connectionTokens := header.Values("Connection")
	for name, values := range header {
		if !isHopByHop(name) && !containsToken(connectionTokens, name) {
			kept[name] = values
		}
	}
	return kept
}

func containsToken(lists []string, name string) bool {
	for _, list := range lists {
		for _, item := range strings.Split(list, ",") {
			if strings.EqualFold(strings.TrimSpace(item), name) {
				return true
			}
		}
	}
	return false
}
