package memnet

import (
	"time"

	"google.golang.org/protobuf/proto"

	"citronrock.example/citronrock/internal/peer/dissem"
	"citronrock.example/citronrock/internal/peer/member"
	"citronrock.example/citronrock/internal/peer/view"
	"citronrock.example/citronrock/internal/wire/peer"
)

// Header sizes in bytes that are added to payloads.
const (
	// DatagramHeader is the size of the IPv4 and UDP headers.
	DatagramHeader = 28
	// FetchHeader is the overhead of a fetch without its reply's body: opening and
	// closing a TCP connection (7 segments of 52), HTTP/2 preface and settings
	// (about 150), request and response headers (about 300), acknowledgements
	// (4 of 52).
	FetchHeader = 7*52 + 150 + 300 + 4*52
	// Segment is the payload of a full TCP segment. SegmentHeader is its overhead:
	// IPv4 and TCP headers with timestamps, and half an acknowledgement, as every
	// second segment is acknowledged.
	Segment       = 1448
	SegmentHeader = 52 + 26
)

// FetchCost returns the bytes on the wire of a fetch whose reply has n bytes.
func FetchCost(n int) int { return FetchHeader + n + (n+Segment-1)/Segment*SegmentHeader }

// Node is one simulated daemon.
type Node struct {
	fleet *Fleet
	Name  string
	// Domain is the failure domain.
	Domain      string
	Incarnation uint64
	Leaving     bool
	// Alive is the last reported membership: incarnations by name. Changes counts
	// the reports.
	Alive   map[string]uint64
	Changes int
	// In and Out count received and sent bytes with headers.
	In, Out uint64
	// First is the version of the first document that the process adopted.
	First uint64
	// Strikes are the strikes received from peers.
	Strikes []*peer.Strike
	// Replaced is set when the process learns of a later incarnation of its name.
	Replaced bool
	// ClockStep simulates a wrong clock: it is added to the start time from which
	// the incarnation is made.
	ClockStep time.Duration

	view       *view.Machine
	paused     bool
	backlog    []func()
	pausedAt   time.Time
	generation int
	tickAt     time.Time
	outs       []view.Output
	latest     map[string]uint64
	docs       dissem.Item
	lists      dissem.Item
}

// Up reports whether the daemon's process runs; a paused one does.
func (n *Node) Up() bool { return n.view != nil }

// View returns the daemon's membership and dissemination state machine, nil
// while it is down.
func (n *Node) View() *view.Machine { return n.view }

// Version returns the version of the adopted document, 0 before the first.
func (n *Node) Version() uint64 { return n.docs.Number }

// Revision returns the revision of the adopted instance list, 0 before the first.
func (n *Node) Revision() uint64 { return n.lists.Number }

// Start starts a new process of the daemon, with a new incarnation and no state.
func (n *Node) Start() {
	f := n.fleet
	n.generation++
	n.Incarnation = uint64(f.now.Add(n.ClockStep).UnixNano()) + uint64(n.generation)
	n.view = view.New(n.Name, n.Domain, n.Incarnation, f.set.Seed*1_000_003+uint64(f.rng.Int64()))
	n.docs, n.lists = dissem.Item{}, dissem.Item{}
	n.Alive, n.Leaving, n.paused, n.backlog, n.Replaced = nil, false, false, nil, false
	n.tickAt = time.Time{}
	n.First, n.latest, n.Strikes = 0, map[string]uint64{}, nil
	n.step(func(now time.Time, out []view.Output) []view.Output { return n.view.Tick(now, out) })
}

// Kill ends the process without a leave message.
func (n *Node) Kill() {
	n.generation++
	n.view = nil
}

// Leave makes the daemon send leave messages to its peers; the process still runs.
func (n *Node) Leave() {
	n.Leaving = true
	n.step(func(now time.Time, out []view.Output) []view.Output { return n.view.Leave(now, out) })
}

// Pause suspends the process; events for it are queued until Resume.
func (n *Node) Pause() { n.paused, n.pausedAt = true, n.fleet.now }

// Resume continues a paused process and delivers the queued events.
func (n *Node) Resume() {
	n.paused = false
	n.step(func(now time.Time, out []view.Output) []view.Output { return n.view.Paused(now, out) })
	held := n.backlog
	n.backlog = nil
	for _, run := range held {
		run()
	}
}

// Strike makes the daemon broadcast a strike.
func (n *Node) Strike(s *peer.Strike) {
	n.step(func(now time.Time, out []view.Output) []view.Output {
		n.view.Strike(now, s)
		return out
	})
}

