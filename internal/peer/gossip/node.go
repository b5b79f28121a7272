package gossip

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"citronrock.example/citronrock/internal/peer/dgram"
	"github.com/hashicorp/go-hclog"
)

// seenFor is how old the result of Alive may be: requests ask for it far more
// often than it changes.
const seenFor = 20 * time.Millisecond

// named is the number of daemons that a line about many of them names.
const named = 4

// Node runs the membership of one daemon over a socket.
type Node struct {
	socket *dgram.Socket
	log    hclog.Logger

	mu    sync.Mutex
	table *Table
	alive map[netip.AddrPort]int64
	// seen is what Alive returned last, at seenAt.
	seen   []LiveMember
	seenAt time.Time

	stop chan struct{}
	done chan struct{}
}

// Start joins the other daemons and begins to send heartbeats.
func Start(socket *dgram.Socket, self Member, seeds []netip.AddrPort, log hclog.Logger) *Node {
	n := &Node{socket: socket, log: log, table: New(self, seeds, uint64(self.Start)),
		alive: map[netip.AddrPort]int64{}, stop: make(chan struct{}), done: make(chan struct{})}
	socket.Handle(dgram.Gossip, n.receive)
	go func() {
		defer close(n.done)
		n.run()
	}()
	return n
}

func (n *Node) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-n.stop:
			return
		case <-timer.C:
		}
		n.beat()
		n.mu.Lock()
		timer.Reset(n.table.Interval())
		n.mu.Unlock()
	}
}

// beat sends one heartbeat and logs the daemons that were lost or found.
func (n *Node) beat() {
	now := time.Now()
	n.mu.Lock()
	sends := n.table.Tick(now)
	current := make(map[netip.AddrPort]int64)
	for _, m := range n.table.Alive(now) {
		current[m.Addr] = m.Start
	}
	was := n.alive
	n.alive = current
	n.mu.Unlock()
	for _, s := range sends {
		n.socket.Send(dgram.Gossip, s.Message, s.To)
	}
	n.logChanges(was, current)
}

// logChanges logs which daemons were lost or found, each one in a small fleet. In
// a wide one a line has the sums and names a few.
func (n *Node) logChanges(was, current map[netip.AddrPort]int64) {
	var found, lost []netip.AddrPort
	for addr, start := range current {
		if was[addr] != start {
			found = append(found, addr)
		}
	}
	for addr := range was {
		if _, ok := current[addr]; !ok {
			lost = append(lost, addr)
		}
	}
	if len(found)+len(lost) == 0 {
		return
	}
	sortAddrs(found)
	sortAddrs(lost)
	if len(current) <= closeSize {
		for _, addr := range found {
			n.log.Info("daemon found", "peer", addr.String(), "start", current[addr], "alive", len(current))
		}
		for _, addr := range lost {
			n.log.Warn("daemon lost", "peer", addr.String(), "start", was[addr], "alive", len(current))
		}
		return
	}
	level := hclog.Info
	if len(lost) > 0 {
		level = hclog.Warn
	}
	n.log.Log(level, "daemons changed", "found", len(found), "lost", len(lost), "alive", len(current),
		"some", fmt.Sprint(some(found)), "gone", fmt.Sprint(some(lost)))
}

// some returns the first of many addresses.
func some(all []netip.AddrPort) []netip.AddrPort { return all[:min(len(all), named)] }

func (n *Node) receive(_ netip.AddrPort, body []byte) {
	var g Message
	if !n.socket.Decode(body, &g) {
		return
	}
	for _, s := range n.take(g) {
		n.socket.Send(dgram.Gossip, s.Message, s.To)
	}
}

// take applies a message and returns the answers to it.
func (n *Node) take(g Message) []Send {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Receive(time.Now(), g)
}

// Alive returns the live daemons, this one included, as of the last few
// milliseconds. Callers must not change it.
func (n *Node) Alive() []LiveMember {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now := time.Now(); now.Sub(n.seenAt) > seenFor {
		n.seen, n.seenAt = n.table.Alive(now), now
	}
	return n.seen
}

// Known returns the number of daemons that were alive within the last minute,
// this one included.
func (n *Node) Known() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Known()
}

// SetSeeds replaces the seeds.
func (n *Node) SetSeeds(seeds []netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.SetSeeds(seeds)
}

// Leave tells the others at once that this daemon stops.
func (n *Node) Leave() {
	n.mu.Lock()
	n.table.Leave()
	n.mu.Unlock()
	n.beat()
}

// Close ends the heartbeats.
func (n *Node) Close() {
	close(n.stop)
	<-n.done
}
