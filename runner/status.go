package runner

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"carobthread/delegator"
	"carobthread/executor"
	"carobthread/gatherer"
	"carobthread/limiter"
	"carobthread/messenger"
	"carobthread/server"
	"carobthread/watcher"
)

// Status is the content of a host's status page for operators.
type Status struct {
	Host       string               `json:"host"`
	DataCentre string               `json:"data-centre"`
	Ready      bool                 `json:"ready"`
	Stopping   bool                 `json:"stopping"`
	Control    server.ControlStatus `json:"control"`
	Queries    gatherer.Stats       `json:"queries"`
	Keys       executor.Stats       `json:"keys"`
	Platform   watcher.Stats        `json:"platform"`
	Peers      []messenger.Count    `json:"peers"`
	// PeersRefused counts the peer connections that were closed because of their hello message.
	PeersRefused int64 `json:"peers-refused"`
}

// Status returns the current state of the host.
func (host *Runner) Status() Status {
	return Status{
		Host:         host.settings.Host.Name,
		DataCentre:   host.settings.Host.DataCentre,
		Ready:        host.Ready(),
		Stopping:     host.stopping.Load(),
		Control:      host.control.Status(),
		Queries:      host.search.Stats(),
		Keys:         host.execution.Stats(),
		Platform:     host.watcher.Stats(),
		Peers:        host.messenger.Meter().Counts(),
		PeersRefused: host.messenger.Meter().RefusedLinks(),
	}
}

func (host *Runner) serveStatus(writer http.ResponseWriter, _ *http.Request) {
	writeStatus(writer, host.Status(), host.logger)
}

const bitsPerMegabit = 1e6

// ForwardingStatus is the content of the status page of a host that forwards plain HTTP requests.
type ForwardingStatus struct {
	Host       string `json:"host"`
	DataCentre string `json:"data-centre"`
	Ready      bool   `json:"ready"`
	Stopping   bool   `json:"stopping"`
	// CutOff lists the data centres that do not answer while hosts elsewhere can serve callers better.
	CutOff []string `json:"cut-off,omitempty"`
	// Evacuated lists the data centres that the operator evacuates.
	Evacuated []EvacuationStatus    `json:"evacuated,omitempty"`
	Directory server.DirectoryStats `json:"directory"`
	Queries   gatherer.Stats        `json:"queries"`
	// Queues describes the attempts that wait for slots, by service.
	Queues []gatherer.ServiceQueue `json:"queues"`
	// Memory is what the host holds for callers and searchers; without a memory limit, nothing is counted.
	Memory limiter.MemoryStats `json:"memory"`
	// Capacity is the number of processors that the host may use in effect, and LinkMbps the bandwidth of its link, or 0.
	Capacity float64 `json:"capacity,omitempty"`
	LinkMbps float64 `json:"link-mbps,omitempty"`
	// Delegation describes the queries that this host hands to coordinators, Coordination those that it coordinates for others.
	Delegation   delegator.Stats          `json:"delegation"`
	Coordination server.CoordinationStats `json:"coordination"`
	Peers        []messenger.Count        `json:"peers"`
}

// EvacuationStatus is an operator's request to evacuate a data centre.
type EvacuationStatus struct {
	DataCentre string `json:"data-centre"`
	// Revision is the store's revision of the request, LearnedAt the time when this host learned of it.
	Revision  uint64    `json:"revision"`
	LearnedAt time.Time `json:"learned-at"`
	// Complete is set once no attempt is sent there any more.
	Complete bool `json:"complete"`
}

func (host *ForwardingHost) evacuations() []EvacuationStatus {
	var evacuations []EvacuationStatus
	for _, evacuation := range host.directory.Evacuations() {
		evacuations = append(evacuations, EvacuationStatus{
			DataCentre: evacuation.DataCentre, Revision: evacuation.Revision, LearnedAt: evacuation.LearnedAt.Time(),
			Complete: host.timer.Now() >= evacuation.CompleteAt,
		})
	}
	return evacuations
}

// Status returns the current state of the host.
func (host *ForwardingHost) Status() ForwardingStatus {
	cutOff := host.observer().CutOffDataCentres()
	return ForwardingStatus{
		Host:       host.settings.Host.Name,
		DataCentre: host.settings.Host.DataCentre,
		Ready:      host.acceptsCallers(cutOff),
		Stopping:   host.stopping.Load(),
		CutOff:     cutOff,
		Evacuated:  host.evacuations(),
		Directory:  host.directory.Stats(),
		Queries:    host.search.Stats(),
		Queues:     host.search.Queues(),
		Memory:     host.accountant.Stats(),
		Capacity:   host.settings.Runtime.Capacity(),
		LinkMbps:   host.settings.Runtime.Link / bitsPerMegabit,

		Delegation:   host.delegation.Stats(),
		Coordination: host.coordination.Stats(),
		Peers:        host.messenger.Meter().Counts(),
	}
}

// acceptsCallers reports whether the balancer may send callers to this host; it sends them elsewhere while data centres are
// cut off, as this host or the coordinators of its queries have found.
func (host *ForwardingHost) acceptsCallers(cutOff []string) bool {
	return host.ready.Load() && !host.stopping.Load() && len(cutOff) == 0
}

func (host *ForwardingHost) serveStatus(writer http.ResponseWriter, _ *http.Request) {
	writeStatus(writer, host.Status(), host.logger)
}

func writeStatus(writer http.ResponseWriter, status any, logger zerolog.Logger) {
	writer.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(writer).Encode(status); err != nil {
		logger.Warn().Err(err).Str("event", "status-failed").Msg("cannot write the status page")
	}
}

// reportStats exports the statistics of the components as metrics.
func (host *Runner) reportStats() {
	status := host.Status()
	for component, stats := range map[string]any{
		"queries":       status.Queries,
		"keys":          status.Keys,
		"platform":      status.Platform,
		"propagation":   status.Control.Propagation,
		"configuration": status.Control.Configuration,
	} {
		if err := host.meter.Gauges(component, stats); err != nil {
			host.logger.Warn().Err(err).Msg("cannot report the metrics")
		}
	}
	for _, count := range status.Peers {
		host.meter.PeerTraffic(count.Kind, string(count.Direction), count.Messages, count.Bytes)
	}
}
