package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval in which servers write their entries.
const heartbeat = 1200 * time.Millisecond

// EngineSettings are the properties of a backend server.
type EngineSettings struct {
	ID, Service, Zone, Version string
	// Stage is empty for a plain server.
	Stage string
	Slots int
	// Work is the time of one plain request.
	Work time.Duration
	// Gap is the time between two events of a stream, Events their number.
	Gap    time.Duration
	Events int
	// TokensPerMs is the rate at which prompts are read.
	TokensPerMs float64
	// Switch is the time that a change of the stage takes, Handle that for which a KV cache
	// is kept.
	Switch, Handle time.Duration
	// Memory is the memory for KV caches in tokens.
	Memory int
	// Limit is the value of Server-Limit, empty for none.
	Limit string
	// Crashes, if set, tells whether the server crashes as it begins to run an attempt, and
	// Crashed is called then.
	Crashes func(attempt string) bool
	Crashed func(e *Engine, attempt string)
}

// OrderSeen is an order that reached a server.
type OrderSeen struct {
	At            time.Time
	Engine, Stage string
	Holder        string
	Fence         int64
	Status        int
}

// Arrival is a request that reached a server.
type Arrival struct {
	At      time.Time
	Engine  string
	Attempt string
	Kind    string
	Ran     bool
}

// Engine is a stand-in for a backend server.
type Engine struct {
	EngineSettings
	Addr   string
	Born   time.Time
	record *Record
	store  *Store
	server *http.Server
	stop   chan struct{}
	once   sync.Once

	mu       sync.Mutex
	state    string
	beat     uint64
	running  int
	reserved int
	prefill  time.Time
	handles  map[string]time.Time
	// switching is when the change of the stage is done, next the stage then.
	switching time.Time
	next      string
	accepted  int
	fence     int64
	report    []byte
	orders    []OrderSeen
	arrivals  []Arrival
}

// StartEngine starts a server and registers it in the store.
func StartEngine(rec *Record, store *Store, s EngineSettings) (*Engine, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Engine{EngineSettings: s, Addr: l.Addr().String(), Born: time.Now().Truncate(time.Millisecond), record: rec, store: store,
		stop: make(chan struct{}), state: "ready", handles: map[string]time.Time{}}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = e.server.Serve(l) }() // ends with Close
	e.refreshReport()
	e.writeEntry()
	go e.run()
	return e, nil
}

// Close ends the server as a crash does: its connections break and it writes nothing.
func (e *Engine) Close() {
	e.once.Do(func() {
		close(e.stop)
		e.server.Close()
	})
}

func (e *Engine) run() {
	beat, report := time.NewTicker(heartbeat), time.NewTicker(300*time.Millisecond)
	defer beat.Stop()
	defer report.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-beat.C:
			e.writeEntry()
		case <-report.C:
			if e.settleStage() {
				e.writeEntry()
			}
			e.refreshReport()
		}
	}
}

// settleStage ends a change of the stage that is due.
func (e *Engine) settleStage() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.switching.IsZero() || time.Now().Before(e.switching) || e.running > 0 {
		return false
	}
	e.Stage, e.switching = e.next, time.Time{}
	e.record.Line("engine %s is at stage %s", e.ID, e.Stage)
	return true
}

func (e *Engine) models() []map[string]any {
	return []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
}

// Leave removes the server's entry, as the store does after three missed heartbeats.
func (e *Engine) Leave() { e.store.Delete("servers/" + e.ID) }

func (e *Engine) writeEntry() {
	e.mu.Lock()
	e.beat++
	entry := map[string]any{"service": e.Service, "address": e.Addr, "zone": e.Zone, "version": e.Version, "slots": e.Slots,
		"state": e.state, "cold_remaining_ms": 0, "sequence": e.beat, "born": e.Born.UnixMilli()}
	if e.Stage != "" {
		entry["stage"], entry["models"] = e.Stage, e.models()
	}
	e.mu.Unlock()
	e.store.Put("servers/"+e.ID, entry)
}

// refreshReport takes the state that /report shows: it is some hundred ms old.
func (e *Engine) refreshReport() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report, _ = json.Marshal(map[string]any{"stage": e.Stage, "models": e.models(), "busy": !e.switching.IsZero(), "sequence": e.accepted,
		"waiting_requests": 0, "running_requests": e.running, "kv_used": e.reserved, "kv_total": e.Memory, "kv_handles": len(e.handles),
		"state": e.state, "runs": []any{}, "born": e.Born.UnixMilli()})
}

// Orders returns the orders that reached the server.
func (e *Engine) Orders() []OrderSeen {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]OrderSeen(nil), e.orders...)
}

// Arrivals returns the requests that reached the server.
func (e *Engine) Arrivals() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Arrival(nil), e.arrivals...)
}

func (e *Engine) arrive(kind, attempt string, ran bool) {
	e.mu.Lock()
	e.arrivals = append(e.arrivals, Arrival{time.Now(), e.ID, attempt, kind, ran})
	e.mu.Unlock()
	e.record.Line("engine %s: %s of %s, ran %v", e.ID, kind, attempt, ran)
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", e.ID)
	if e.Limit != "" {
		w.Header().Set("Server-Limit", e.Limit)
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/health":
		w.WriteHeader(http.StatusOK)
	case r.URL.Path == "/report":
		e.mu.Lock()
		body := e.report
		e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(body) // the caller may have left
	case r.URL.Path == "/order":
		e.serveOrder(w, r)
	case strings.HasPrefix(r.URL.Path, "/kv-handle/"):
		e.mu.Lock()
		delete(e.handles, strings.TrimPrefix(r.URL.Path, "/kv-handle/"))
		e.mu.Unlock()
	case e.Stage == "":
		e.servePlain(w, r)
	case r.Header.Get("Stage") == "prefill":
		e.servePrefill(w, r)
	default:
		e.serveStream(w, r)
	}
}

