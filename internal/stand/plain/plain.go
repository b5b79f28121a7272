// Package plain is a stand-in for a backend server of a plain service. It
// answers POST on any path and counts how often each request ran.
package plain

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"citronrock.example/citronrock/internal/stand/serve"
)

// largest is the limit of a request body in bytes.
const largest = 1 << 20

// Settings are the properties of a server.
type Settings struct {
	Name string
	// Latency is the time of a run when the server is idle; single runs differ
	// by up to a quarter, depending on their content. It grows linearly, to
	// Latency * (1 + Growth) with all places taken.
	Latency time.Duration
	Growth  float64
	// MaxConcurrent is the number of runs at a time; more are refused.
	MaxConcurrent int
	// Crash ends the process. It may return in tests only.
	Crash func()
}

// Option changes one or more settings.
type Option func(*Settings)

// With replaces all settings.
func With(set Settings) Option {
	return func(s *Settings) { *s = set }
}

// Defaults returns the settings that options change.
func Defaults() Settings {
	return Settings{
		Name: "plain", Latency: 20 * time.Millisecond, Growth: 1, MaxConcurrent: 16, Crash: func() {},
	}
}

// Server is one simulated backend server.
type Server struct {
	set    Settings
	ctx    context.Context
	stop   context.CancelFunc
	server *serve.Server

	mu      sync.Mutex
	fault   Fault
	thaw    chan struct{} // closed when the server is not frozen
	held    chan struct{} // closed when the answer that Cross holds back may go
	busy    int
	refused uint64
	runs    map[string]map[string]int
}

// New returns a server without a network address. Close ends it.
func New(options ...Option) *Server {
	set := Defaults()
	for _, o := range options {
		o(&set)
	}
	ctx, stop := context.WithCancel(context.Background())
	open := make(chan struct{})
	close(open)
	return &Server{set: set, ctx: ctx, stop: stop, thaw: open, runs: map[string]map[string]int{}}
}

// Listen serves on addr; port 0 takes a free port.
func (s *Server) Listen(addr netip.AddrPort) error {
	l, err := serve.New(addr, s.Handler())
	if err != nil {
		return err
	}
	s.server = l
	return nil
}

// Addr returns the address after Listen.
func (s *Server) Addr() netip.AddrPort { return s.server.Addr() }

// Close ends all connections.
func (s *Server) Close() error {
	s.stop()
	if s.server == nil {
		return nil
	}
	return s.server.Close()
}

// Handler serves the calls and the paths /fault and /runs.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", s.serveFault)
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) {
		serve.Reply(w, s.Runs())
	})
	mux.HandleFunc("POST /", s.serveCall)
	return mux
}

// Runs tells what ran on a server.
type Runs struct {
	// Busy is the number of runs now, Refused that of refusals so far.
	Busy    int    `json:"busy"`
	Refused uint64 `json:"refused"`
	// Paths holds the number of runs by path and by the hash of path and body.
	Paths map[string]map[string]int `json:"paths"`
}

// Runs returns what ran so far.
func (s *Server) Runs() Runs {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Runs{Busy: s.busy, Refused: s.refused, Paths: map[string]map[string]int{}}
	for path, hashes := range s.runs {
		r.Paths[path] = map[string]int{}
		for h, n := range hashes {
			r.Paths[path][h] = n
		}
	}
	return r
}

// Sum returns the hash by which runs are counted.
func Sum(path string, body []byte) string {
	return strconv.FormatUint(sum(path, body), 16)
}

func sum(path string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(path)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// Answer returns the body that answers a call.
func Answer(path string, body []byte) []byte {
	b, _ := json.Marshal(map[string]string{"path": path, "sum": Sum(path, body)})
	return b
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	if !s.gate(ctx) {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, largest))
	if err != nil {
		http.Error(w, "the body could not be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	f, took, ok := s.start(r.URL.Path, body)
	if !ok {
		w.Header().Set("Citronrock-Run", "no")
		http.Error(w, "all places are taken; try another server", http.StatusServiceUnavailable)
		return
	}
	// A run goes on to its end when the caller leaves.
	s.run(took)
	if f.CrashNext {
		s.set.Crash()
	}
	if f.Drop || f.CrashNext || !s.gate(ctx) {
		panic(http.ErrAbortHandler)
	}
	s.hold(ctx, f)
	if f.Fail {
		http.Error(w, "the run failed", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(Answer(r.URL.Path, body))
}

// start takes a place and counts the run. It returns the faults that apply to
// the run and the time that it takes.
func (s *Server) start(path string, body []byte) (Fault, time.Duration, bool) {
	h := sum(path, body)
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.fault
	if f.Refuse || s.busy >= s.set.MaxConcurrent {
		s.refused++
		return f, 0, false
	}
	// Die concerns the next run only.
	s.fault.CrashNext = false
	load := float64(s.busy) / float64(s.set.MaxConcurrent)
	s.busy++
	if s.runs[path] == nil {
		s.runs[path] = map[string]int{}
	}
	s.runs[path][strconv.FormatUint(h, 16)]++
	spread := 0.75 + float64(h%1000)/2000
	return f, time.Duration(float64(s.set.Latency) * spread * (1 + s.set.Growth*load)), true
}

func (s *Server) run(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.ctx.Done():
	}
	s.mu.Lock()
	s.busy--
	s.mu.Unlock()
}
