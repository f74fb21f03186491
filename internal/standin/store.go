package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"carobthread/platform"
)

// storeHistory is how many changes a Store keeps for watches.
const storeHistory = 4096

// Store is a stand-in of the users' platform store: items with revisions that can be listed and watched.
type Store struct {
	server  *http.Server
	address string

	mutex    sync.Mutex
	revision uint64
	items    map[string]StoredItem
	history  []StoredItem
	changed  chan struct{}
	refusing int
	silent   bool
	reads    int
}

// StoredItem is an item as the platform's protocol writes it.
type StoredItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// StoredConfig is the operator's document, with the fields that tests use.
type StoredConfig struct {
	Version  uint64          `json:"version"`
	Routes   []StoredRoute   `json:"routes"`
	Services []StoredService `json:"services"`
	Limits   map[string]int  `json:"limits"`
}

// StoredRoute is one route of the operator's document.
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

// StoredService is one service of the operator's document.
type StoredService struct {
	Name     string `json:"name"`
	MaxConns int    `json:"maxConns"`
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

// Address returns the IP address and port.
func (store *Store) Address() string { return store.address }

// Close ends the store and its connections.
func (store *Store) Close() error { return store.server.Close() }

// Put writes an item and returns its revision.
func (store *Store) Put(key string, value []byte) uint64 {
	return store.write(StoredItem{Key: key, Value: value})
}

// PutConfig writes the operator's document.
func (store *Store) PutConfig(config *StoredConfig) error {
	content, err := json.Marshal(config)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	store.Put("op/config", content)
	return nil
}

// Remove removes an item.
func (store *Store) Remove(key string) uint64 {
	return store.write(StoredItem{Key: key, Tombstone: true})
}

// Refuse makes every call fail with the status, or serves again with 0; silent calls hang until their caller leaves.
func (store *Store) Refuse(status int, silent bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.refusing, store.silent = status, silent
}

// Reads returns the number of calls so far.
func (store *Store) Reads() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.reads
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
		if held, found := store.items[item.Key]; found {
			item.Created = held.Created
		}
		store.items[item.Key] = item
	}
	store.history = append(store.history, item)
	if len(store.history) > storeHistory {
		store.history = slices.Clone(store.history[storeHistory/2:])
	}
	close(store.changed)
	store.changed = make(chan struct{})
	return item.Revision
}

// admitted counts a call and refuses it if the store is set to.
func (store *Store) admitted(writer http.ResponseWriter, request *http.Request) bool {
	store.mutex.Lock()
	store.reads++
	status, silent := store.refusing, store.silent
	store.mutex.Unlock()
	if silent {
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
	const page = 50
	if !store.admitted(writer, request) {
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
	store.mutex.Unlock()
	slices.SortFunc(found, func(left, right StoredItem) int { return strings.Compare(left.Key, right.Key) })
	more := len(found) > page
	writeJSON(writer, map[string]any{"items": found[:min(page, len(found))], "hasMore": more, "asOf": revision})
}

func (store *Store) watch(writer http.ResponseWriter, request *http.Request) {
	if !store.admitted(writer, request) {
		return
	}
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		events, revision, changed, gone := store.since(after, query.Get("prefix"))
		if gone {
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

// since returns the changes after a revision, the revision of the store and what is closed by the next change.
func (store *Store) since(after uint64, prefix string) (events []StoredItem, revision uint64, changed <-chan struct{}, gone bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if len(store.history) > 0 && store.history[0].Revision > after+1 && after < store.revision {
		return nil, 0, nil, true
	}
	for _, item := range store.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events, store.revision, store.changed, false
}

func writeJSON(writer http.ResponseWriter, body any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(body) // the caller may have left
}
