package carobthread

import "time"

// ServiceKind states what a service's requests do.
type ServiceKind string

// The kinds of services.
const (
	// KindSearch services answer queries from their shards and may repeat attempts.
	KindSearch ServiceKind = "search"
	// KindExecute services run requests that may not be repeated.
	KindExecute ServiceKind = "execute"
)

// Preference states whether a search service favours latency or coverage when shards are late.
type Preference string

// The preferences of a search service.
const (
	// LatencyFirst answers at the soft deadline once the coverage floor is met.
	LatencyFirst Preference = "latency-first"
	// CoverageFirst waits for all shards until the hard deadline.
	CoverageFirst Preference = "coverage-first"
)

// Service is the configuration of one service; deadlines are relative to the arrival of a request.
type Service struct {
	Name              string        `json:"name"`
	Kind              ServiceKind   `json:"kind"`
	Preference        Preference    `json:"preference"`
	SoftDeadline      time.Duration `json:"soft-deadline"`
	HardDeadline      time.Duration `json:"hard-deadline"`
	CoverageFloor     float64       `json:"coverage-floor"`
	HedgeQuantile     float64       `json:"hedge-quantile"`
	ExtraAttemptRatio float64       `json:"extra-share"`
	MaxInFlight       int           `json:"max-in-flight"`
	MaxRequestSize    int           `json:"max-request-size"`
	MaxReplySize      int           `json:"max-reply-size"`
	Layout            uint32        `json:"layout"`
	// MaxSearchers bounds the number of searchers that a query is sent to for each shard; 0 means the core's default.
	MaxSearchers int `json:"max-attempts,omitempty"`
	// HedgeDelay is the time after which an attempt counts as late while no latencies are known. Once they are
	// known, it caps the time derived from them; twice the median latency is the cap if that is greater. With 0 there is no
	// cap.
	HedgeDelay time.Duration `json:"hedge-delay,omitempty"`
	// Priority orders services whose attempts wait for the same slots; 0 is the highest.
	Priority float64 `json:"rank,omitempty"`
	// AtMostOnce is set if a request may run at most once: no attempt follows one that may have run.
	AtMostOnce bool `json:"once,omitempty"`
	// FloorRequired makes an answer below the coverage floor a failure, returned as soon as the floor cannot be reached.
	FloorRequired bool `json:"floor-required,omitempty"`
}

// Layout is one generation of a service's shard layout: the searchers that serve each shard.
type Layout struct {
	Service    string     `json:"service"`
	Generation uint32     `json:"generation"`
	Shards     [][]string `json:"shards"`
	// Groups names the replica group of each shard if the retry budget applies per group; services may share a group.
	Groups []string `json:"groups,omitempty"`
	// Definition identifies how queries are answered from the layout: their limits and the shards, but not the searchers.
	// Generations with the same definition are interchangeable between hosts; 0 matches no other one.
	Definition uint64 `json:"definition,omitempty"`
}

