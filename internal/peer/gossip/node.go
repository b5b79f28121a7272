package gossip

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"citronrock.example/citronrock/internal/peer/dgram"
	"github.com/hashicorp/go-hclog"
)

// aliveCacheTTL is how long a result of Alive is reused: requests read it far more
// often than it changes.
const aliveCacheTTL = 20 * time.Millisecond

// loggedAddrs is the number of addresses in a log line about many daemons.
const loggedAddrs = 4

// Node runs the membership of one daemon over datagrams.
type Node struct {
	socket *dgram.Socket
	log    hclog.Logger

	mu    sync.Mutex
	table *Table
	alive map[netip.AddrPort]int64
	// cached is the last result of Alive, computed at cachedAt.
	cached   []LiveMember
	cachedAt time.Time

	stop chan struct{}
	done chan struct{}
}

// Start joins the other daemons through the seeds and starts sending heartbeats.
func Start(socket *dgram.Socket, self Member, seeds []netip.AddrPort, log hclog.Logger) *Node {
	n := &Node{socket: socket, log: log, table: New(self, seeds, uint64(self.Incarnation)),
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
		n.tick()
		n.mu.Lock()
		timer.Reset(n.table.Interval())
		n.mu.Unlock()
	}
}

// tick runs one tick and logs the daemons that were lost or found.
func (n *Node) tick() {
	now := time.Now()
	n.mu.Lock()
	sends := n.table.Tick(now)
	current := make(map[netip.AddrPort]int64)
	for _, m := range n.table.Alive(now) {
		current[m.Addr] = m.Incarnation
	}
	before := n.alive
	n.alive = current
	n.mu.Unlock()
	for _, s := range sends {
		n.socket.Send(dgram.Gossip, s.Message, s.To)
	}
	n.logChanges(before, current)
}

// logChanges logs which daemons were lost or found: one line each in a small
// fleet, one line with the counts and a few addresses in a wide one.
func (n *Node) logChanges(before, current map[netip.AddrPort]int64) {
	var found, lost []netip.AddrPort
	for addr, start := range current {
		if before[addr] != start {
			found = append(found, addr)
		}
	}
	for addr := range before {
		if _, ok := current[addr]; !ok {
			lost = append(lost, addr)
		}
	}
	if len(found)+len(lost) == 0 {
		return
	}
	sortAddrs(found)
	sortAddrs(lost)
	if len(current) <= wideThreshold {
		for _, addr := range found {
			n.log.Info("daemon found", "peer", addr.String(), "start", current[addr], "alive", len(current))
		}
		for _, addr := range lost {
			n.log.Warn("daemon lost", "peer", addr.String(), "start", before[addr], "alive", len(current))
		}
		return
	}
	level := hclog.Info
	if len(lost) > 0 {
		level = hclog.Warn
	}
	n.log.Log(level, "membership changed", "found", len(found), "lost", len(lost), "alive", len(current),
		"some", fmt.Sprint(firstAddrs(found)), "gone", fmt.Sprint(firstAddrs(lost)))
}

// firstAddrs returns the first few of many addresses.
func firstAddrs(all []netip.AddrPort) []netip.AddrPort { return all[:min(len(all), loggedAddrs)] }

func (n *Node) receive(_ netip.AddrPort, body []byte) {
	var g Message
	if !n.socket.Decode(body, &g) {
		return
	}
	for _, s := range n.apply(g) {
		n.socket.Send(dgram.Gossip, s.Message, s.To)
	}
}

// apply applies a message and returns the answers to it.
func (n *Node) apply(g Message) []Send {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Receive(time.Now(), g)
}

// Alive returns the live daemons, this one included, at most 20 ms old. Callers
// must not change the slice.
func (n *Node) Alive() []LiveMember {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now := time.Now(); now.Sub(n.cachedAt) > aliveCacheTTL {
		n.cached, n.cachedAt = n.table.Alive(now), now
	}
	return n.cached
}

// Known returns the number of daemons, this one included, that were alive within
// the last minute.
func (n *Node) Known() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Known()
}

// Count returns the number of live daemons, this one included.
func (n *Node) Count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Count(time.Now())
}

// Lost returns the number of daemons that were alive within the last hour and are
// not now, without those that left.
func (n *Node) Lost() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Lost(time.Now())
}

// SetSeeds replaces the seeds after a reload of the settings.
func (n *Node) SetSeeds(seeds []netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.SetSeeds(seeds)
}

// Leave marks this daemon as leaving and sends that at once.
func (n *Node) Leave() {
	n.mu.Lock()
	n.table.Leave()
	n.mu.Unlock()
	n.tick()
}

// Close stops sending heartbeats and waits for the goroutine to end.
func (n *Node) Close() {
	close(n.stop)
	<-n.done
}
