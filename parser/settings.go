package parser

import (
	"fmt"
	"net/netip"
	"net/url"
	"path/filepath"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"carobthread"
)

// Ranges and defaults of the settings. Sizes and memory are in bytes.
const (
	megabyte           = 1 << 20
	kilobyte           = 1 << 10
	maxRequestSize     = 16 * megabyte
	maxReplySize       = 64 * megabyte
	maxKeyTableEntries = 10_000_000
	maxKeyTableSize    = 1024 * megabyte
	maxStopDuration    = time.Hour
	maxRetryRatio      = 10
	maxRetrySlack      = 1e6
	maxColdOver        = 100
	maxColdSlack       = 1e6
	maxProcessors      = 1024
	minMemory          = 16 * megabyte
	maxMemory          = 1 << 40
	maxLinkMbps        = 1e7
	defaultRequestSize = 64 * kilobyte
	defaultReplySize   = megabyte
)

// DefaultSettings returns the defaults of all optional keys; the required keys are empty.
func DefaultSettings() carobthread.Settings {
	return carobthread.Settings{
		Limits: carobthread.LimitSettings{
			MaxRequestSize: defaultRequestSize,
			MaxReplySize:   defaultReplySize,
			MaxHeaderSize:  16 * kilobyte,
			ReadTimeout:    5 * time.Second,
			IdleTimeout:    2 * time.Minute,
			MaxKeys:        100_000,
			MaxKeyBytes:    64 * megabyte,
			KeyExpiry:      10 * time.Minute,
		},
		Store:   carobthread.StoreSettings{Freshness: 3 * time.Second},
		Forward: carobthread.ForwardSettings{RetryRatio: 0.2, RetryWindow: 10 * time.Second, ColdOver: 1.5, ColdSlack: 5},
		Stop:    carobthread.StopSettings{Grace: 3 * time.Second, Limit: 30 * time.Second},
		Log:     carobthread.LogSettings{Level: "info"},
	}
}

// Settings parses a settings file; settings with findings must not be used.
func Settings(file string, content []byte) (carobthread.Settings, carobthread.Findings) {
	doc := scan(file, content)
	settings := DefaultSettings()
	doc.settings(&settings)
	return settings, sortFindings(doc.findings)
}

func (doc *document) settings(settings *carobthread.Settings) {
	fieldsBySection := settingsFields(settings)
	for _, current := range doc.sections {
		fields, known := fieldsBySection[current.name]
		if !known {
			doc.report(current.pos, "unknown section [%s]", current.name)
			continue
		}
		doc.read(current, fields...)
	}
	if doc.section("store") == nil {
		doc.requireSections("host", "platform")
	} else {
		doc.requireSections("host")
	}
	doc.checkStop(settings.Stop)
}

