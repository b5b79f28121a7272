package origin

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/peer/gossip"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"
)

const (
	// holders is the number of other daemons that hold a record, reach the number of those
	// in rendezvous order that may have it: later ones stand in for silent holders, and the
	// order grows by daemons that join after the record was made.
	holders, reach = 3, 6
	// A record is sent again each resendAfter to those that have not confirmed it, until
	// confirmTime has passed.
	resendAfter = 25 * time.Millisecond
	confirmTime = 100 * time.Millisecond
	// silentTime is how long a daemon that did not confirm a record is not waited for.
	silentTime = time.Second
	// maxDeliveries and maxSearches bound the records and searches in flight, maxSpreads
	// the records that are sent again in the background.
	maxDeliveries = 1024
	maxSearches   = 1024
	maxSpreads    = 64
	// warnInterval is the least time between log lines about records without confirmation.
	warnInterval = time.Second
)

// History returns the versions of the engines of a service that may have begun a stream
// which is still going on. It may wait for a read of the store, until ctx is done; if ctx is
// done already, it returns at once what it knows, not confirmed. It is called by many
// goroutines at the same time.
type History func(ctx context.Context, service string) List

// Group holds the records of this daemon and exchanges them with the others. It implements
// citronrock.Origins.
type Group struct {
	self     netip.AddrPort
	socket   dgram.Transport
	members  gossip.Members
	log      hclog.Logger
	history  History // may be nil
	capacity int
	warn     *rate.Limiter
	// done is a context that is done, closing is done once the group is closed.
	done, closing context.Context
	cancel        context.CancelFunc
	spreads       chan struct{}
	running       sync.WaitGroup

	mu     sync.Mutex
	closed bool
	table  *Table
	// number identifies the last delivery or search in flight. It starts at random, so that
	// answers to an earlier process don't fit.
	number     uint64
	deliveries map[uint64]*delivery
	searches   map[uint64]*search
	// silent has the daemons that are not waited for, and until when.
	silent map[netip.AddrPort]time.Time

	unconfirmed atomic.Int64
	found       [results]atomic.Int64

	// view has the other daemons as of the last look for those that are gone. Only the
	// repair timer uses it.
	view   []peer
	repair *time.Timer
}

// Option sets an option of a Group.
type Option func(*Group)

// WithHistory sets the function that returns which versions can have begun a stream of
// which there is no record. Without it such a stream's version is unknown.
func WithHistory(h History) Option { return func(g *Group) { g.history = h } }

// WithCapacity sets the number of records that this daemon holds at most.
func WithCapacity(n int) Option { return func(g *Group) { g.capacity = n } }

// New returns the group of the daemon at self and subscribes it to the messages of others.
// Close ends it.
func New(self netip.AddrPort, socket dgram.Transport, members gossip.Members, log hclog.Logger, opts ...Option) *Group {
	g := &Group{self: self, socket: socket, members: members, log: log, capacity: DefaultCapacity, done: endedContext(),
		warn:     rate.NewLimiter(rate.Every(warnInterval), 1),
		spreads:  make(chan struct{}, maxSpreads),
		number:   rand.Uint64(),
		searches: map[uint64]*search{}, deliveries: map[uint64]*delivery{}, silent: map[netip.AddrPort]time.Time{}}
	for _, o := range opts {
		o(g)
	}
	g.table = NewTable(g.capacity)
	g.closing, g.cancel = context.WithCancel(context.Background())
	g.subscribe()
	g.startRepair()
	return g
}

// Close ends what waits for other daemons.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.repair.Stop()
	g.mu.Unlock()
	g.cancel()
	g.running.Wait()
}

// Held returns the number of records that this daemon holds.
func (g *Group) Held() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.expire(time.Now())
	return int64(g.table.Len())
}

// Unconfirmed returns the number of records that fewer daemons have confirmed in time than
// are to hold them.
func (g *Group) Unconfirmed() int64 { return g.unconfirmed.Load() }

// InFlight returns the number of records and searches that wait for other daemons.
func (g *Group) InFlight() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int64(len(g.deliveries) + len(g.searches))
}

// Record stores the origin of a stream here and at three other daemons. It returns when
// they have confirmed it, after 100 ms at the latest. An attempt must be recorded before
// its first event goes to the client, and not go on at another version after that.
func (g *Group) Record(ctx context.Context, o Origin) {
	version := o.Version
	g.mu.Lock()
	o, ok := g.table.Put(time.Now(), o)
	g.mu.Unlock()
	if !ok {
		return // no client can name this attempt, or only after the end of its time
	}
	started := time.Now()
	confirmed, want := g.deliver(ctx, o, holders)
	g.mu.Lock()
	merged, ok := g.table.Get(time.Now(), o.Attempt)
	g.mu.Unlock()
	if ok && merged.Version == "" && version != "" {
		// Others have it at another version. All that may be asked must know that, the
		// daemon that has recorded it first, too.
		g.log.Warn("origin of a stream contradicts an earlier one; its version is unknown", "request", o.Attempt, "software", version)
		g.spread(merged, reach+1)
	}
	if confirmed >= want {
		return
	}
	if g.unconfirmed.Add(1); g.warn.Allow() {
		g.log.Warn("origin of a stream not confirmed by enough daemons; the stream goes on", "request", o.Attempt, "service", o.Service,
			"software", o.Version, "confirmed", confirmed, "want", want, "took", lines.Ms(time.Since(started)))
	}
}

