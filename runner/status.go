package runner

import (
	"encoding/json"
	"net/http"

	"github.com/rs/zerolog"

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
	writeStatus(writer, host.Status(), host.logger)
}

// FrontStatus is what operators see of one host that forwards plain HTTP requests.
type FrontStatus struct {
	Host       string `json:"host"`
	DataCentre string `json:"data-centre"`
	Ready      bool   `json:"ready"`
	Stopping   bool   `json:"stopping"`
	// CutOff names the data centres that answer nothing while callers are better served by hosts elsewhere.
	CutOff    []string              `json:"cut-off,omitempty"`
	Directory server.DirectoryStats `json:"directory"`
	Queries   gatherer.Stats        `json:"queries"`
	Peers     []messenger.Count     `json:"peers"`
}

// Status returns what operators see.
func (host *Front) Status() FrontStatus {
	cutOff := host.search.CutOff()
	return FrontStatus{
		Host:       host.settings.Host.Name,
		DataCentre: host.settings.Host.DataCentre,
		Ready:      host.accepts(cutOff),
		Stopping:   host.stopping.Load(),
		CutOff:     cutOff,
		Directory:  host.directory.Stats(),
		Queries:    host.search.Stats(),
		Peers:      host.messenger.Meter().Counts(),
	}
}

// accepts reports whether the balancer may send callers here; it sends them elsewhere while data centres are cut off.
func (host *Front) accepts(cutOff []string) bool {
	return host.ready.Load() && !host.stopping.Load() && len(cutOff) == 0
}

func (host *Front) serveStatus(writer http.ResponseWriter, _ *http.Request) {
	writeStatus(writer, host.Status(), host.logger)
}

func writeStatus(writer http.ResponseWriter, status any, logger zerolog.Logger) {
	writer.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(writer).Encode(status); err != nil {
		logger.Warn().Err(err).Str("event", "status-failed").Msg("status page not written")
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
