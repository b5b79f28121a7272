package gate

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/peer/gossip"
	"citronrock.example/citronrock/internal/room/permit"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
)

// Times of the simulated network and of the contract.
const (
	maxDelay      = 3 * time.Millisecond
	maxJoinDelay  = 300 * time.Millisecond
	detectTime    = 900 * time.Millisecond
	maxDetect     = 600 * time.Millisecond
	matureAge     = time.Second
	contactWindow = 3 * time.Second
	toldAfter     = 500 * time.Millisecond
	serverTime    = 10 * time.Millisecond
)

// fleet is a simulated fleet of gates in front of one server, with the time of a
// synctest bubble. Gates and nodes use no timers with channels: two threads that run such
// timers of one bubble at the same time crash the race detector of Go 1.26.
type fleet struct {
	mu     sync.Mutex
	random *rand.Rand
	nodes  []*node
	loss   float64
	server pool.Server
	limit  float64 // zero: none
	limits []limitChange
	sends  []send
	denied int
	// asks counts the asks and replies of permits.
	asks    int
	started time.Time
}

type limitChange struct {
	at   time.Time
	rate float64
}

type send struct {
	at   time.Time
	node int
}

// node is one daemon. It is its gate's socket, view of the fleet and backend.
type node struct {
	*fleet
	index    int
	addr     netip.AddrPort
	gate     atomic.Pointer[Gate]
	handlers map[dgram.Kind]dgram.Handler
	notices  func([]permit.Notice)
	onLimit  func(pool.Server, pool.Limit)
	// up, left and down are when it started, said that it leaves, and stopped. part is
	// its part of a divided network, cutAt and healedAt when that began and ended.
	up, left, down  time.Time
	part            int
	cutAt, healedAt time.Time
}

func newFleet(seed uint64, n int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 28)), started: time.Now(), server: pool.Server{ID: "x", Service: "s", Sequence: 1, StartedAt: time.UnixMilli(1)}}
	for i := range n {
		x := &node{fleet: f, index: i, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i%250 + 1)}), 7000)}
		f.nodes = append(f.nodes, x)
	}
	return f
}

// start starts a node's process.
func (x *node) start() {
	x.mu.Lock()
	x.handlers = map[dgram.Kind]dgram.Handler{}
	x.mu.Unlock()
	table := pool.New()
	table.Put(x.server)
	x.gate.Store(New(x.addr, x, x, x, table, servers{node: x}, hclog.NewNullLogger()))
	x.mu.Lock()
	defer x.mu.Unlock()
	x.up, x.left, x.down = time.Now(), time.Time{}, time.Time{}
}

// stop ends a node's process.
func (x *node) stop() {
	x.mu.Lock()
	x.down = time.Now()
	x.mu.Unlock()
	x.gate.Load().Close()
}

// reaches reports whether messages of x reach other. The caller holds mu.
func (x *node) reaches(other *node) bool {
	return !other.up.IsZero() && other.down.IsZero() && x.down.IsZero() && x.part == other.part
}

// jitter returns a fixed share of limit for a pair of nodes.
func (x *node) jitter(other *node, limit time.Duration) time.Duration {
	return limit * time.Duration((x.index*31+other.index*17)%100) / 100
}

// view returns whether x takes other for alive or for lost. The caller holds mu.
func (x *node) view(now time.Time, other *node) (alive, lost bool) {
	if x == other {
		return true, false
	}
	if other.up.IsZero() {
		return false, false
	}
	since := maxTime(maxTime(other.up, x.up), maxTime(x.healedAt, other.healedAt))
	if x.reaches(other) {
		if now.Sub(since) >= x.jitter(other, maxJoinDelay) {
			return true, false
		}
		// Before a heal the other one was lost; before a start it may not have been known.
		return false, since.After(maxTime(other.up, x.up))
	}
	gone := other.down
	if gone.IsZero() {
		gone = maxTime(x.cutAt, other.cutAt)
	}
	switch {
	case !other.left.IsZero() && now.Sub(other.left) > maxJoinDelay:
		return false, false
	case gone.Before(x.up):
		return false, false // it never met the other one
	case now.Sub(gone) < detectTime+x.jitter(other, maxDetect):
		return true, false
	}
	return false, true
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Alive returns the daemons that x takes for alive.
func (x *node) Alive() []gossip.LiveMember {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	var out []gossip.LiveMember
	for _, other := range x.nodes {
		if alive, _ := x.view(now, other); alive {
			out = append(out, gossip.LiveMember{Member: gossip.Member{Addr: other.addr, CPUShare: 40, Leaving: !other.left.IsZero()},
				Mature: other.left.IsZero() && now.Sub(other.up) >= matureAge+x.jitter(other, maxJoinDelay)})
		}
	}
	return out
}

// Lost returns the number of daemons that x takes for lost.
func (x *node) Lost() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n, now := 0, time.Now()
	for _, other := range x.nodes {
		if _, lost := x.view(now, other); lost {
			n++
		}
	}
	return n
}

// Send delivers a message to other nodes, late or not at all.
func (x *node) Send(k dgram.Kind, message any, to ...netip.AddrPort) {
	body, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	x.mu.Lock()
	x.asks++
	x.mu.Unlock()
	for _, other := range x.nodes {
		if slices.Contains(to, other.addr) {
			x.deliver(other, func() {
				other.mu.Lock()
				h := other.handlers[k]
				other.mu.Unlock()
				h(x.addr, body)
			})
		}
	}
}