// Searcher is the configuration of one upstream process.
type Searcher struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	DataCentre  string `json:"data-centre"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Leaving     bool   `json:"leaving"`
	// Evacuated is set if the operator evacuates the searcher's data centre. Attempts move away between EvacuationStart and
	// EvacuationEnd; from then on none is sent.
	Evacuated       bool    `json:"evacuated,omitempty"`
	EvacuationStart Instant `json:"evacuation-start,omitempty"`
	EvacuationEnd   Instant `json:"evacuation-end,omitempty"`
	// Instance identifies the only process that may run a request, for searchers whose addresses are reused.
	Instance string `json:"instance,omitempty"`
	// Cold states what is known of the searcher's cold time; the zero value sets no limit.
	Cold ColdState `json:"cold,omitzero"`
}

// ColdState states how much a searcher can take while it is cold, and until when it is.
type ColdState struct {
	// Limit is the number of requests that the searcher may receive in any second from all hosts together; 0 means that it
	// needs no protection.
	Limit float64 `json:"limit"`
	// Span is how long the searcher stays cold after its start.
	Span time.Duration `json:"span"`
	// Started is the time of the searcher's start by its own clock, or 0 if not stated.
	Started Instant `json:"started,omitempty"`
	// Left is the rest of the cold time that the searcher stated in its heartbeat with this sequence number.
	Left      time.Duration `json:"left,omitempty"`
	Heartbeat int64         `json:"heartbeat,omitempty"`
}

// ColdRule states by how much a cold searcher's requests in any one second may exceed the number that it can take.
type ColdRule struct {
	// Over is the factor, Slack the number of requests in addition.
	Over  float64
	Slack float64
}

// EvacuatedAt reports whether the evacuation of the searcher's data centre is complete, so that it is sent nothing more.
func (searcher *Searcher) EvacuatedAt(now Instant) bool {
	return searcher.Evacuated && now >= searcher.EvacuationEnd
}

// Config is the complete active configuration; slices are ordered by name so that iteration is deterministic.
type Config struct {
	Services  []Service  `json:"services"`
	Layouts   []Layout   `json:"layouts"`
	Searchers []Searcher `json:"searchers"`
	// RetryBudget bounds the extra attempts at each replica group; with the zero value only the budgets of services apply.
	RetryBudget RetryBudget `json:"retry-budget,omitzero"`
}

// RetryBudget bounds the attempts beyond the first at one replica group, summed over all entry hosts, in a sliding window.
type RetryBudget struct {
	// Ratio is the number of extra attempts per query, and Slack a fixed number per Window allowed in addition.
	Ratio  float64       `json:"ratio"`
	Slack  float64       `json:"slack"`
	Window time.Duration `json:"window"`
}

// Service returns the service with the given name.
func (config *Config) Service(name string) (*Service, bool) {
	for i := range config.Services {
		if config.Services[i].Name == name {
			return &config.Services[i], true
		}
	}
	return nil, false
}

// Layout returns the layout with the given service and generation.
func (config *Config) Layout(service string, generation uint32) (*Layout, bool) {
	for i := range config.Layouts {
		layout := &config.Layouts[i]
		if layout.Service == service && layout.Generation == generation {
			return layout, true
		}
	}
	return nil, false
}

// Searcher returns the searcher with the given name.
func (config *Config) Searcher(name string) (*Searcher, bool) {
	for i := range config.Searchers {
		if config.Searchers[i].Name == name {
			return &config.Searchers[i], true
		}
	}
	return nil, false
}

// DrainHoldTime is how long a searcher counts as draining despite later reports that it is not, because reports lag.
const DrainHoldTime = 5 * time.Second

// ObjectID names a configuration object, such as "service/matching" or "layout/matching/3".
type ObjectID string

// Object is one published configuration object; exactly one of the pointers is set.
type Object struct {
	ID       ObjectID  `json:"id"`
	Ticket   uint64    `json:"ticket"`
	Service  *Service  `json:"service,omitempty"`
	Layout   *Layout   `json:"layout,omitempty"`
	Searcher *Searcher `json:"searcher,omitempty"`
}

// Ticket is a numbered configuration change with the complete new state of every object that it changes.
type Ticket struct {
	Number  uint64   `json:"number"`
	Objects []Object `json:"objects"`
}

// Incarnation identifies one run of a host's process; a later start has a higher incarnation.
type Incarnation struct {
	Start  Instant `json:"start"`
	Random uint64  `json:"random"`
}

// Less reports whether this incarnation started before the other.
func (incarnation Incarnation) Less(other Incarnation) bool {
	if incarnation.Start != other.Start {
		return incarnation.Start < other.Start
	}
	return incarnation.Random < other.Random
}

// HostState states whether a host accepts new work.
type HostState string

// The states of a host in a view.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
	HostSuspect HostState = "suspect"
	// HostGone hosts have been silent for a long time; they have no role but may reconnect.
	HostGone HostState = "gone"
)

// Host is one entry host as seen by another host.
type Host struct {
	Name        string      `json:"name"`
	DataCentre  string      `json:"data-centre"`
	PeerAddress string      `json:"peer-address"`
	Incarnation Incarnation `json:"incarnation"`
	State       HostState   `json:"state"`
	// Capacity is the number of processors that the host may use in effect, or 0 if it does not state one.
	Capacity float64 `json:"capacity,omitempty"`
}

// View is the set of entry hosts known to a host, ordered by name.
type View struct {
	Self  string `json:"self"`
	Hosts []Host `json:"hosts"`
}
