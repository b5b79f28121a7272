package lab

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type item struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created_revision,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Store is the platform's store.
type Store struct {
	Address string
	server  *http.Server

	mu       sync.Mutex
	silent   bool
	revision uint64
	items    map[string]item
	events   []item
	changed  chan struct{}
}

// NewStore starts a store.
func NewStore() (*Store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: l.Addr().String(), items: map[string]item{}, changed: make(chan struct{}), revision: 100}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }() // ends with Close
	return s, nil
}

// Close stops the store.
func (s *Store) Close() { s.server.Close() }

// SetSilent makes the store answer nothing and take no writes, or ends that.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.wake()
}

// Up reports whether the store takes writes.
func (s *Store) Up() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.silent
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a key and reports whether the store has acknowledged that.
func (s *Store) Put(key string, value any) bool {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err) // the cases write only values that can be encoded
	}
	return s.write(item{Key: key, Value: base64.StdEncoding.EncodeToString(body)})
}

// Remove removes a key.
func (s *Store) Remove(key string) bool { return s.write(item{Key: key, Tombstone: true}) }

func (s *Store) write(it item) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return false
	}
	s.revision++
	it.Revision = s.revision
	old, ok := s.items[it.Key]
	switch {
	case it.Tombstone && !ok:
		return true
	case it.Tombstone:
		delete(s.items, it.Key)
	default:
		if it.Created = it.Revision; ok {
			it.Created = old.Created
		}
		s.items[it.Key] = it
	}
	s.events = append(s.events, it)
	s.wake()
	return true
}

func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.Up() {
		<-r.Context().Done()
		return
	}
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	status, out := http.StatusOK, any(nil)
	switch r.URL.Path {
	case "/kv-range":
		out = s.list(q.Get("path_prefix"), q.Get("after"))
	case "/kv-key":
		s.mu.Lock()
		it, ok := s.items[q.Get("key")]
		at := s.revision
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		out = struct {
			item
			At uint64 `json:"at_revision"`
		}{it, at}
	case "/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		ms, _ := strconv.Atoi(q.Get("wait_ms"))
		ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
		defer cancel()
		status, out = s.watch(ctx, q.Get("path_prefix"), after)
	default:
		status = http.StatusNotFound
	}
	if !s.Up() {
		<-r.Context().Done() // the answer is lost
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out) // the caller may have left
}

func (s *Store) list(prefix, after string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	return map[string]any{"items": items, "more_pages": false, "at_revision": s.revision}
}

func (s *Store) watch(ctx context.Context, prefix string, after uint64) (int, any) {
	for {
		s.mu.Lock()
		changed, at := s.changed, s.revision
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if after > at {
			return http.StatusGone, map[string]any{}
		}
		if len(events) > 0 || ctx.Err() != nil {
			return http.StatusOK, map[string]any{"events": events, "at_revision": at}
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
