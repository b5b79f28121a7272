package lab

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	handleTTL = 500 * time.Millisecond
	// lapse is the silence after which the store removes an entry.
	lapse = 3 * heartbeat
	// roleSwitch is how long a change of the stage takes.
	roleSwitch = 6 * time.Second
)

// Life describes one process of a backend server.
type Life struct {
	ID, Service, Zone, Version string
	// Stage is prefill or decode, empty for plain servers.
	Stage string
	Slots int
	// Step is the time between two events of a stream, Work that for a plain answer.
	Step, Work time.Duration
}

// Run is one request that an engine ran.
type Run struct {
	At                        time.Time
	Attempt, Engine, Version  string
	Method, Target, Body, Hop string
	LastEvent                 int
}

// Order is an order that an engine got.
type Order struct {
	At             time.Time
	Engine, Holder string
	Fence          int64
	Status         int
}

// Site holds the backend servers and what they ran.
type Site struct {
	Store *Store
	Rec   *Record
	// Fencing makes engines refuse orders with a lower epoch number than an earlier one's.
	Fencing bool

	mu      sync.Mutex
	runs    []Run
	orders  []Order
	engines map[string]*Engine // by address
	beats   sync.Map           // the time of the last one, by ID
}

// NewSite returns a site without servers.
func NewSite(store *Store, rec *Record) *Site {
	return &Site{Store: store, Rec: rec, engines: map[string]*Engine{}}
}

// Runs returns what has run.
func (s *Site) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Orders returns the orders that engines got.
func (s *Site) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Order(nil), s.orders...)
}

func (s *Site) addRun(r Run) {
	s.mu.Lock()
	s.runs = append(s.runs, r)
	s.mu.Unlock()
	s.Rec.Add("run %s at %s %s, after event %d", r.Attempt, r.Engine, r.Version, r.LastEvent)
}

// Engine is one process of a backend server.
type Engine struct {
	Life
	Address string
	site    *Site
	born    int64
	ctx     context.Context
	cancel  context.CancelFunc
	server  *http.Server
	// dark is closed at a loss of power.
	dark     chan struct{}
	listener net.Listener

	mu       sync.Mutex
	sequence int
	accepted int
	fence    int64
	running  map[string]int
	handles  map[string]time.Time
	seals    int
	// busyUntil is the end of the change of the stage.
	busyUntil time.Time
	conns     map[net.Conn]bool
}

// Start starts a server process at an address, a new one if it is empty.
func (s *Site) Start(l Life, address string) (*Engine, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp4", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return nil, err
	}
	e := &Engine{Life: l, Address: listener.Addr().String(), site: s, born: time.Now().UnixMilli(), dark: make(chan struct{}), listener: listener,
		running: map[string]int{}, handles: map[string]time.Time{}, conns: map[net.Conn]bool{}}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.server = &http.Server{Handler: e, ConnState: e.track, BaseContext: func(net.Listener) context.Context { return e.ctx }}
	go func() { _ = e.server.Serve(listener) }() // ends with the process
	s.mu.Lock()
	s.engines[e.Address] = e
	s.mu.Unlock()
	s.Rec.Add("server %s starts at %s: service %s, stage %q, version %s, born %d", l.ID, e.Address, l.Service, l.Stage, l.Version, e.born)
	e.beat()
	go func() {
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for {
			select {
			case <-e.ctx.Done():
				return
			case <-e.dark:
				return
			case <-tick.C:
				e.beat()
			}
		}
	}()
	return e, nil
}

func (e *Engine) track(c net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		e.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(e.conns, c)
	}
}

// Crash ends the process: its connections are reset and its address has no listener.
func (e *Engine) Crash() {
	e.site.Rec.Add("server %s at %s crashes with %d runs", e.ID, e.Address, e.Running())
	e.mu.Lock()
	for c := range e.conns {
		abort(c)
	}
	e.mu.Unlock()
	e.cancel()
	e.server.Close()
	time.AfterFunc(lapse, func() {
		if last, ok := e.site.beats.Load(e.ID); ok && time.Since(last.(time.Time)) >= lapse {
			e.site.Store.Remove("servers/" + e.ID)
		}
	})
}

// Dark ends the process as a loss of power does: its connections fall silent, and its address
// has no listener.
func (e *Engine) Dark() {
	e.site.Rec.Add("server %s at %s goes dark with %d runs", e.ID, e.Address, e.Running())
	close(e.dark)
	_ = e.listener.Close() // the connections stay
}

// Running returns the number of requests that run.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

// beat writes the entry, if the store takes it.
func (e *Engine) beat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	entry := map[string]any{"service": e.Service, "address": e.Address, "zone": e.Zone, "version": e.Version, "slots": e.Slots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": e.sequence, "born": e.born}
	if e.Stage != "" {
		entry["stage"] = e.Stage
		entry["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	if e.ctx.Err() == nil {
		e.site.beats.Store(e.ID, time.Now())
		e.site.Store.Put("servers/"+e.ID, entry)
	}
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/report" {
		e.report(w)
		return
	}
	w.Header().Set("Instance-Id", e.ID)
	if want := r.Header.Get("Expected-Instance"); want != "" && want != e.ID {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/health":
	case r.URL.Path == "/order":
		e.order(w, r)
	case strings.HasPrefix(r.URL.Path, "/kv-handle/"):
		e.take(strings.TrimPrefix(r.URL.Path, "/kv-handle/"))
	default:
		e.request(w, r)
	}
}