func settingsFields(settings *carobthread.Settings) map[string][]field {
	host := &settings.Host
	limits := &settings.Limits
	stop := &settings.Stop
	forward := &settings.Forward
	runtime := &settings.Runtime
	return map[string][]field{
		"host": {
			required("name", name(&host.Name)),
			required("data-centre", name(&host.DataCentre)),
			required("caller-address", listenAddress(&host.CallerAddress)),
			required("peer-address", listenAddress(&host.PeerAddress)),
			required("operator-address", listenAddress(&host.OperatorAddress)),
		},
		"platform": {required("address", address(&settings.Platform.Address))},
		"store": {
			required("address", address(&settings.Store.Address)),
			optional("freshness", duration(&settings.Store.Freshness, 500*time.Millisecond, time.Minute)),
			optional("evacuation-bound", duration(&settings.Store.EvacuationBound, 500*time.Millisecond, time.Minute)),
		},
		"forward": {
			optional("ready-address", listenAddress(&forward.ReadyAddress)),
			optional("retry-ratio", share(&forward.RetryRatio, 0, maxRetryRatio)),
			optional("retry-slack", share(&forward.RetrySlack, 0, maxRetrySlack)),
			optional("retry-window", duration(&forward.RetryWindow, 100*time.Millisecond, 10*time.Minute)),
			optional("cold-over", share(&forward.ColdOver, 1, maxColdOver)),
			optional("cold-slack", share(&forward.ColdSlack, 0, maxColdSlack)),
		},
		"runtime": {
			optional("processors", roundedDown(&runtime.Processors, 1, maxProcessors)),
			optional("memory", size(&runtime.Memory, minMemory, maxMemory)),
			optional("processor-share", share(&runtime.ProcessorShare, 0, maxProcessors)),
			optional("link", bandwidth(&runtime.Link, maxLinkMbps)),
		},
		"peers": {optional("addresses", seedPeers(&settings.Peers.Addresses))},
		"limits": {
			optional("max-request-size", size(&limits.MaxRequestSize, kilobyte, maxRequestSize)),
			optional("max-reply-size", size(&limits.MaxReplySize, kilobyte, maxReplySize)),
			optional("max-header-size", size(&limits.MaxHeaderSize, kilobyte, megabyte)),
			optional("read-timeout", duration(&limits.ReadTimeout, 10*time.Millisecond, 5*time.Minute)),
			optional("idle-timeout", duration(&limits.IdleTimeout, 100*time.Millisecond, time.Hour)),
			optional("max-keys", integer(&limits.MaxKeys, 1, maxKeyTableEntries)),
			optional("max-key-bytes", size(&limits.MaxKeyBytes, 4*kilobyte, maxKeyTableSize)),
			optional("key-expiry", duration(&limits.KeyExpiry, time.Second, 24*time.Hour)),
		},
		"stop": {
			optional("grace", duration(&stop.Grace, 0, 5*time.Minute)),
			optional("limit", duration(&stop.Limit, 100*time.Millisecond, maxStopDuration)),
		},
		"trace": {
			optional("spans", spanTarget(&settings.Trace.Spans)),
			optional("events", filePath(&settings.Trace.Events)),
		},
		"log": {optional("level", oneOf(&settings.Log.Level, "debug", "info", "warn", "error"))},
	}
}

// checkStop reports a stop limit that would end the process before the grace period is over.
func (doc *document) checkStop(stop carobthread.StopSettings) {
	current := doc.section("stop")
	if current == nil || stop.Limit > stop.Grace {
		return
	}
	doc.report(current.pos, "limit %s must exceed grace %s", stop.Limit, stop.Grace)
}

func seedPeers(target *[]carobthread.SeedPeer) converter {
	return func(value *ini.Key) error {
		var items []string
		if err := list(&items, checkSeedPeer)(value); err != nil {
			return err
		}
		for _, item := range items {
			*target = append(*target, splitSeedPeer(item))
		}
		return nil
	}
}

func splitSeedPeer(item string) carobthread.SeedPeer {
	name, address, found := strings.Cut(item, "=")
	if !found {
		return carobthread.SeedPeer{Address: item}
	}
	return carobthread.SeedPeer{Name: strings.TrimSpace(name), Address: strings.TrimSpace(address)}
}

func checkSeedPeer(item string) error {
	peer := splitSeedPeer(item)
	if strings.Contains(item, "=") {
		if err := checkName(peer.Name); err != nil {
			return err
		}
	}
	parsed, err := netip.ParseAddrPort(peer.Address)
	if err != nil || parsed.Port() == 0 {
		return fmt.Errorf("%q is not IP:PORT or NAME=IP:PORT", item)
	}
	return nil
}

func filePath(target *string) converter {
	return func(value *ini.Key) error {
		if strings.Contains(value.Value(), "://") {
			return fmt.Errorf("%q is not a file path", value.Value())
		}
		*target = filepath.Clean(value.Value())
		return nil
	}
}

// spanTarget accepts a file path or the HTTP URL of an OTLP endpoint.
func spanTarget(target *string) converter {
	return func(value *ini.Key) error {
		if !strings.Contains(value.Value(), "://") {
			return filePath(target)(value)
		}
		parsed, err := url.Parse(value.Value())
		if err != nil || parsed.Scheme != "http" {
			return fmt.Errorf("%q is not an http URL or a file path", value.Value())
		}
		if _, err := netip.ParseAddrPort(parsed.Host); err != nil {
			return fmt.Errorf("%q has no IP:PORT", value.Value())
		}
		*target = value.Value()
		return nil
	}
}
