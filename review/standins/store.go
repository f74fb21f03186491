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

// item is an item of the platform's store or the tombstone of a removed one.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"` // base64 on the wire
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's metadata store.
type store struct {
	address  string
	mutex    sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	store := &store{address: listener.Addr().String(), revision: 1, items: map[string]item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /carobthread/kv-key", store.key)
	mux.HandleFunc("GET /carobthread/kv-range", store.list)
	mux.HandleFunc("GET /carobthread/kv-watch", store.watch)
	go func() { _ = http.Serve(listener, mux) }()
	return store, nil
}

func (store *store) put(key string, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	store.write(item{Key: key, Value: content})
}

func (store *store) remove(key string) { store.write(item{Key: key, Tombstone: true}) }

func (store *store) write(change item) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	change.Revision = store.revision
	if change.Tombstone {
		delete(store.items, change.Key)
	} else {
		change.Created = store.revision
		if existing, found := store.items[change.Key]; found {
			change.Created = existing.Created
		}
		store.items[change.Key] = change
	}
	store.history = append(store.history, change)
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *store) key(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	found, ok := store.items[request.URL.Query().Get("key")]
	revision := store.revision
	store.mutex.Unlock()
	if !ok {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	reply(writer, struct {
		item
		AsOf uint64 `json:"asOf"`
	}{found, revision})
}

func (store *store) list(writer http.ResponseWriter, request *http.Request) {
	const pageSize = 500
	prefix, after := request.URL.Query().Get("prefix"), request.URL.Query().Get("after")
	store.mutex.Lock()
	found := []item{}
	for key, stored := range store.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, stored)
		}
	}
	revision := store.revision
	store.mutex.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > pageSize
	if more {
		found = found[:pageSize]
	}
	reply(writer, map[string]any{"items": found, "hasMore": more, "asOf": revision})
}

func (store *store) watch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		store.mutex.Lock()
		events := []item{}
		first := sort.Search(len(store.history), func(i int) bool { return store.history[i].Revision > after })
		for _, change := range store.history[first:] {
			if strings.HasPrefix(change.Key, query.Get("prefix")) {
				events = append(events, change)
			}
		}
		revision, changed := store.revision, store.changed
		store.mutex.Unlock()
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-request.Context().Done():
				return
			case <-timeout:
				expired = true
			}
		}
		if len(events) > 0 || expired {
			reply(writer, map[string]any{"events": events, "asOf": revision})
			return
		}
	}
}

func reply(writer http.ResponseWriter, body any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(body)
}
