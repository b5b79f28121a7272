package fleet

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Timing and size of the store (SYSTEM.md, PROTOCOL.md).
const (
	storeDelay = 4 * time.Millisecond
	pageItems  = 500
	history    = 20 * time.Second
)

// item is one item of the store.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created_revision,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`

	at time.Time
}

// Store is a stand-in for the platform's metadata store.
type Store struct {
	Addr   string
	record *Record
	server *http.Server

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	// changed is closed at the next change.
	changed chan struct{}
}

// StartStore starts a store on a free port.
func StartStore(rec *Record) (*Store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Addr: l.Addr().String(), record: rec, revision: 100, items: map[string]item{}, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(l) }() // ends with Close
	return s, nil
}

// Close ends the store.
func (s *Store) Close() { s.server.Close() }

// Put writes an item.
func (s *Store) Put(key string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err) // values are made by this package
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	old, ok := s.items[key]
	it := item{Key: key, Value: body, Revision: s.revision, Created: s.revision, at: time.Now()}
	if ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.add(it)
}

// Delete removes an item.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.add(item{Key: key, Revision: s.revision, Tombstone: true, at: time.Now()})
}

func (s *Store) add(it item) {
	s.events = append(s.events, it)
	first := slices.IndexFunc(s.events, func(e item) bool { return time.Since(e.at) < history })
	s.events = s.events[max(first, 0):]
	close(s.changed)
	s.changed = make(chan struct{})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller may have left
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	switch r.URL.Path {
	case "/kv-key":
		s.mu.Lock()
		it, ok := s.items[q.Get("key")]
		at := s.revision
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, struct {
			item
			At uint64 `json:"at_revision"`
		}{it, at})
	case "/kv-range":
		s.serveRange(w, q.Get("path_prefix"), q.Get("after"))
	case "/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveWatch(w, r, q.Get("path_prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var out []item
	for _, it := range s.items {
		if strings.HasPrefix(it.Key, prefix) && it.Key > after {
			out = append(out, it)
		}
	}
	at := s.revision
	s.mu.Unlock()
	slices.SortFunc(out, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(out) > pageItems
	writeJSON(w, map[string]any{"items": out[:min(len(out), pageItems)], "more_pages": more, "at_revision": at})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	end := time.After(wait)
	for {
		s.mu.Lock()
		at, changed := s.revision, s.changed
		var out []item
		gone := after > at || len(s.events) > 0 && after+1 < s.events[0].Revision
		for _, it := range s.events {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				out = append(out, it)
			}
		}
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(out) > 0 {
			writeJSON(w, map[string]any{"events": out, "at_revision": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			writeJSON(w, map[string]any{"events": []item{}, "at_revision": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}
