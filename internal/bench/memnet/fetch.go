package memnet

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"citronrock.example/citronrock/internal/peer/dissem"
	"citronrock.example/citronrock/internal/peer/view"
	"citronrock.example/citronrock/internal/wire/peer"
)

var errUnreachable = errors.New("peer is unreachable")

// fetchTimeout is the time after which a fetch fails when the peer doesn't answer.
const fetchTimeout = 2 * time.Second

// fetch requests items from a peer. A stopped process refuses the connection
// after one round trip; a paused or partitioned one lets the fetch time out.
func (n *Node) fetch(o dissem.Fetch) {
	f := n.fleet
	to := f.Nodes[o.To]
	fail := func(d time.Duration) {
		n.later(d, func() { n.fetchDone(o.To, [2]dissem.Item{}, nil, errUnreachable) })
	}
	switch {
	case to == nil || f.cut(n.Name, o.To) || to.paused:
		fail(fetchTimeout)
		return
	case !to.Up():
		fail(2 * f.latency())
		return
	}
	f.after(f.latency(), func() {
		if !to.Up() || f.cut(n.Name, o.To) {
			fail(fetchTimeout)
			return
		}
		n.reply(to, o)
	})
}

func (n *Node) reply(to *Node, o dissem.Fetch) {
	items := [2]dissem.Item{}
	size := 0
	for k, have := range []dissem.Item{to.docs, to.lists} {
		if have.Number > o.Current[k] {
			items[k] = have
			size += n.fleet.FetchBytes(dissem.Kind(k), o.Current[k], have.Number)
		}
	}
	var known []*peer.Member
	if o.Members {
		known = to.view.Members().Digest()
		size += proto.Size(&peer.FetchReply{Members: known})
	}
	cost := uint64(FetchCost(size))
	n.In += cost
	to.Out += cost
	n.later(n.fleet.latency(), func() { n.fetchDone(o.To, items, known, nil) })
}

func (n *Node) fetchDone(from string, items [2]dissem.Item, known []*peer.Member, err error) {
	n.step(func(now time.Time, out []view.Output) []view.Output {
		return n.view.FetchDone(now, from, items, known, err, out)
	})
}

// Platform simulates the platform's configuration service: long-poll reads of
// the document and of the instance list.
type Platform struct {
	fleet *Fleet
	// Down reports whether a daemon can't reach the platform; nil means that all can.
	Down func(name string) bool
	// Stale makes reads return the items of the time of Freeze or Revert.
	Stale bool
	// Reads is the number of reads received.
	Reads int

	current, frozen [2]dissem.Item
	pending         []*pendingRead
}

// pendingRead is a long-poll read that waits for a newer item.
type pendingRead struct {
	node       *Node
	generation int
	read       dissem.Read
	done       bool
}

// platformLatency is the duration of a read that doesn't wait.
const platformLatency = 3 * time.Millisecond

func newPlatform(f *Fleet) *Platform { return &Platform{fleet: f} }

// Publish publishes a document. If problem isn't nil, daemons reject the
// document with that error.
func (p *Platform) Publish(version uint64, problem error) {
	p.set(dissem.Document, dissem.Item{Number: version, Err: problem})
}

// PublishList publishes a list of daemons with the next revision.
func (p *Platform) PublishList(d []view.Daemon) {
	p.set(dissem.List, dissem.Item{Number: p.current[dissem.List].Number + 1, Value: &view.DaemonList{Daemons: d}})
}

// Version returns the version of the last document published.
func (p *Platform) Version() uint64 { return p.current[dissem.Document].Number }

// Freeze makes reads return the present items until Thaw, even if newer ones are
// published.
func (p *Platform) Freeze() { p.Stale, p.frozen = true, p.current }

// Thaw ends Freeze and Revert, and answers the reads that wait for newer items.
func (p *Platform) Thaw() {
	p.Stale = false
	p.wake()
}

// Revert makes reads return an older document version until Thaw.
func (p *Platform) Revert(version uint64) {
	p.Freeze()
	p.frozen[dissem.Document].Number = version
}

func (p *Platform) set(k dissem.Kind, i dissem.Item) {
	p.current[k] = i
	if !p.Stale {
		p.wake()
	}
}

func (p *Platform) visible(k dissem.Kind) dissem.Item {
	if p.Stale {
		return p.frozen[k]
	}
	return p.current[k]
}

func (p *Platform) wake() {
	var still []*pendingRead
	for _, r := range p.pending {
		if p.visible(r.read.Kind).Number > r.read.After && !r.done {
			p.answer(r)
		} else if !r.done {
			still = append(still, r)
		}
	}
	p.pending = still
}

func (p *Platform) read(n *Node, r dissem.Read) {
	p.Reads++
	n.Out += uint64(FetchHeader / 3)
	q := &pendingRead{node: n, generation: n.generation, read: r}
	if p.Down != nil && p.Down(n.Name) {
		n.later(fetchTimeout, func() { n.readDone(r, dissem.Item{}, errUnreachable) })
		return
	}
	if p.visible(r.Kind).Number > r.After || r.Wait == 0 {
		p.answer(q)
		return
	}
	p.pending = append(p.pending, q)
	p.fleet.after(r.Wait, func() {
		if !q.done {
			p.answer(q)
		}
	})
}

func (p *Platform) answer(q *pendingRead) {
	q.done = true
	if q.node.generation != q.generation {
		return
	}
	i := p.visible(q.read.Kind)
	q.node.In += uint64(FetchHeader / 3)
	if i.Number > q.read.After {
		q.node.In += uint64(FetchCost(p.fleet.PlatformBytes(q.read.Kind)))
	}
	n := q.node
	n.later(platformLatency, func() {
		if p.Down != nil && p.Down(n.Name) {
			n.readDone(q.read, dissem.Item{}, errUnreachable)
			return
		}
		n.readDone(q.read, i, nil)
	})
}

func (n *Node) readDone(r dissem.Read, i dissem.Item, err error) {
	if i.Number <= r.After {
		i = dissem.Item{}
	}
	n.step(func(now time.Time, out []view.Output) []view.Output {
		return n.view.ReadDone(now, r.Kind, i, err, out)
	})
}
