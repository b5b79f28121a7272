package fleet

import (
	"net"
	"net/netip"
	"sync"

	"github.com/rotisserie/eris"
)

// Range of the ports that fleets listen on. It lies below the kernel's ephemeral ports,
// since with some hundred processes outgoing connections took assigned ports before a
// process could listen on them.
const (
	lowPort   = 10_000
	highPort  = 32_000
	blockSize = 500
)

// reserved are the ports of this process, whose fleets may run at the same time.
var reserved reservation

// reservation assigns ports from blocks that no other process uses. A block is reserved by
// listening on its first port: that a port is free now says nothing about a fleet of
// another process whose daemons don't listen yet.
type reservation struct {
	mu     sync.Mutex
	guards []net.Listener
	// free are the ports that are not assigned, the one released last at the end.
	free     []uint16
	assigned map[uint16]bool
}

// take assigns a loopback address that is free for TCP and UDP.
func (r *reservation) take() (netip.AddrPort, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		for range len(r.free) {
			port := r.free[0]
			r.free = r.free[1:]
			if a := loopback(port); isFree(a) {
				if r.assigned == nil {
					r.assigned = map[uint16]bool{}
				}
				r.assigned[port] = true
				return a, nil
			}
			r.free = append(r.free, port)
		}
		if err := r.addBlock(); err != nil {
			return netip.AddrPort{}, err
		}
	}
}

// addBlock reserves another block. The listener stays open until the process ends. r.mu
// must be held.
func (r *reservation) addBlock() error {
	for first := uint16(lowPort); first+blockSize <= highPort; first += blockSize {
		guard, err := net.Listen("tcp", loopback(first).String())
		if err != nil {
			continue
		}
		r.guards = append(r.guards, guard)
		for port := first + 1; port < first+blockSize; port++ {
			r.free = append(r.free, port)
		}
		return nil
	}
	return eris.Errorf("all blocks of ports from %d to %d are reserved; end the fleets that use them", lowPort, highPort)
}

func (r *reservation) release(ports []uint16) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range ports {
		delete(r.assigned, p)
	}
	r.free = append(r.free, ports...)
}

func loopback(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
}

// isFree reports whether an address is free for TCP and UDP.
func isFree(a netip.AddrPort) bool {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }() // it was only opened to see whether that is possible
	u, err := net.ListenPacket("udp", a.String())
	if err != nil {
		return false
	}
	_ = u.Close() // opened for the same reason
	return true
}

// ports are the ports of one fleet.
type ports struct{ assigned []uint16 }

// next assigns another address to the fleet.
func (p *ports) next() (netip.AddrPort, error) {
	a, err := reserved.take()
	if err == nil {
		p.assigned = append(p.assigned, a.Port())
	}
	return a, err
}

// release returns the ports of a fleet that has ended.
func (p *ports) release() {
	reserved.release(p.assigned)
	p.assigned = nil
}
