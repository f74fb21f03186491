package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"carobthread/platform"
)

// maxStoreHistory is the maximum number of changes that a Store keeps for watches.
const maxStoreHistory = 4096

// Store is a fake of the users' platform store, which holds items with revisions that can be listed and watched.
type Store struct {
	server  *http.Server
	address string

	mutex         sync.Mutex
	revision      uint64
	items         map[string]StoredItem
	history       []StoredItem
	changed       chan struct{}
	era           uint64
	copied        storeCopy
	failureStatus int
	hanging       bool
	calls         int
}

// storeCopy is a copy of a store's items and changes at one revision.
type storeCopy struct {
	revision uint64
	items    map[string]StoredItem
	history  []StoredItem
}

// StoredItem is an item in the encoding of the platform's protocol.
type StoredItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// StoredConfig is the operator's routing table, with the fields that tests use.
type StoredConfig struct {
	Version  uint64          `json:"version"`
	Routes   []StoredRoute   `json:"routes"`
	Services []StoredService `json:"services"`
	Limits   map[string]int  `json:"limits"`
}

// StoredRoute is one route of the operator's routing table.
type StoredRoute struct {
	Name            string          `json:"name"`
	Host            string          `json:"host"`
	Prefix          string          `json:"prefix"`
	Kind            string          `json:"kind"`
	TimeoutMs       int             `json:"timeoutMs"`
	TargetLatencyMs int             `json:"targetLatencyMs"`
	Priority        int             `json:"priority"`
	MaxAttempts     int             `json:"maxAttempts"`
	Service         string          `json:"service,omitempty"`
	Backends        []StoredBackend `json:"backends,omitempty"`
	Gather          []string        `json:"gather,omitempty"`
	TopK            int             `json:"topK,omitempty"`
	MinShardRatio   float64         `json:"minShardRatio,omitempty"`
}

// StoredBackend is a weighted service of a route.
type StoredBackend struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// StoredService is one service of the operator's routing table.
type StoredService struct {
	Name     string `json:"name"`
	MaxConns int    `json:"maxConns"`

	ColdStartS float64 `json:"coldStartS,omitempty"`
	ColdPerS   float64 `json:"coldPerS,omitempty"`
}

// NewStore starts an empty store on a free loopback port.
func NewStore() (*Store, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	store := &Store{
		address: listener.Addr().String(), revision: 1, items: map[string]StoredItem{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ListPath, store.list)
	mux.HandleFunc("GET "+platform.WatchPath, store.watch)
	store.server = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = store.server.Serve(listener) }()
	return store, nil
}

// Address returns the store's IP address and port.
func (store *Store) Address() string { return store.address }

// Close stops the store and closes its connections.
func (store *Store) Close() error { return store.server.Close() }

// Put writes an item and returns its revision.
func (store *Store) Put(key string, value []byte) uint64 {
	return store.write(StoredItem{Key: key, Value: value})
}

// PutConfig writes the operator's routing table.
func (store *Store) PutConfig(config *StoredConfig) error {
	content, err := json.Marshal(config)
	if err != nil {
		return fmt.Errorf("encode the routing table: %w", err)
	}
	store.Put("op/config", content)
	return nil
}

// Evacuate writes the operator's request to evacuate a data centre.
func (store *Store) Evacuate(dataCentre string) { store.Put("op/evacuate/"+dataCentre, []byte("{}")) }

// EndEvacuation withdraws the request to evacuate a data centre.
func (store *Store) EndEvacuation(dataCentre string) { store.Remove("op/evacuate/" + dataCentre) }

// Remove removes an item and returns the revision of its tombstone.
func (store *Store) Remove(key string) uint64 {
	return store.write(StoredItem{Key: key, Tombstone: true})
}

// SetFailure makes every call fail with the HTTP status; 0 serves calls again. If hanging is set, calls wait without a
// response until the caller disconnects.
func (store *Store) SetFailure(status int, hanging bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.failureStatus, store.hanging = status, hanging
}