// serveOrder takes an order as PROTOCOL.md says.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation    string `json:"operation"`
		Stage        string `json:"stage"`
		Holder       string `json:"holder"`
		Fence        *int64 `json:"fencing_token"`
		Precondition *int   `json:"precondition"`
	}
	err := json.NewDecoder(r.Body).Decode(&o)
	e.mu.Lock()
	status := http.StatusAccepted
	switch {
	case err != nil || o.Operation != "stage" || o.Holder == "" || o.Fence == nil:
		status = http.StatusBadRequest
	case *o.Fence < e.fence:
		status = http.StatusPreconditionFailed
	case !e.switching.IsZero() || o.Precondition != nil && *o.Precondition != e.accepted:
		status = http.StatusConflict
	case o.Stage == e.Stage:
		status = http.StatusOK
	default:
		e.accepted++
		e.switching, e.next = time.Now().Add(e.Switch), o.Stage
	}
	fence := int64(0)
	if o.Fence != nil {
		fence = *o.Fence
		e.fence = max(e.fence, fence)
	}
	e.orders = append(e.orders, OrderSeen{time.Now(), e.ID, o.Stage, o.Holder, fence, status})
	e.mu.Unlock()
	e.record.Line("engine %s: order of %s to stage %s, token %d: %d", e.ID, o.Holder, o.Stage, fence, status)
	w.WriteHeader(status)
}

func (e *Engine) seal(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Response-Seal", fmt.Sprintf("%s.%x", e.ID, rand.Uint32()))
}

func notExecuted(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// take takes a slot and memory, false if there is none or the stage is another one.
func (e *Engine) take(tokens int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= e.Slots || !e.switching.IsZero() || e.Memory > 0 && e.reserved+tokens > e.Memory {
		return false
	}
	e.running++
	e.reserved += tokens
	return true
}

func (e *Engine) release(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.reserved -= tokens
}

func (e *Engine) servePlain(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // a broken body ends in a broken connection
	id := r.Header.Get("Attempt-Id")
	if !e.take(0) {
		e.arrive("request", id, false)
		notExecuted(w, r)
		return
	}
	defer e.release(0)
	e.arrive("request", id, true)
	if e.Crashes != nil && e.Crashes(id) {
		e.record.Line("engine %s crashes as it begins to run %s", e.ID, id)
		e.Crashed(e, id)
		e.Close()
		return
	}
	time.Sleep(e.Work)
	e.seal(w, r)
	_, _ = fmt.Fprintf(w, "answer to %s by %s\n", id, e.ID) // the caller may have left
}

// promptTokens returns the prompt and the longest output of a request.
func promptTokens(r *http.Request) (prompt, output int) {
	in, out, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	prompt, _ = strconv.Atoi(in)
	output, _ = strconv.Atoi(out)
	return prompt, output
}

func (e *Engine) stageIs(stage string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Stage == stage
}

func (e *Engine) servePrefill(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // a broken body ends in a broken connection
	id := r.Header.Get("Attempt-Id")
	if !e.stageIs("prefill") {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	prompt, _ := promptTokens(r)
	e.mu.Lock()
	if !e.switching.IsZero() {
		e.mu.Unlock()
		notExecuted(w, r)
		return
	}
	e.running++
	start := time.Now()
	if e.prefill.After(start) {
		start = e.prefill
	}
	e.prefill = start.Add(time.Duration(float64(prompt) / e.TokensPerMs * float64(time.Millisecond)))
	done := e.prefill
	e.mu.Unlock()
	time.Sleep(time.Until(done))
	handle := fmt.Sprintf("%012x", rand.Uint64()>>16)
	e.mu.Lock()
	e.running--
	e.handles[handle] = time.Now().Add(e.Handle)
	e.mu.Unlock()
	time.AfterFunc(e.Handle, func() {
		e.mu.Lock()
		delete(e.handles, handle)
		e.mu.Unlock()
	})
	e.arrive("prefill", id, true)
	w.Header().Set("Attempt-Id", id)
	writeJSON(w, map[string]any{"kv_handle": handle, "tokens": prompt, "version": 1})
}

func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // a broken body ends in a broken connection
	id := r.Header.Get("Attempt-Id")
	if !e.stageIs("decode") {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	prompt, output := promptTokens(r)
	if !e.take(prompt + output) {
		e.arrive("stream", id, false)
		notExecuted(w, r)
		return
	}
	defer e.release(prompt + output)
	if r.Header.Get("Kv-Source") == "" {
		time.Sleep(time.Duration(2 * float64(prompt) / e.TokensPerMs * float64(time.Millisecond)))
	}
	e.arrive("stream", id, true)
	e.seal(w, r)
	w.Header().Set("Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= e.Events; i++ {
		select {
		case <-time.After(e.Gap):
		case <-r.Context().Done():
			return
		case <-e.stop:
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %d\n\n", i, e.ID, id, i); err != nil {
			return
		}
		if control.Flush() != nil {
			return
		}
	}
}
