package carobthread

import "time"

// Settings are the settings of one daemon process; all addresses are IP:PORT.
type Settings struct {
	Host     HostSettings
	Platform PlatformSettings
	Store    StoreSettings
	Forward  ForwardSettings
	Runtime  RuntimeSettings
	Peers    PeerSettings
	Limits   LimitSettings
	Stop     StopSettings
	Trace    TraceSettings
	Log      LogSettings
}

// HostSettings is section [host], which is required; for port 0 in an address the host listens on any free port.
type HostSettings struct {
	// Name is the key name, the host's unique name in the system.
	Name string
	// DataCentre is the key data-centre.
	DataCentre string
	// CallerAddress is the key caller-address, where callers connect.
	CallerAddress string
	// PeerAddress is the key peer-address, where the other hosts connect.
	PeerAddress string
	// OperatorAddress is the key operator-address, for metrics, health and status.
	OperatorAddress string
}

// PlatformSettings is section [platform], which is required unless there is a section [store].
type PlatformSettings struct {
	// Address is the key address, the HTTP address of the configuration service.
	Address string
}

// StoreSettings is section [store]; with it, the host forwards plain HTTP requests as configured in the platform's store.
type StoreSettings struct {
	// Address is the key address, the HTTP address of the platform's store.
	Address string
	// Freshness is the key freshness: the target for the maximum age of a host's copy of the store while the store
	// responds, default 3s, 500ms to 1m. The intervals of reads and exchanges depend on it.
	Freshness time.Duration
	// EvacuationBound is the key evacuation-bound: the time after an operator's request to evacuate a data centre from which
	// no attempt may reach a searcher there, 500ms to 1m. By default there is no bound; then all attempts avoid the data
	// centre as soon as the host learns of the request.
	EvacuationBound time.Duration
}

// MaxCopyAge returns the maximum age of a host's copy of the store, which the stricter of the two bounds determines.
func (settings *StoreSettings) MaxCopyAge() time.Duration {
	if settings.EvacuationBound == 0 {
		return settings.Freshness
	}
	return min(settings.Freshness, settings.EvacuationBound)
}

// ForwardSettings is section [forward] for plain HTTP forwarding, which is optional.
type ForwardSettings struct {
	// ReadyAddress is the key ready-address, where the load balancer requests GET /readyz; default operator-address.
	ReadyAddress string
	// RetryRatio is the key retry-ratio: the extra attempts per request that all entry hosts together may send to a replica
	// group, default 0.2, 0 to 10.
	RetryRatio float64
	// RetrySlack is the key retry-slack: the extra attempts allowed per window in addition to the ratio, default 0, 0 to
	// 1000000.
	RetrySlack float64
	// RetryWindow is the key retry-window, the sliding window of RetryRatio and RetrySlack, default 10s, 100ms to 10m.
	RetryWindow time.Duration
	// ColdOver is the key cold-over: the factor by which the requests that reach a cold searcher in one second, from all entry
	// hosts together, may exceed what it can take, default 1.5, 1 to 100.
	ColdOver float64
	// ColdSlack is the key cold-slack: the requests per second allowed in addition, default 5, 0 to 1000000.
	ColdSlack float64
}

// RuntimeSettings is section [runtime], which is optional.
type RuntimeSettings struct {
	// Processors is the key processors, the value of GOMAXPROCS, rounded down, default that of the Go runtime, 1
	// to 1024.
	Processors int
	// Memory is the key memory, the memory limit of the process in bytes, which it must not reach, default none, 16MB to
	// 1048576MB.
	Memory int
	// ProcessorShare is the key processor-share, the share of each processor that the process may use, default none, 0 to 1024.
	ProcessorShare float64
	// Link is the key link, the bandwidth of the host's network link in bits per second, default none, 0 to 10000000Mbps.
	Link float64
}

// Capacity returns the number of processors that the host may use in effect, or 0 if the settings do not state both the
// processors' share and the link.
func (settings *RuntimeSettings) Capacity() float64 {
	if settings.ProcessorShare <= 0 || settings.Link <= 0 {
		return 0
	}
	return float64(max(1, settings.Processors)) * settings.ProcessorShare
}

// PeerSettings is section [peers], which is optional.
type PeerSettings struct {
	// Addresses is the key addresses: seed peers separated by commas, each NAME=IP:PORT or IP:PORT; default none.
	Addresses []SeedPeer
}

// SeedPeer is a peer known from the settings; Name may be empty, because the peer states its name in the hello message.
type SeedPeer struct {
	Name    string
	Address string
}

// LimitSettings is section [limits], which is optional.
type LimitSettings struct {
	// MaxRequestSize is the key max-request-size in bytes, default 64KB, 1KB to 16MB.
	MaxRequestSize int
	// MaxReplySize is the key max-reply-size in bytes, default 1MB, 1KB to 64MB.
	MaxReplySize int
	// MaxHeaderSize is the key max-header-size in bytes, default 16KB, 1KB to 1MB.
	MaxHeaderSize int
	// ReadTimeout is the key read-timeout for one request of a caller, default 5s, 10ms to 5m.
	ReadTimeout time.Duration
	// IdleTimeout is the key idle-timeout of a caller's connection, default 2m, 100ms to 1h.
	IdleTimeout time.Duration
	// MaxKeys is the key max-keys, the maximum entries of the idempotency key table, default 100000, 1 to 10000000.
	MaxKeys int
	// MaxKeyBytes is the key max-key-bytes, the maximum bytes of the idempotency key table, default 64MB, 4KB to 1024MB.
	MaxKeyBytes int
	// KeyExpiry is the key key-expiry, the lifetime of a reserved idempotency key, default 10m, 1s to 24h.
	KeyExpiry time.Duration
}

// StopSettings is section [stop], which is optional.
type StopSettings struct {
	// Grace is the key grace, the time for the load balancer to notice that the host is not ready, default 3s, 0s to 5m.
	Grace time.Duration
	// Limit is the key limit, the maximum duration of a stop, after which the process ends, default 30s, 100ms to 1h;
	// it must exceed Grace.
	Limit time.Duration
}

// TraceSettings is section [trace], which is optional; an empty value disables the trace.
type TraceSettings struct {
	// Spans is the key spans: a file path or the HTTP URL of an OTLP endpoint on an IP address; default none.
	Spans string
	// Events is the key events: a file path for the decision trace; default none.
	Events string
}

// LogSettings is section [log], which is optional.
type LogSettings struct {
	// Level is the key level: debug, info, warn or error; default info.
	Level string
}