// Copy keeps a copy of the items for RollBack.
func (store *Store) Copy() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.copied = storeCopy{revision: store.revision, items: maps.Clone(store.items), history: slices.Clone(store.history)}
}

// RollBack replaces the items by the last copy and begins a new era, in which revisions after the copy are issued again.
func (store *Store) RollBack() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.era++
	store.revision, store.items, store.history = store.copied.revision, maps.Clone(store.copied.items), slices.Clone(store.copied.history)
	close(store.changed)
	store.changed = make(chan struct{})
}

// Calls returns the number of calls so far.
func (store *Store) Calls() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.calls
}

func (store *Store) write(item StoredItem) uint64 {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	item.Revision = store.revision
	if item.Tombstone {
		delete(store.items, item.Key)
	} else {
		item.Created = store.revision
		if existing, found := store.items[item.Key]; found {
			item.Created = existing.Created
		}
		store.items[item.Key] = item
	}
	store.history = append(store.history, item)
	if len(store.history) > maxStoreHistory {
		store.history = slices.Clone(store.history[maxStoreHistory/2:])
	}
	close(store.changed)
	store.changed = make(chan struct{})
	return item.Revision
}

// admit counts a call and reports whether to serve it; a call that SetFailure has made fail gets its response here.
func (store *Store) admit(writer http.ResponseWriter, request *http.Request) bool {
	store.mutex.Lock()
	store.calls++
	status, hanging := store.failureStatus, store.hanging
	store.mutex.Unlock()
	if hanging {
		<-request.Context().Done()
		return false
	}
	if status != 0 {
		writer.WriteHeader(status)
		return false
	}
	return true
}

func (store *Store) list(writer http.ResponseWriter, request *http.Request) {
	const pageSize = 50
	if !store.admit(writer, request) {
		return
	}
	prefix, after := request.URL.Query().Get("prefix"), request.URL.Query().Get("after")
	store.mutex.Lock()
	found := []StoredItem{}
	for key, item := range store.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, item)
		}
	}
	revision := store.revision
	store.stateEraLocked(writer)
	store.mutex.Unlock()
	slices.SortFunc(found, func(left, right StoredItem) int { return strings.Compare(left.Key, right.Key) })
	more := len(found) > pageSize
	writeJSON(writer, map[string]any{"items": found[:min(pageSize, len(found))], "hasMore": more, "asOf": revision})
}

func (store *Store) watch(writer http.ResponseWriter, request *http.Request) {
	if !store.admit(writer, request) {
		return
	}
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		events, revision, changed, compacted := store.changesSince(after, query.Get("prefix"), writer)
		if compacted {
			writer.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeJSON(writer, map[string]any{"events": events, "asOf": revision})
			return
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		case <-timeout.C:
			writeJSON(writer, map[string]any{"events": []StoredItem{}, "asOf": revision})
			return
		}
	}
}

// changesSince returns the changes after a revision, the store's revision and a channel that the next change closes.
// compacted is set if the history doesn't cover the revision. The era of the changes is stated in the response's header.
func (store *Store) changesSince(after uint64, prefix string, writer http.ResponseWriter) (events []StoredItem, revision uint64, changed <-chan struct{}, compacted bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.stateEraLocked(writer)
	if after > store.revision || len(store.history) > 0 && store.history[0].Revision > after+1 && after < store.revision {
		return nil, 0, nil, true
	}
	for _, item := range store.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events, store.revision, store.changed, false
}

// stateEraLocked states the era in a response; a store that has never rolled back states none.
func (store *Store) stateEraLocked(writer http.ResponseWriter) {
	if store.era > 0 {
		writer.Header().Set(platform.EraHeader, strconv.FormatUint(store.era, 10))
	}
}

func writeJSON(writer http.ResponseWriter, body any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(body) // the caller may have disconnected
}