// Learn stores an origin that an engine's report shows, and sends it to the daemons that
// are to hold it, in the background.
func (g *Group) Learn(o Origin) {
	g.mu.Lock()
	o, ok := g.table.Put(time.Now(), o)
	g.mu.Unlock()
	if ok {
		g.spread(o, holders)
	}
}

// waiter is woken when there is news.
type waiter chan struct{}

func (w waiter) poke() {
	select {
	case w <- struct{}{}:
	default: // it is awake already
	}
}

// delivery is a record on its way to other daemons. The group's mu guards asked and
// confirmed.
type delivery struct {
	waiter
	attempt string
	until   time.Time
	// asked has the daemons that got the record, true while they have not confirmed it.
	asked     map[netip.AddrPort]bool
	confirmed int
}

// deliver sends a record to the first n daemons that are to hold it, and returns how many
// have confirmed that, and how many should have. Later daemons in the order stand in for
// silent ones.
func (g *Group) deliver(ctx context.Context, o Origin, n int) (confirmed, want int) {
	best, _ := order(o.Attempt, g.peers(), n+reach-holders)
	return g.deliverTo(ctx, o, best, n)
}

// deliverTo does the same with daemons in the given order.
func (g *Group) deliverTo(ctx context.Context, o Origin, order []netip.AddrPort, n int) (confirmed, want int) {
	want = min(n, len(order))
	if want == 0 {
		return 0, 0
	}
	started := time.Now()
	d := &delivery{waiter: make(waiter, 1), attempt: o.Attempt, until: o.Until, asked: map[netip.AddrPort]bool{}}
	g.mu.Lock()
	// need is the number of confirmations to wait for.
	need, next := 0, 0
	for ; next < len(order) && need < want; next++ {
		d.asked[order[next]] = true
		if !started.Before(g.silent[order[next]]) {
			need++
		}
	}
	g.number++
	number := g.number
	inFlight := len(g.deliveries) < maxDeliveries
	if inFlight {
		g.deliveries[number] = d
	}
	targets := d.pending()
	g.mu.Unlock()
	defer g.endDelivery(number, d, started)
	m := record{Number: number, Attempt: []byte(o.Attempt), Service: []byte(o.Service), Version: []byte(o.Version), Left: left(started, o.Until)}
	g.socket.Send(dgram.OriginRecord, m, targets...)
	if !inFlight {
		return 0, want
	}
	// Timers without channels: see fleet_test.go.
	timer := time.AfterFunc(resendAfter, d.poke)
	defer timer.Stop()
	for sent := started; ; {
		g.mu.Lock()
		confirmed = d.confirmed
		now := time.Now()
		if confirmed >= need || now.Sub(started) >= confirmTime {
			g.mu.Unlock()
			return confirmed, want
		}
		targets = nil
		if now.Sub(sent) >= resendAfter {
			for range want - confirmed {
				if next < len(order) {
					d.asked[order[next]] = true
					next++
				}
			}
			need, targets, sent = want, d.pending(), now
			timer.Reset(resendAfter)
		}
		g.mu.Unlock()
		if len(targets) > 0 {
			m.Left = left(now, o.Until)
			g.socket.Send(dgram.OriginRecord, m, targets...)
		}
		select {
		case <-d.waiter:
		case <-ctx.Done():
			return confirmed, want
		case <-g.closing.Done():
			return confirmed, want
		}
	}
}

// pending returns the daemons that have not confirmed the record.
func (d *delivery) pending() []netip.AddrPort {
	var out []netip.AddrPort
	for addr, waiting := range d.asked {
		if waiting {
			out = append(out, addr)
		}
	}
	return out
}

// endDelivery forgets a delivery. Those that have not confirmed it although it was sent
// again are not waited for next time, unless this process was paused.
func (g *Group) endDelivery(number uint64, d *delivery, started time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.deliveries, number)
	now := time.Now()
	if took := now.Sub(started); took < resendAfter || took > 2*confirmTime {
		return
	}
	for addr, end := range g.silent {
		if !now.Before(end) {
			delete(g.silent, addr)
		}
	}
	for _, addr := range d.pending() {
		g.silent[addr] = now.Add(silentTime)
	}
}
