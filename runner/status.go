package runner

import (
	"encoding/json"
	"net/http"

	"carobthread/executor"
	"carobthread/gatherer"
	"carobthread/messenger"
	"carobthread/server"
	"carobthread/watcher"
)

// Status is what operators see of one host.
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
	// PeersRefused counts peer connections that were closed for their hello.
	PeersRefused int64 `json:"peers-refused"`
}

// Status returns what operators see.
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
		PeersRefused: host.messenger.Meter().Refused(),
	}
}

func (host *Runner) serveStatus(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(writer).Encode(host.Status()); err != nil {
		host.logger.Warn().Err(err).Msg("status page not written")
	}
}

// reportStats turns the counts of the parts into metrics.
func (host *Runner) reportStats() {
	status := host.Status()
	for part, stats := range map[string]any{
		"queries":       status.Queries,
		"keys":          status.Keys,
		"platform":      status.Platform,
		"propagation":   status.Control.Propagation,
		"configuration": status.Control.Configuration,
	} {
		if err := host.meter.Gauges(part, stats); err != nil {
			host.logger.Warn().Err(err).Msg("metrics not reported")
		}
	}
	for _, count := range status.Peers {
		host.meter.PeerTraffic(count.Kind, string(count.Direction), count.Messages, count.Bytes)
	}
}
