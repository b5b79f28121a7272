package crash_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/peer/gossip"
	"citronrock.example/citronrock/internal/route/crash"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
)

// Times of the simulated engines and fleet.
const (
	tickTime      = 10 * time.Millisecond
	prefillTime   = 80 * time.Millisecond
	crashAfter    = 100 * time.Millisecond // from the start of decoding
	firstEvent    = 20 * time.Millisecond
	eventGap      = 40 * time.Millisecond
	restartTime   = 4 * time.Second
	contactWindow = 3 * time.Second
	engineService = "llm"
)

// chain draws the parts of a prompt.
type chain func(random *rand.Rand, n int) []string

// load is a part of the requests, a share of a second each.
type load struct {
	rate  float64
	parts chain
	// body is the content, one of its own for each request if it is empty.
	body string
}

// fleet is a set of daemons with guards, engines, and clients.
type fleet struct {
	random  *rand.Rand
	loss    float64
	daemons []*daemon
	byAddr  map[netip.AddrPort]*daemon
	members []gossip.LiveMember
	engines []*engine
	flights []*flight
	bad     map[string]bool
	badBody string
	names   int

	mu  sync.Mutex
	due []task

	// crashes has the times at which engines crashed under a part, reached when
	// requests with it reached engines, sent when they were sent.
	crashes      map[string][]time.Time
	later        map[string]int
	sound        map[string]*tally
	engineDeaths int
}

// tally counts the sound requests with a first part.
type tally struct{ sent, refused int }

// daemon is one daemon of a fleet.
type daemon struct {
	*fleet
	addr     netip.AddrPort
	guard    *crash.Guard
	handlers [256]dgram.Handler
	// offUntil is when the daemon is back after a freeze, startedAt when it was started
	// or thawed.
	offUntil, startedAt time.Time
}

type engine struct {
	pool.Server
	downUntil time.Time
}

// flight is a request at an engine.
type flight struct {
	req              *proxy.Request
	at               *daemon
	sent, decodeAt   time.Time
	decoding         bool
	on               *engine
	server           pool.Server
	began, ends      time.Time
	crashing, proved bool
}

func newFleet(daemons, engines int, loss float64, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 7)), loss: loss, bad: map[string]bool{}, byAddr: map[netip.AddrPort]*daemon{}, crashes: map[string][]time.Time{},
		later: map[string]int{}, sound: map[string]*tally{}}
	for i := range daemons {
		d := &daemon{fleet: f, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 200), byte(i%200 + 1)}), 7000)}
		f.daemons = append(f.daemons, d)
	}
	for _, d := range f.daemons {
		f.byAddr[d.addr] = d
		f.members = append(f.members, gossip.LiveMember{Member: gossip.Member{Addr: d.addr}, Mature: true})
	}
	for _, d := range f.daemons {
		d.start()
	}
	for i := range engines {
		f.engines = append(f.engines, &engine{Server: pool.Server{ID: fmt.Sprint("e", i), Service: engineService, StartedAt: time.Now()}})
	}
	return f
}

// start starts the daemon's process.
func (d *daemon) start() {
	d.startedAt = time.Now()
	d.guard = crash.New(d.addr, d, d, hclog.NewNullLogger())
}

func (d *daemon) Handle(k dgram.Kind, h dgram.Handler) { d.handlers[k] = h }

func (d *daemon) Decode(body []byte, m any) bool { return cbor.Unmarshal(body, m) == nil }

func (d *daemon) Send(k dgram.Kind, m any, to ...netip.AddrPort) {
	body, err := cbor.Marshal(m)
	if err != nil || len(body) > 16<<10 {
		panic(fmt.Sprintf("datagram of %d bytes, error %v", len(body), err))
	}
	for _, addr := range to {
		other := d.byAddr[addr]
		if rand.Float64() < d.loss {
			continue
		}
		d.after(0, func() {
			if h := other.handlers[k]; h != nil && time.Now().After(other.offUntil) {
				h(d.addr, body)
			}
		})
	}
}

// after does something in a later tick. Timers would exceed what the race detector bears
// in one test.
func (f *fleet) after(delay time.Duration, do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.due = append(f.due, task{time.Now().Add(delay), do})
}

// doDue does what is due.
func (f *fleet) doDue() {
	f.mu.Lock()
	var now []task
	f.due = slices.DeleteFunc(f.due, func(t task) bool {
		due := !t.at.After(time.Now())
		if due {
			now = append(now, t)
		}
		return due
	})
	f.mu.Unlock()
	for _, t := range now {
		t.do()
	}
}

// task is something to be done at a time.
type task struct {
	at time.Time
	do func()
}

func (f *fleet) Alive() []gossip.LiveMember { return f.members }

