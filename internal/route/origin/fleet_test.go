package origin_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/peer/gossip"
	"citronrock.example/citronrock/internal/route/origin"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
)

// Times of the simulated network and membership.
const (
	pumpTime   = 500 * time.Microsecond
	maxDelay   = 2 * time.Millisecond
	joinTime   = 100 * time.Millisecond
	matureTime = time.Second
	viewTime   = 20 * time.Millisecond
	// headerBytes are those of a datagram's version and kind, UDP and IP.
	headerBytes = 2 + 28
)

// fleet is a simulated fleet of groups, with the time of a synctest bubble. Its network
// and the groups use no timers with channels: two threads that run such timers of one
// bubble at the same time crash the race detector of Go 1.26.
type fleet struct {
	// random draws what happens, noise what the network does.
	random  *rand.Rand
	mu      sync.Mutex
	noise   *rand.Rand
	loss    float64
	daemons []*daemon
	byAddr  map[netip.AddrPort]*daemon
	queue   []packet
	// sent counts datagrams by kind, bytes with their headers, history whether and what
	// daemons know of the versions that serve.
	sent, bytes map[dgram.Kind]int
	// got has the daemons that got the record of an attempt.
	got     map[string]map[*daemon]bool
	history func(ctx context.Context, d *daemon) origin.List
	stop    chan struct{}
	stopped sync.WaitGroup
	// detect is how long a dead daemon is listed.
	detect time.Duration
}

type packet struct {
	due      time.Time
	from, to *daemon
	kind     dgram.Kind
	body     []byte
	// process is the receiver's.
	process *origin.Group
}

// daemon is one daemon of a fleet: its group's socket and view of the members.
type daemon struct {
	*fleet
	addr  netip.AddrPort
	group *origin.Group
	// up and down are when it started and died or was cut off. An old one knows nothing of
	// origins.
	up, down     time.Time
	old, leaving bool
	handlers     map[dgram.Kind]dgram.Handler
	// alive is the last view of the members, of viewedAt.
	alive    []gossip.LiveMember
	viewedAt time.Time
}

func newFleet(n int, loss float64, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 34)), noise: rand.New(rand.NewPCG(seed, 35)), loss: loss, byAddr: map[netip.AddrPort]*daemon{}, sent: map[dgram.Kind]int{}, bytes: map[dgram.Kind]int{},
		got: map[string]map[*daemon]bool{}, stop: make(chan struct{}), detect: 900 * time.Millisecond}
	if n > 8 {
		f.detect = 2250 * time.Millisecond
	}
	f.history = func(context.Context, *daemon) origin.List { return origin.List{} }
	for i := range n {
		d := &daemon{fleet: f, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 200), byte(i%200 + 1)}), 7000)}
		f.daemons = append(f.daemons, d)
		f.byAddr[d.addr] = d
		d.start()
	}
	f.stopped.Go(func() {
		for {
			select {
			case <-f.stop:
				return
			default:
			}
			time.Sleep(pumpTime)
			f.deliver()
		}
	})
	time.Sleep(2 * time.Second)
	return f
}

func (f *fleet) close() {
	close(f.stop)
	f.stopped.Wait()
	for _, d := range f.daemons {
		d.group.Close()
	}
}

// start starts the daemon's process, which knows nothing.
func (d *daemon) start() {
	d.mu.Lock()
	d.handlers = map[dgram.Kind]dgram.Handler{}
	d.up, d.down, d.viewedAt = time.Now(), time.Time{}, time.Time{}
	was := d.group
	d.mu.Unlock()
	if was != nil {
		was.Close()
	}
	history := origin.WithHistory(func(ctx context.Context, _ string) origin.List { return d.history(ctx, d) })
	group := origin.New(d.addr, d, d, hclog.NewNullLogger(), history)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.group = group
	for _, holds := range d.got {
		delete(holds, d)
	}
}

// leave makes the daemon say that it leaves, or no longer.
func (d *daemon) leave(leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = leaving
}

// startOld starts the daemon's process with an older build.
func (d *daemon) startOld() {
	d.mu.Lock()
	d.old = true
	d.mu.Unlock()
	d.start()
}

// kill cuts daemons off. They keep what they hold until they start again.
func (f *fleet) kill(daemons ...*daemon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range daemons {
		if d.down.IsZero() {
			d.down = time.Now()
		}
	}
}

// heal puts daemons in touch again that were cut off.
func (f *fleet) heal(daemons ...*daemon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range daemons {
		d.down = time.Time{}
	}
}

func (d *daemon) Handle(k dgram.Kind, h dgram.Handler) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.old {
		d.handlers[k] = h
	}
}

func (d *daemon) Decode(body []byte, m any) bool { return cbor.Unmarshal(body, m) == nil }

