package memnet

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"citronrock.example/citronrock/internal/peer/dissem"
	"citronrock.example/citronrock/internal/peer/view"
	"citronrock.example/citronrock/internal/wire/peer"
)

var errReach = errors.New("peer is out of reach")

// fetchTimeout is when a fetch from a peer beyond a partition fails.
const fetchTimeout = 2 * time.Second

// ask fetches from a peer. A dead process refuses at once, one beyond a
// partition or paused does not answer.
func (n *Node) ask(o dissem.Fetch) {
	f := n.fleet
	to := f.Nodes[o.To]
	fail := func(d time.Duration) {
		n.later(d, func() { n.fetched(o.To, [2]dissem.Item{}, nil, errReach) })
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
	n.later(n.fleet.latency(), func() { n.fetched(o.To, items, known, nil) })
}

func (n *Node) fetched(from string, items [2]dissem.Item, known []*peer.Member, err error) {
	n.step(func(now time.Time, out []view.Output) []view.Output {
		return n.view.FetchDone(now, from, items, known, err, out)
	})
}

// Platform is the platform's configuration service.
type Platform struct {
	fleet *Fleet
	// Down tells whether a daemon can't reach the platform, nil for none.
	Down func(name string) bool
	// Stale makes reads answer with what was there when it was set.
	Stale bool
	// Reads counts reads.
	Reads int

	now, old [2]dissem.Item
	pending  []*pending
}

// pending is a read that waits for news.
type pending struct {
	node *Node
	life int
	read dissem.Read
	over bool
}

// platformLatency is the time of one read without a wait.
const platformLatency = 3 * time.Millisecond

func newPlatform(f *Fleet) *Platform { return &Platform{fleet: f} }

// Publish publishes a document; problem is what daemons find wrong with it.
func (p *Platform) Publish(version uint64, problem error) {
	p.set(dissem.Document, dissem.Item{Number: version, Err: problem})
}

// PublishList publishes a list with the next revision.
func (p *Platform) PublishList(d []view.Daemon) {
	p.set(dissem.List, dissem.Item{Number: p.now[dissem.List].Number + 1, Value: &view.DaemonList{Daemons: d}})
}

// Version is the highest version published.
func (p *Platform) Version() uint64 { return p.now[dissem.Document].Number }

// Freeze makes reads answer with what is there now, whatever is published
// later, until Thaw.
func (p *Platform) Freeze() { p.Stale, p.old = true, p.now }

// Thaw ends Freeze.
func (p *Platform) Thaw() {
	p.Stale = false
	p.wake()
}

// Revert makes reads answer with an older document version.
func (p *Platform) Revert(version uint64) {
	p.Freeze()
	p.old[dissem.Document].Number = version
}

func (p *Platform) set(k dissem.Kind, i dissem.Item) {
	p.now[k] = i
	if !p.Stale {
		p.wake()
	}
}

func (p *Platform) shows(k dissem.Kind) dissem.Item {
	if p.Stale {
		return p.old[k]
	}
	return p.now[k]
}

func (p *Platform) wake() {
	var still []*pending
	for _, r := range p.pending {
		if p.shows(r.read.Kind).Number > r.read.After && !r.over {
			p.answer(r)
		} else if !r.over {
			still = append(still, r)
		}
	}
	p.pending = still
}

func (p *Platform) read(n *Node, r dissem.Read) {
	p.Reads++
	n.Out += uint64(FetchHeader / 3)
	q := &pending{node: n, life: n.life, read: r}
	if p.Down != nil && p.Down(n.Name) {
		n.later(fetchTimeout, func() { n.answered(r, dissem.Item{}, errReach) })
		return
	}
	if p.shows(r.Kind).Number > r.After || r.Wait == 0 {
		p.answer(q)
		return
	}
	p.pending = append(p.pending, q)
	p.fleet.after(r.Wait, func() {
		if !q.over {
			p.answer(q)
		}
	})
}

func (p *Platform) answer(q *pending) {
	q.over = true
	if q.node.life != q.life {
		return
	}
	i := p.shows(q.read.Kind)
	q.node.In += uint64(FetchHeader / 3)
	if i.Number > q.read.After {
		q.node.In += uint64(FetchCost(p.fleet.PlatformBytes(q.read.Kind)))
	}
	n := q.node
	n.later(platformLatency, func() {
		if p.Down != nil && p.Down(n.Name) {
			n.answered(q.read, dissem.Item{}, errReach)
			return
		}
		n.answered(q.read, i, nil)
	})
}

func (n *Node) answered(r dissem.Read, i dissem.Item, err error) {
	if i.Number <= r.After {
		i = dissem.Item{}
	}
	n.step(func(now time.Time, out []view.Output) []view.Output {
		return n.view.ReadDone(now, r.Kind, i, err, out)
	})
}