// send lets a client send a request.
func (f *fleet) send(l load) {
	f.names++
	d := f.daemons[f.random.IntN(len(f.daemons))]
	if time.Now().Before(d.offUntil) {
		return
	}
	req := &proxy.Request{ID: fmt.Sprint("q", f.names), Method: "POST", Host: "h", Target: "/x", Parts: l.parts(f.random, f.names), Body: []byte(l.body)}
	if l.body == "" {
		req.Body = []byte(req.ID)
	}
	crashing := f.isBad(req)
	var t *tally
	if !crashing && len(req.Parts) > 0 {
		if t = f.sound[req.Parts[0]]; t == nil {
			t = &tally{}
			f.sound[req.Parts[0]] = t
		}
		t.sent++
	}
	if d.guard.IsBlocked(req) || d.guard.BlockedPart(req, engineService) != "" {
		if t != nil {
			t.refused++
		}
		return
	}
	for _, part := range req.Parts {
		// Daemons that have just started or thawed are not in touch.
		if list := f.crashes[part]; len(list) >= toleratedCrashes && time.Since(list[toleratedCrashes-1]) > contactWindow && time.Since(d.startedAt) > contactWindow {
			f.later[part]++
		}
	}
	f.flights = append(f.flights, &flight{req: req, at: d, sent: time.Now(), decodeAt: time.Now().Add(prefillTime), crashing: crashing})
}

func (f *fleet) isBad(req *proxy.Request) bool {
	if f.badBody != "" && string(req.Body) == f.badBody {
		return true
	}
	for _, part := range req.Parts {
		if f.bad[part] {
			return true
		}
	}
	return false
}

// decode starts a request at a live engine, the least loaded of two.
func (f *fleet) decode(x *flight) {
	var up []*engine
	for _, e := range f.engines {
		if time.Now().After(e.downUntil) {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		x.decodeAt = time.Now().Add(time.Second)
		return
	}
	x.on = up[f.random.IntN(len(up))]
	x.server, x.decoding, x.began = x.on.Server, true, time.Now()
	x.ends = time.Now().Add(time.Duration(500+f.random.IntN(3000)) * time.Millisecond)
}

// crash ends an engine and all runs on it.
func (f *fleet) crash(e *engine) {
	f.engineDeaths++
	old := e.Server
	e.downUntil = time.Now().Add(restartTime)
	e.StartedAt = e.downUntil
	saw := map[*daemon]bool{}
	var left []*flight
	for _, x := range f.flights {
		if !x.decoding || x.on != e || x.server != old {
			left = append(left, x)
			continue
		}
		for _, part := range x.req.Parts {
			if f.bad[part] {
				f.crashes[part] = append(f.crashes[part], time.Now())
			}
		}
		if time.Now().Before(x.at.offUntil) {
			continue
		}
		saw[x.at] = true
		p := crash.Progress{}
		if since := time.Since(x.began) - firstEvent; since > 0 && !x.crashing {
			p = crash.Progress{Events: 1 + int(since/eventGap), Writing: since}
		}
		x.at.guard.RecordBroken(x.req, old, x.began, p)
	}
	f.flights = left
	for d := range saw {
		f.after(time.Duration(f.random.IntN(200))*time.Millisecond, func() { d.guard.RecordServerDown(old) })
	}
}

// run lets clients send for a time.
func (f *fleet) run(span time.Duration, loads ...load) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(tickTime) {
		f.doDue()
		for _, l := range loads {
			if f.random.Float64() < l.rate*tickTime.Seconds() {
				f.send(l)
			}
		}
		var dead []*engine
		var left []*flight
		for _, x := range f.flights {
			now := time.Now()
			switch {
			case !x.decoding && now.After(x.decodeAt):
				f.decode(x)
			case x.decoding && x.crashing && now.Sub(x.began) >= crashAfter:
				dead = append(dead, x.on)
			case x.decoding && !x.crashing && !x.proved && now.Sub(x.began) > firstEvent:
				since := now.Sub(x.began) - firstEvent
				x.proved = x.at.guard.RecordProgress(x.req, engineService, crash.Progress{Events: 1 + int(since/eventGap), Writing: since})
			case x.decoding && now.After(x.ends):
				x.at.guard.RecordSuccess(x.req, engineService)
				continue
			}
			left = append(left, x)
		}
		f.flights = left
		for _, e := range dead {
			if time.Now().After(e.downUntil) {
				f.crash(e)
			}
		}
	}
}

// some draws one of n parts.
func some(random *rand.Rand, prefix string, n int) string {
	return fmt.Sprint(prefix, random.IntN(n))
}

func (f *fleet) close() {
	time.Sleep(time.Second)
	for _, d := range f.daemons {
		d.guard.Close()
	}
}
