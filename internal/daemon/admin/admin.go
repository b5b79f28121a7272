// Package admin serves health, readiness, metrics and status over HTTP, all
// read-only.
package admin

import (
	"encoding/json"
	"net/http"
	"time"
)

// Limits of the server.
const (
	headerTimeout = 5 * time.Second
	// readTimeout bounds reading a whole request: none has a body.
	readTimeout  = 5 * time.Second
	writeTimeout = 10 * time.Second
	idleTimeout  = 2 * time.Minute
	// maxHeaderBytes bounds the header. The default of net/http is 1 MB.
	maxHeaderBytes = 16 << 10
)

// Status is the body of GET /status, which the operators' command line reads.
type Status struct {
	Name        string     `json:"name"`
	Domain      string     `json:"domain"`
	Incarnation uint64     `json:"incarnation"`
	Ready       bool       `json:"ready"`
	Draining    bool       `json:"drain"`
	Version     uint64     `json:"version"`
	Revision    uint64     `json:"revision"`
	Started     time.Time  `json:"started"`
	Members     []Member   `json:"members"`
	Cells       []Cell     `json:"cells"`
	Engines     []Engine   `json:"engines"`
	Requests    []Request  `json:"requests"`
	Problem     string     `json:"problem,omitempty"`
	Memory      MemoryInfo `json:"memory"`
	// In and Out are the control bytes received from and sent to peers since the
	// start of the process, without TCP and UDP headers.
	In  uint64 `json:"in"`
	Out uint64 `json:"out"`
}

// MemoryInfo is the memory of the process in bytes, from runtime.MemStats: Heap is
// HeapAlloc.
type MemoryInfo struct {
	Heap uint64 `json:"heap"`
	Sys  uint64 `json:"sys"`
}

// Member is a daemon as this one sees it.
type Member struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	State       string `json:"state"`
}

// Cell is a cell with the daemon that owns it, as this daemon sees it.
type Cell struct {
	Name  string `json:"name"`
	Owner string `json:"owner"`
	// Leases is the number of live leases. Only the owner of the cell sets it.
	Leases int `json:"grants"`
}

// Engine is an engine of a cell that this daemon owns.
type Engine struct {
	Name  string `json:"name"`
	Cell  string `json:"cell"`
	Role  string `json:"role"`
	State string `json:"state"`
	// Pieces is the memory of the engine and Free what new requests may use of it, in
	// KV blocks. Busy is the number of running requests.
	Pieces uint32 `json:"pieces"`
	Free   uint32 `json:"free"`
	Busy   uint32 `json:"busy"`
	// Queue is the queueing delay before the prefill of a new request.
	Queue time.Duration `json:"queue"`
}

// Request is a request in flight at this daemon.
type Request struct {
	ID      string        `json:"id"`
	Tenant  string        `json:"tenant"`
	Service string        `json:"service"`
	Age     time.Duration `json:"age"`
}

// Source provides the data that the admin server returns.
type Source interface {
	// Ready reports whether the load balancer may send requests to this daemon.
	Ready() bool
	// Status returns the current status.
	Status() Status
}

// Server returns the HTTP server for the admin address. The handler metrics serves
// GET /metrics.
func Server(s Source, metrics http.Handler) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !s.Ready() {
			http.Error(w, "not ready: no document yet, or stopping", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Status())
	})
	mux.Handle("GET /metrics", metrics)
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}
