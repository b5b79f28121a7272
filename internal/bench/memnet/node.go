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
	// DatagramHeader is IPv4 and UDP.
	DatagramHeader = 28
	// FetchHeader is what a fetch costs beside its answer: a TCP connection's
	// opening and end (7 segments of 52), HTTP/2 preface and settings (about
	// 150), request and reply headers (about 300), acknowledgements (4 of 52).
	FetchHeader = 7*52 + 150 + 300 + 4*52
	// Segment and SegmentHeader: IPv4 and TCP with timestamps for each full
	// segment, and an acknowledgement for every second one.
	Segment       = 1448
	SegmentHeader = 52 + 26
)

// FetchCost is the cost of a fetch on the wire by the size of its answer.
func FetchCost(n int) int { return FetchHeader + n + (n+Segment-1)/Segment*SegmentHeader }

// Node is one daemon.
type Node struct {
	fleet *Fleet
	Name  string
	// Domain is the failure domain.
	Domain      string
	Incarnation uint64
	Leaving     bool
	// Alive is the last report of membership, Changes counts them.
	Alive   map[string]uint64
	Changes int
	// In and Out count bytes with headers.
	In, Out uint64
	// First is the version of the first document that the process took.
	First uint64
	// Strikes are the records received.
	Strikes []*peer.Strike
	// Replaced is set when a later process of the same name showed up.
	Replaced bool
	// ClockStep is added to the start time, for clocks that are wrong.
	ClockStep time.Duration

	view     *view.Machine
	paused   bool
	held     []func()
	pausedAt time.Time
	life     int
	tickAt   time.Time
	outs     []view.Output
	latest   map[string]uint64
	docs     dissem.Item
	lists    dissem.Item
}

// Up tells whether the daemon runs.
func (n *Node) Up() bool { return n.view != nil }

// View is the daemon's control machine.
func (n *Node) View() *view.Machine { return n.view }

// Version is the document's version in force.
func (n *Node) Version() uint64 { return n.docs.Number }

// Revision is the list's revision in force.
func (n *Node) Revision() uint64 { return n.lists.Number }

// Start starts a new process of the daemon.
func (n *Node) Start() {
	f := n.fleet
	n.life++
	n.Incarnation = uint64(f.now.Add(n.ClockStep).UnixNano()) + uint64(n.life)
	n.view = view.New(n.Name, n.Domain, n.Incarnation, f.set.Seed*1_000_003+uint64(f.rng.Int64()))
	n.docs, n.lists = dissem.Item{}, dissem.Item{}
	n.Alive, n.Leaving, n.paused, n.held, n.Replaced = nil, false, false, nil, false
	n.tickAt = time.Time{}
	n.First, n.latest, n.Strikes = 0, map[string]uint64{}, nil
	n.step(func(now time.Time, out []view.Output) []view.Output { return n.view.Tick(now, out) })
}

// Kill ends the process without a word.
func (n *Node) Kill() {
	n.life++
	n.view = nil
}

// Leave makes the daemon tell its peers that it stops.
func (n *Node) Leave() {
	n.Leaving = true
	n.step(func(now time.Time, out []view.Output) []view.Output { return n.view.Leave(now, out) })
}

// Pause stops the process; what comes for it waits.
func (n *Node) Pause() { n.paused, n.pausedAt = true, n.fleet.now }

// Resume lets a paused process run on.
func (n *Node) Resume() {
	n.paused = false
	n.step(func(now time.Time, out []view.Output) []view.Output { return n.view.Paused(now, out) })
	held := n.held
	n.held = nil
	for _, run := range held {
		run()
	}
}

// Strike makes the daemon spread a record.
func (n *Node) Strike(s *peer.Strike) {
	n.step(func(now time.Time, out []view.Output) []view.Output {
		n.view.Strike(now, s)
		return out
	})
}

// deliver runs a function at the process that lives now, unless it is gone by
// then. At a paused process it waits, up to the size of a socket's buffer.
func (n *Node) deliver(run func()) {
	if n.view == nil {
		return
	}
	if n.paused {
		if len(n.held) < 200 {
			n.held = append(n.held, run)
		}
		return
	}
	run()
}

// later delivers to the same process after some time.
func (n *Node) later(d time.Duration, run func()) {
	life := n.life
	n.fleet.after(d, func() {
		if n.life == life {
			n.deliver(run)
		}
	})
}

// step runs the machine, carries out what it asks for, and plans the next tick.
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
		n.carry(o)
	}
	n.outs = outs
	n.plan(wake)
}

func (n *Node) plan(wake time.Time) {
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

func (n *Node) carry(o view.Output) {
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
		n.ask(o)
	case dissem.Adopted:
		n.took(o)
	}
}

// changed takes a report of membership. A later report never names an earlier
// incarnation.
func (n *Node) changed(alive map[string]uint64) {
	for name, i := range alive {
		if n.latest[name] > i {
			n.fleet.violate("%s takes incarnation %d of %s for alive after %d", n.Name, i, name, n.latest[name])
		}
		n.latest[name] = max(n.latest[name], i)
	}
	n.Alive, n.Changes = alive, n.Changes+1
}

func (n *Node) took(o dissem.Adopted) {
	have := &n.docs
	if o.Kind == dissem.Document && n.First == 0 {
		n.First = o.Item.Number
	}
	if o.Kind == dissem.List {
		have = &n.lists
	}
	if o.Item.Number <= have.Number {
		n.fleet.violate("%s takes number %d of kind %d after %d", n.Name, o.Item.Number, o.Kind, have.Number)
	}
	if o.Item.Err != nil {
		n.fleet.violate("%s takes rejected number %d", n.Name, o.Item.Number)
	}
	*have = o.Item
}

func (n *Node) send(o member.Send) {
	f := n.fleet
	from := time.Now()
	raw, err := proto.Marshal(o.Packet)
	f.Spent += time.Since(from)
	if err != nil {
		f.violate("%s can't encode a packet: %v", n.Name, err)
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
		n.fleet.violate("%s can't decode a packet: %v", n.Name, err)
		return
	}
	n.step(func(now time.Time, out []view.Output) []view.Output { return n.view.Receive(now, p, out) })
}