// deliver runs a function unless the process is down. For a paused process it is
// queued; beyond 200 entries it is dropped, as by a full socket buffer.
func (n *Node) deliver(run func()) {
	if n.view == nil {
		return
	}
	if n.paused {
		if len(n.backlog) < 200 {
			n.backlog = append(n.backlog, run)
		}
		return
	}
	run()
}

// later delivers a function after d unless the process has ended by then.
func (n *Node) later(d time.Duration, run func()) {
	life := n.generation
	n.fleet.after(d, func() {
		if n.generation == life {
			n.deliver(run)
		}
	})
}

// step runs the state machine, executes its outputs and schedules the next tick.
func (n *Node) step(f func(time.Time, []view.Output) []view.Output) {
	if n.view == nil {
		return
	}
	from := time.Now()
	n.outs = f(n.fleet.now, n.outs[:0])
	wake := n.view.Wake()
	n.fleet.Spent += time.Since(from)
	outs := n.outs
	n.outs = nil
	for _, o := range outs {
		n.execute(o)
	}
	n.outs = outs
	n.scheduleTick(wake)
}

func (n *Node) scheduleTick(wake time.Time) {
	f := n.fleet
	if wake.Before(f.now) {
		wake = f.now
	}
	if n.tickAt.Equal(wake) || !n.tickAt.IsZero() && n.tickAt.Before(wake) && n.tickAt.After(f.now) {
		return
	}
	n.tickAt = wake
	n.later(wake.Sub(f.now), func() {
		if f.now.Before(n.tickAt) {
			return
		}
		n.tickAt = time.Time{}
		n.step(func(now time.Time, out []view.Output) []view.Output { return n.view.Tick(now, out) })
	})
}

func (n *Node) execute(o view.Output) {
	switch o := o.(type) {
	case member.Send:
		n.send(o)
	case member.Changed:
		n.changed(o.Alive)
	case member.StrikeReceived:
		n.Strikes = append(n.Strikes, o.Strike)
	case member.Replaced:
		n.Replaced = true
	case dissem.Read:
		n.fleet.Platform.read(n, o)
	case dissem.Fetch:
		n.fetch(o)
	case dissem.Adopted:
		n.adopted(o)
	}
}

// changed records a membership report. An earlier incarnation than one reported
// before is a violation.
func (n *Node) changed(alive map[string]uint64) {
	for name, i := range alive {
		if n.latest[name] > i {
			n.fleet.violate("%s reports incarnation %d of %s as alive after %d", n.Name, i, name, n.latest[name])
		}
		n.latest[name] = max(n.latest[name], i)
	}
	n.Alive, n.Changes = alive, n.Changes+1
}

func (n *Node) adopted(o dissem.Adopted) {
	have := &n.docs
	if o.Kind == dissem.Document && n.First == 0 {
		n.First = o.Item.Number
	}
	if o.Kind == dissem.List {
		have = &n.lists
	}
	if o.Item.Number <= have.Number {
		n.fleet.violate("%s adopts number %d of kind %d after %d", n.Name, o.Item.Number, o.Kind, have.Number)
	}
	if o.Item.Err != nil {
		n.fleet.violate("%s adopts rejected number %d", n.Name, o.Item.Number)
	}
	*have = o.Item
}

func (n *Node) send(o member.Send) {
	f := n.fleet
	from := time.Now()
	raw, err := proto.Marshal(o.Packet)
	f.Spent += time.Since(from)
	if err != nil {
		f.violate("%s can't encode a datagram: %v", n.Name, err)
		return
	}
	f.Largest = max(f.Largest, len(raw))
	n.Out += uint64(len(raw) + DatagramHeader)
	to := f.Nodes[o.To]
	if to == nil || f.cut(n.Name, o.To) || f.rng.Float64() < f.set.Loss {
		return
	}
	f.after(f.latency(), func() {
		to.deliver(func() { to.receive(raw) })
	})
}

func (n *Node) receive(raw []byte) {
	n.In += uint64(len(raw) + DatagramHeader)
	p := new(peer.Packet)
	from := time.Now()
	err := proto.Unmarshal(raw, p)
	n.fleet.Spent += time.Since(from)
	if err != nil {
		n.fleet.violate("%s can't decode a datagram: %v", n.Name, err)
		return
	}
	n.step(func(now time.Time, out []view.Output) []view.Output { return n.view.Receive(now, p, out) })
}