func (e *Engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := []any{}
	for id, events := range e.running {
		runs = append(runs, []any{id, 5200 + events, events, 5})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"stage": e.Stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		"busy": time.Now().Before(e.busyUntil), "sequence": e.accepted, "waiting_requests": 0, "running_requests": len(e.running), "kv_used": 5250 * len(e.running),
		"kv_total": 100125, "kv_handles": len(e.handles), "runs": runs, "born": e.born}) // the caller may have left
}

// order handles an order to change the stage.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Operation    string `json:"operation"`
		Stage        string `json:"stage"`
		Holder       string `json:"holder"`
		Fence        int64  `json:"fencing_token"`
		Precondition *int   `json:"precondition"`
	}
	err := json.NewDecoder(r.Body).Decode(&in)
	e.mu.Lock()
	status := http.StatusAccepted
	switch {
	case err != nil || in.Operation != "stage" || in.Holder == "" || in.Fence == 0:
		status = http.StatusBadRequest
	case e.site.Fencing && in.Fence < e.fence:
		status = http.StatusPreconditionFailed
	case time.Now().Before(e.busyUntil) || in.Precondition != nil && *in.Precondition != e.accepted:
		status = http.StatusConflict
	case in.Stage == e.Stage:
		status = http.StatusOK
	default:
		e.accepted++
		e.busyUntil = time.Now().Add(roleSwitch)
		time.AfterFunc(roleSwitch, func() {
			e.mu.Lock()
			e.Stage = in.Stage
			e.mu.Unlock()
			e.beat()
		})
	}
	e.fence = max(e.fence, in.Fence)
	e.mu.Unlock()
	e.site.mu.Lock()
	e.site.orders = append(e.site.orders, Order{time.Now(), e.ID, in.Holder, in.Fence, status})
	e.site.mu.Unlock()
	e.site.Rec.Add("order to %s: stage %s, holder %s, epoch %d, answer %d", e.ID, in.Stage, in.Holder, in.Fence, status)
	w.WriteHeader(status)
}

func (e *Engine) stage() (stage string, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Stage, time.Now().Before(e.busyUntil)
}

// take takes a handle, which works once.
func (e *Engine) take(handle string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, ok := e.handles[handle]
	delete(e.handles, handle)
	return ok && e.ctx.Err() == nil && time.Since(at) < handleTTL
}

func (e *Engine) seal() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seals++
	return fmt.Sprintf("%s.%d.%d", e.ID, e.born, e.seals)
}

func (e *Engine) request(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller has left
	}
	ms, err := strconv.Atoi(r.Header.Get("Deadline-Milliseconds"))
	if err != nil {
		ms = 30000
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	defer cancel()
	prefill := r.Header.Get("Stage") == "prefill"
	stage, busy := e.stage()
	switch {
	case busy:
		refuse(w, http.StatusServiceUnavailable)
		return
	case prefill != (stage == "prefill"):
		refuse(w, http.StatusMisdirectedRequest)
		return
	case prefill:
		if wait(ctx, 20*time.Millisecond) {
			e.handle(w)
		}
		return
	case id == "":
		refuse(w, http.StatusBadRequest)
		return
	}
	if source := r.Header.Get("Kv-Source"); source != "" {
		address, handle, _ := strings.Cut(source, "/")
		e.site.mu.Lock()
		from := e.site.engines[address]
		e.site.mu.Unlock()
		if from == nil || !from.take(handle) {
			refuse(w, http.StatusServiceUnavailable)
			return
		}
	}
	e.mu.Lock()
	full := len(e.running) >= e.Slots
	if !full {
		e.running[id] = 0
	}
	e.mu.Unlock()
	if full {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		delete(e.running, id)
		e.mu.Unlock()
	}()
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.site.addRun(Run{At: time.Now(), Attempt: id, Engine: e.ID, Version: e.Version, Method: r.Method, Target: r.RequestURI,
		Body: string(body), Hop: r.RemoteAddr, LastEvent: last})
	w.Header().Set("Response-Seal", e.seal())
	if stage == "" {
		e.plain(ctx, w, id)
		return
	}
	e.stream(ctx, w, r, id, last)
}

// halt doesn't return after a loss of power.
func (e *Engine) halt() {
	select {
	case <-e.dark:
		select {}
	default:
	}
}

func (e *Engine) handle(w http.ResponseWriter) {
	var raw [6]byte
	_, _ = rand.Read(raw[:]) // never fails
	name := hex.EncodeToString(raw[:])
	e.mu.Lock()
	e.handles[name] = time.Now()
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"kv_handle": name, "tokens": 5200, "version": 1}) // the caller may have left
}

func (e *Engine) plain(ctx context.Context, w http.ResponseWriter, id string) {
	if wait(ctx, e.Work) {
		_, _ = fmt.Fprintf(w, "answer to %s by %s", id, e.ID)
	}
}

// stream sends the events after last, as many as the request wants tokens.
func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, r *http.Request, id string, last int) {
	_, output, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	events, err := strconv.Atoi(output)
	if err != nil {
		events = 70
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", "1")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	for n := last + 1; n <= events; n++ {
		if !wait(ctx, e.Step) {
			e.halt()
			panic(http.ErrAbortHandler) // an answer that is cut off must not look complete
		}
		e.halt()
		end := ""
		if n == events {
			end = " end"
		}
		fmt.Fprintf(w, "id: %d\ndata: %s %s %s%s\n\n", n, id, e.ID, e.Version, end)
		if flush.Flush() != nil {
			return
		}
		e.mu.Lock()
		e.running[id] = n
		e.mu.Unlock()
	}
}

func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