// deliver calls f later, unless the message is lost.
func (x *node) deliver(other *node, f func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.reaches(other) || x.random.Float64() < x.loss {
		return
	}
	process := other.up
	time.AfterFunc(time.Duration(1+x.random.Int64N(int64(maxDelay))), func() {
		x.mu.Lock()
		ok := x.reaches(other) && other.up.Equal(process)
		x.mu.Unlock()
		if ok {
			f()
		}
	})
}

func (x *node) Handle(k dgram.Kind, h dgram.Handler) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.handlers[k] = h
}

func (*node) Decode(body []byte, message any) bool { return cbor.Unmarshal(body, message) == nil }

func (x *node) BroadcastLimits(notices []permit.Notice) {
	for _, other := range x.nodes {
		if other != x {
			x.deliver(other, func() {
				other.mu.Lock()
				f := other.notices
				other.mu.Unlock()
				f(notices)
			})
		}
	}
}

func (x *node) HandleLimits(f func([]permit.Notice)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.notices = f
}

// servers is the citronrock.Backends of a node's gate. It is a type of its own, as node
// also has a method Send for datagrams.
type servers struct {
	citronrock.Backends
	*node
}

func (s servers) OnLimit(f func(pool.Server, pool.Limit)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onLimit = f
}

// Send counts a request, and says what the server names when the request has arrived.
func (s servers) Send(_ context.Context, to pool.Server, _ *proxy.Request, _ proxy.Options) (*proxy.Response, error) {
	sent := time.Now()
	s.mu.Lock()
	s.sends = append(s.sends, send{sent, s.index})
	s.mu.Unlock()
	time.Sleep(serverTime)
	s.mu.Lock()
	l := pool.Limit{State: pool.LimitNone, SentAt: sent}
	if s.limit > 0 {
		l.State, l.Rate = pool.LimitNamed, s.limit
	}
	onLimit := s.onLimit
	s.mu.Unlock()
	onLimit(to, l)
	return &proxy.Response{Status: http.StatusOK, Close: func() {}}, nil
}

// drive sends requests through a node's gate at a mean rate per second until the end.
func (x *node) drive(rate float64, end time.Time, random *rand.Rand) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		x.mu.Lock()
		up := !x.up.IsZero() && x.down.IsZero()
		x.mu.Unlock()
		if !up {
			continue
		}
		go func() {
			if _, err := x.gate.Load().Send(context.Background(), x.server, nil, proxy.Options{}); err != nil {
				x.mu.Lock()
				x.denied++
				x.mu.Unlock()
			}
		}()
	}
}

// setLimit makes the server name a limit, none if rate is zero.
func (f *fleet) setLimit(rate float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limit = rate
	f.limits = append(f.limits, limitChange{time.Now(), rate})
}

// divide puts each node into a part of the network, until heal.
func (f *fleet) divide(part func(i int) int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, x := range f.nodes {
		x.part, x.cutAt = part(i), time.Now()
	}
}

func (f *fleet) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, x := range f.nodes {
		x.part, x.healedAt = 0, time.Now()
	}
}

// restart stops and starts a node.
func (x *node) restart(graceful bool, pause time.Duration) {
	if graceful {
		x.mu.Lock()
		x.left = time.Now()
		x.mu.Unlock()
		time.Sleep(pause)
	}
	x.stop()
	time.Sleep(pause)
	x.start()
}

// check returns the greatest load in permit.LoadWindow as a multiple of the allowed one,
// and the share of the limit used from from to to. It counts all sends later than
// toldAfter after the limit was first named, also of daemons that were not told yet,
// which the contract doesn't count.
func (f *fleet) check(t *testing.T, from, to time.Duration) (used float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for end := contactWindow; end < 60*time.Second; end += 10 * time.Millisecond {
		now := f.limits[0].at.Add(end)
		rate, ended := f.rateIn(now.Add(-permit.LoadWindow-toldAfter), now)
		if ended {
			break
		}
		n := 0
		for _, s := range f.sends {
			if s.at.After(now.Add(-permit.LoadWindow)) && !s.at.After(now) && s.at.After(f.limits[0].at.Add(toldAfter)) {
				n++
			}
		}
		if allowed := permit.LoadFactor*rate*permit.LoadWindow.Seconds() + permit.LoadSlack; float64(n) > allowed {
			t.Errorf("%d requests in the 4 s before %v, allowed %.1f", n, now.Sub(f.started), allowed)
			break
		}
	}
	n := 0
	for _, s := range f.sends {
		if s.at.After(f.started.Add(from)) && s.at.Before(f.started.Add(to)) {
			n++
		}
	}
	rate, _ := f.rateIn(f.started.Add(from), f.started.Add(to))
	return float64(n) / (rate * (to - from).Seconds())
}

// rateIn returns the highest limit in a span of time, and whether there was none at some
// time in it. The caller holds mu.
func (f *fleet) rateIn(from, to time.Time) (high float64, ended bool) {
	for i, c := range f.limits {
		if c.at.After(to) || i+1 < len(f.limits) && f.limits[i+1].at.Before(from) {
			continue
		}
		high, ended = max(high, c.rate), ended || c.rate == 0
	}
	return high, ended
}