func (d *daemon) Send(k dgram.Kind, m any, to ...netip.AddrPort) {
	body, err := cbor.Marshal(m)
	if err != nil || len(body) > 1200 {
		panic(fmt.Sprintf("datagram of %d bytes, error %v", len(body), err))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, addr := range to {
		d.sent[k]++
		d.bytes[k] += len(body) + headerBytes
		if other := d.byAddr[addr]; d.down.IsZero() && d.noise.Float64() >= d.loss {
			delay := time.Duration(d.noise.Int64N(int64(maxDelay)))
			d.queue = append(d.queue, packet{time.Now().Add(delay), d, other, k, body, other.group})
		}
	}
}

// deliver passes on the datagrams that are due.
func (f *fleet) deliver() {
	f.mu.Lock()
	var due []packet
	var handlers []dgram.Handler
	f.queue = slices.DeleteFunc(f.queue, func(p packet) bool {
		if p.due.After(time.Now()) {
			return false
		}
		if h := p.to.handlers[p.kind]; h != nil && p.to.down.IsZero() && p.from.down.IsZero() && p.process == p.to.group {
			due, handlers = append(due, p), append(handlers, h)
			f.note(p)
		}
		return true
	})
	f.mu.Unlock()
	for i, p := range due {
		handlers[i](p.from.addr, p.body)
	}
}

// note notes who has got a record. The caller holds mu.
func (f *fleet) note(p packet) {
	var m struct {
		Attempt []byte `cbor:"2,keyasint"`
	}
	if p.kind != dgram.OriginRecord || cbor.Unmarshal(p.body, &m) != nil {
		return
	}
	if f.got[string(m.Attempt)] == nil {
		f.got[string(m.Attempt)] = map[*daemon]bool{}
	}
	f.got[string(m.Attempt)][p.to] = true
}

// holders returns the daemons that got the record of an attempt from another one.
func (f *fleet) holders(attempt string) []*daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*daemon
	for _, d := range f.daemons {
		if f.got[attempt][d] {
			out = append(out, d)
		}
	}
	return out
}

// Alive returns the members as this daemon sees them, at most 20 ms old.
func (d *daemon) Alive() []gossip.LiveMember {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if now.Sub(d.viewedAt) < viewTime {
		return d.alive
	}
	out := make([]gossip.LiveMember, 0, len(d.daemons))
	for _, other := range d.daemons {
		since := now.Sub(other.up)
		if now.Sub(d.up) < since {
			since = now.Sub(d.up)
		}
		if down := other.down; other != d && (since < joinTime || !down.IsZero() && now.Sub(down) > d.detect) {
			continue
		}
		out = append(out, gossip.LiveMember{Member: gossip.Member{Addr: other.addr, Incarnation: other.up.UnixNano(), Leaving: other.leaving}, Mature: !other.leaving && since >= matureTime})
	}
	d.alive, d.viewedAt = out, now
	return out
}

// live returns a random daemon that is up and not an old one.
func (f *fleet) live() *daemon {
	for {
		if d := f.daemons[f.random.IntN(len(f.daemons))]; d.down.IsZero() && !d.old {
			return d
		}
	}
}

// some returns n random daemons.
func (f *fleet) some(n int) []*daemon {
	var out []*daemon
	for _, i := range f.random.Perm(len(f.daemons))[:n] {
		out = append(out, f.daemons[i])
	}
	return out
}

// stream is a stream that began at a daemon.
type stream struct {
	attempt, version string
	at               *daemon
	// took is how long its first event was held up.
	took time.Duration
}

// begin begins n streams at the same time at random daemons, of two versions.
func (f *fleet) begin(n int) []*stream {
	out := make([]*stream, n)
	var all sync.WaitGroup
	for i := range out {
		s := &stream{attempt: fmt.Sprintf("%016x", f.random.Uint64()), version: fmt.Sprint("v", i%2), at: f.live()}
		out[i] = s
		all.Go(func() {
			started := time.Now()
			s.at.group.Record(context.Background(), origin.Origin{Attempt: s.attempt, Service: "llm", Version: s.version, Until: started.Add(14 * time.Second)})
			s.took = time.Since(started)
		})
	}
	all.Wait()
	return out
}

// find takes streams up at the same time at random daemons. It returns the number that may
// go on, and of those at a wrong version, and the longest time that this took.
func (f *fleet) find(streams []*stream) (found, wrong int, longest time.Duration) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, s := range streams {
		d := f.live()
		all.Go(func() {
			ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(14*time.Second))
			defer cancel()
			started := time.Now()
			version, ok := d.group.Find(ctx, "llm", s.attempt)
			mu.Lock()
			defer mu.Unlock()
			longest = max(longest, time.Since(started))
			if ok {
				found++
			}
			if ok && version != s.version {
				wrong++
			}
		})
	}
	all.Wait()
	return found, wrong, longest
}
