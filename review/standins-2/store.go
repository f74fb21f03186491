package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item of the platform's store, or the tombstone of a removed one.
type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in for the platform's store with the reading calls of PROTOCOL.md.
type store struct {
	address string
	server  *http.Server

	mutex    sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{}
}

func startStore(env *environment) (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	created := &store{address: listener.Addr().String(), revision: 10, items: map[string]storeItem{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /carobthread/kv-range", created.list)
	mux.HandleFunc("GET /carobthread/kv-watch", created.watch)
	mux.HandleFunc("GET /carobthread/kv-key", created.get)
	created.server = &http.Server{Handler: mux}
	go func() { _ = created.server.Serve(listener) }()
	env.defers(func() { _ = created.server.Close() })
	return created, nil
}

// put writes an item and returns its revision; the return is the ack.
func (store *store) put(key string, value any) uint64 {
	content, _ := json.Marshal(value)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	item := storeItem{Key: key, Value: content, Revision: store.revision, Created: store.revision}
	if existing, found := store.items[key]; found {
		item.Created = existing.Created
	}
	store.items[key] = item
	store.append(item)
	return item.Revision
}

func (store *store) append(item storeItem) {
	store.history = append(store.history, item)
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *store) get(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	item, found := store.items[request.URL.Query().Get("key")]
	store.mutex.Unlock()
	if !found {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(writer, item)
}

func (store *store) list(writer http.ResponseWriter, request *http.Request) {
	const pageSize = 500
	prefix, after := request.URL.Query().Get("prefix"), request.URL.Query().Get("after")
	store.mutex.Lock()
	items, revision := []storeItem{}, store.revision
	for key, item := range store.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	store.mutex.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > pageSize
	writeJSON(writer, map[string]any{"items": items[:min(pageSize, len(items))], "hasMore": more, "asOf": revision})
}

func (store *store) watch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		store.mutex.Lock()
		events, revision, changed := []storeItem{}, store.revision, store.changed
		for _, item := range store.history {
			if item.Revision > after && strings.HasPrefix(item.Key, query.Get("prefix")) {
				events = append(events, item)
			}
		}
		store.mutex.Unlock()
		if len(events) > 0 {
			writeJSON(writer, map[string]any{"events": events, "asOf": revision})
			return
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		case <-timeout.C:
			writeJSON(writer, map[string]any{"events": events, "asOf": revision})
			return
		}
	}
}

func writeJSON(writer http.ResponseWriter, body any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(body)
}

// config is the operator's configuration in the store.
type config struct {
	Version  int            `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
}

type route struct {
	Name            string   `json:"name"`
	Host            string   `json:"host"`
	Prefix          string   `json:"prefix"`
	Kind            string   `json:"kind"`
	TimeoutMs       int      `json:"timeoutMs"`
	TargetLatencyMs int      `json:"targetLatencyMs"`
	Priority        int      `json:"priority"`
	MaxAttempts     int      `json:"maxAttempts"`
	Service         string   `json:"service,omitempty"`
	Gather          []string `json:"gather,omitempty"`
	TopK            int      `json:"topK,omitempty"`
	MinShardRatio   float64  `json:"minShardRatio,omitempty"`
}

type service struct {
	Name       string `json:"name"`
	HealthPath string `json:"healthPath"`
	MaxConns   int    `json:"maxConns"`
	Protocol   string `json:"protocol"`
	TLS        bool   `json:"tls"`
}

// newService returns a service with the sheet's connections per searcher.
func newService(name string) service {
	return service{Name: name, HealthPath: "/healthz", MaxConns: 35, Protocol: "h1"}
}

// standardLimits are those of the sheet's wire examples.
func standardLimits() map[string]int {
	return map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}
