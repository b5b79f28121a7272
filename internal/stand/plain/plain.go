// Package plain is a stand-in for a backend server of a plain service. It answers
// POST on any path and counts how often each request ran.
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

// maxBody is the maximum size of a request body in bytes.
const maxBody = 1 << 20

// Settings are the capacity and timing of a simulated server.
type Settings struct {
	Name string
	// Latency is the mean time of a run on an idle server. Each run differs from it
	// by up to a quarter, depending on its content. It grows linearly, to
	// Latency * (1 + Growth) at MaxConcurrent.
	Latency time.Duration
	Growth  float64
	// MaxConcurrent is the concurrency limit. Calls beyond it are refused.
	MaxConcurrent int
	// Crash ends the process. Only that of a test may return.
	Crash func()
}

// Option changes settings before the server starts.
type Option func(*Settings)

// With replaces all settings.
func With(set Settings) Option {
	return func(s *Settings) { *s = set }
}

// Defaults returns the settings that New starts from.
func Defaults() Settings {
	return Settings{
		Name: "plain", Latency: 20 * time.Millisecond, Growth: 1, MaxConcurrent: 16, Crash: func() {},
	}
}

// Server is a simulated backend server. Its methods are safe for concurrent use.
type Server struct {
	set    Settings
	ctx    context.Context
	stop   context.CancelFunc
	server *serve.Server

	mu         sync.Mutex
	fault      Fault
	unfrozen   chan struct{} // closed when the server is not frozen
	heldAnswer chan struct{} // closed when the answer that Reorder delays may be sent
	busy       int
	refused    uint64
	runs       map[string]map[string]int
}

// New returns a server without a listener. Close ends it.
func New(options ...Option) *Server {
	set := Defaults()
	for _, o := range options {
		o(&set)
	}
	ctx, stop := context.WithCancel(context.Background())
	open := make(chan struct{})
	close(open)
	return &Server{set: set, ctx: ctx, stop: stop, unfrozen: open, runs: map[string]map[string]int{}}
}

// Listen serves on addr. Port 0 picks a free port. It returns an error if the address
// can't be bound.
func (s *Server) Listen(addr netip.AddrPort) error {
	l, err := serve.New(addr, s.Handler())
	if err != nil {
		return err
	}
	s.server = l
	return nil
}

// Addr returns the address that the server listens on. It must not be called before
// Listen.
func (s *Server) Addr() netip.AddrPort { return s.server.Addr() }

// Close ends all runs and connections.
func (s *Server) Close() error {
	s.stop()
	if s.server == nil {
		return nil
	}
	return s.server.Close()
}

// Handler serves calls by POST on any path, POST /fault and GET /runs.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", s.serveFault)
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) {
		serve.Reply(w, s.Runs())
	})
	mux.HandleFunc("POST /", s.serveCall)
	return mux
}

// Runs are the statistics of a server. GET /runs returns them.
type Runs struct {
	// Busy is the number of current runs, Refused the number of refused calls since
	// the start.
	Busy    int    `json:"busy"`
	Refused uint64 `json:"refused"`
	// Paths has the number of runs by path and by Sum of path and body.
	Paths map[string]map[string]int `json:"paths"`
}

// Runs returns a snapshot of the statistics.
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

// Sum returns the key in Runs of a call: the hash of path and body in hexadecimal.
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

// Answer returns the body of a successful answer to a call: JSON with its path and
// Sum.
func Answer(path string, body []byte) []byte {
	b, _ := json.Marshal(map[string]string{"path": path, "sum": Sum(path, body)})
	return b
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	if !s.waitUnfrozen(ctx) {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
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
	// The run continues to its end if the caller disconnects.
	s.finishRun(took)
	if f.CrashNext {
		s.set.Crash()
	}
	if f.Drop || f.CrashNext || !s.waitUnfrozen(ctx) {
		panic(http.ErrAbortHandler)
	}
	s.delayAnswer(ctx, f)
	if f.Fail {
		http.Error(w, "the run failed", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(Answer(r.URL.Path, body))
}

// start admits and counts a run. It returns the faults that apply to the run and the
// time that it takes, or false if the call is refused.
func (s *Server) start(path string, body []byte) (Fault, time.Duration, bool) {
	h := sum(path, body)
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.fault
	if f.Refuse || s.busy >= s.set.MaxConcurrent {
		s.refused++
		return f, 0, false
	}
	// CrashNext applies to one run.
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

// finishRun waits for the time of a run, or until the server is closed, and frees its
// place.
func (s *Server) finishRun(d time.Duration) {
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
