// Package memory bounds the bytes that a daemon holds of requests and responses. A faulty
// backend server may send bytes without end at each of its connections, and many clients
// may send large bodies at the same time.
//
// A response that is still being read can be given up. When memory is short, the server
// whose responses hold most loses one, if they hold more than those of the server that
// needs memory. Of n servers, one whose responses hold at most 1/n of what requests and
// complete responses leave always finds room, whatever the others send. See Client for what
// clients hold and which of them is evicted.
package memory

import (
	"errors"
	"net/netip"
	"sync"
)

// DefaultBytes is the budget in bytes of a daemon whose memory limit is not known.
const DefaultBytes = 64 << 20

var (
	// ErrTooLarge is returned for a body that exceeds its own limit.
	ErrTooLarge = errors.New("body exceeds its size limit")
	// ErrExhausted is returned when others use up the budget.
	ErrExhausted = errors.New("memory budget for bodies is exhausted")
	// ErrGivenUp is returned for a response that was given up.
	ErrGivenUp = errors.New("response was given up, as its server held the most memory")
)

// Budget is the number of bytes available for all requests and responses. It is safe for
// concurrent use. A nil budget is unlimited.
type Budget struct {
	mu          sync.Mutex
	total, used int64
	// requests is what the requests of clients hold.
	requests int64
	// open are the responses that can be given up.
	open    map[*Hold]struct{}
	givenUp int64
	// clients are the open connections of clients, at most maxConns if that is set. leaving
	// and leavingConns are what evicted clients still hold.
	clients      map[*Client]struct{}
	maxConns     int
	leaving      int64
	leavingConns int
	// evicted and refused count clients by cause.
	evicted, refused [causes]int64
}

// New returns a budget of the given number of bytes.
func New(bytes int64) *Budget {
	return &Budget{total: bytes, open: map[*Hold]struct{}{}, clients: map[*Client]struct{}{}}
}

// Available returns the number of bytes that are not reserved. The budget must not
// be nil.
func (b *Budget) Available() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total - b.used
}

// GivenUp returns the number of responses that were given up. The budget must not be nil.
func (b *Budget) GivenUp() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.givenUp
}

// Hold is what one request or response holds in memory. Its methods but Release must not
// be called at the same time. A nil hold is unlimited.
type Hold struct {
	budget *Budget
	server netip.AddrPort
	giveUp func()
	// client is the connection that the hold is a part of, nil for none.
	client *Client
	// size and lost are guarded by the budget's lock. lost is set once the hold was given up.
	size int64
	lost bool
}

// Request returns an empty hold for the request of a client.
func (b *Budget) Request() *Hold {
	if b == nil {
		return nil
	}
	return &Hold{budget: b}
}

// Response returns an empty hold for the response of a server. Until Keep or Release it may
// be given up: giveUp is called then, once, and has to end the reading soon.
func (b *Budget) Response(server netip.AddrPort, giveUp func()) *Hold {
	if b == nil {
		return nil
	}
	h := &Hold{budget: b, server: server, giveUp: giveUp}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open[h] = struct{}{}
	return h
}

// Resize changes the number of bytes of the hold. The error is ErrExhausted, ErrGivenUp or
// ErrEvicted, which changes nothing.
func (h *Hold) Resize(bytes int64) error {
	if h == nil {
		return nil
	}
	calls, err := h.resize(bytes)
	for _, call := range calls {
		call()
	}
	return err
}

// resize changes the size and returns the calls that give up others for that.
func (h *Hold) resize(bytes int64) (calls []func(), err error) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := h.lostError(); err != nil {
		return nil, err
	}
	more := bytes - h.size
	if more > b.total-b.used {
		responses, clients := b.makeRoom(h, more)
		if responses == nil && clients == nil {
			if h.client != nil {
				b.refused[CauseMemory]++
			}
			return nil, ErrExhausted
		}
		for _, v := range responses {
			// Its reader drops the buffer once giveUp has ended the reading. Waiting for that
			// would let a response that is sound miss its time.
			v.remove()
			v.lost = true
			b.givenUp++
			calls = append(calls, v.giveUp)
		}
		for _, c := range clients {
			calls = append(calls, c.drop(CauseMemory))
		}
	}
	h.add(more)
	return calls, nil
}

// makeRoom returns what to give up so that h gets more bytes, nothing if that is not
// allowed: responses of a server that holds more than all clients, else clients. b.mu must be
// held.
func (b *Budget) makeRoom(h *Hold, more int64) ([]*Hold, []*Client) {
	if responses := b.victims(h, more); responses != nil {
		return responses, nil
	}
	return nil, b.clientVictims(h, more)
}

// lostError returns why the hold was given up, nil if it was not. The budget's lock must be
// held.
func (h *Hold) lostError() error {
	switch {
	case h.lost:
		return ErrGivenUp
	case h.client != nil && h.client.lost:
		return ErrEvicted
	}
	return nil
}

// add adds to the size of the hold. The budget's lock must be held.
func (h *Hold) add(bytes int64) {
	h.size += bytes
	h.budget.used += bytes
	if h.giveUp == nil {
		h.budget.requests += bytes
	}
	if h.client != nil {
		h.client.size += bytes
	}
}

// remove removes the hold from the budget, whose lock must be held.
func (h *Hold) remove() {
	h.add(-h.size)
	delete(h.budget.open, h)
}

// victims returns the responses to give up so that h gets more bytes, nil if that is not
// allowed. b.mu must be held.
func (b *Budget) victims(h *Hold, more int64) (chosen []*Hold) {
	servers := map[netip.AddrPort]*heldBy{}
	for o := range b.open {
		s := servers[o.server]
		if s == nil {
			s = new(heldBy)
			servers[o.server] = s
		}
		s.add(o)
	}
	// All requests count as those of one server, without the fixed cost of connections: many
	// clients that wait for faulty servers hold more of that than each of these servers.
	own := b.requests - connBytes*int64(len(b.clients)) + more
	if h.giveUp != nil {
		own = more
		if s := servers[h.server]; s != nil {
			own += s.bytes
		}
		delete(servers, h.server)
	}
	for free := b.total - b.used; free < more; {
		var most *heldBy
		for _, s := range servers {
			if most == nil || s.bytes > most.bytes {
				most = s
			}
		}
		if most == nil || most.bytes <= own {
			return nil
		}
		v := most.takeLargest()
		free += v.size
		chosen = append(chosen, v)
	}
	return chosen
}

// heldBy is what the open responses of one server hold.
type heldBy struct {
	bytes     int64
	responses []*Hold
}

func (s *heldBy) add(h *Hold) {
	s.bytes += h.size
	s.responses = append(s.responses, h)
}

// takeLargest removes the response that holds most.
func (s *heldBy) takeLargest() *Hold {
	largest := 0
	for i, h := range s.responses {
		if h.size > s.responses[largest].size {
			largest = i
		}
	}
	h, last := s.responses[largest], len(s.responses)-1
	s.responses[largest], s.responses = s.responses[last], s.responses[:last]
	s.bytes -= h.size
	return h
}

// Keep keeps a response from being given up, as it is complete. The error is ErrGivenUp
// or ErrEvicted.
func (h *Hold) Keep() error {
	if h == nil {
		return nil
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if err := h.lostError(); err != nil {
		return err
	}
	delete(h.budget.open, h)
	if h.client != nil {
		h.client.enter(running) // its request may have effects from now on
	}
	return nil
}

// Release returns what is held to the budget. Repeated calls are allowed.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.lostError() == nil {
		h.remove()
	}
}
