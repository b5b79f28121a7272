package memory

import (
	"io"
	"sync"
)

// shareOfFree bounds what the responses of one server may hold, as a multiple of what is
// free then. A server that sends large responses for long leaves a quarter of what it
// finds free to others, and the next such server a quarter of that.
const shareOfFree = 3

// shares counts the bytes that the responses of each server hold.
type shares struct {
	mu   sync.Mutex
	held map[string]int64
}

// Share is the part of a budget that one server's responses may use.
type Share struct {
	budget *Budget
	server string
}

// Share returns the part of the budget for the responses of a server.
func (b *Budget) Share(server string) Share { return Share{b, server} }

// Reserve takes n bytes from the budget and returns whether the server may hold them.
func (s Share) Reserve(n int64) bool {
	if s.budget == nil {
		return true
	}
	all := &s.budget.shares
	all.mu.Lock()
	defer all.mu.Unlock()
	if held := all.held[s.server] + n; held > shareOfFree*(s.budget.Available()-n) || !s.budget.Reserve(n) {
		return false
	}
	if all.held == nil {
		all.held = map[string]int64{}
	}
	all.held[s.server] += n
	return true
}

// Release returns n reserved bytes.
func (s Share) Release(n int64) {
	if s.budget == nil || n == 0 {
		return
	}
	all := &s.budget.shares
	all.mu.Lock()
	defer all.mu.Unlock()
	s.budget.Release(n)
	if all.held[s.server] -= n; all.held[s.server] <= 0 {
		delete(all.held, s.server)
	}
}

// Read is Budget.Read for the body of a response of the server.
func (s Share) Read(r io.Reader, limit int64) (*Body, error) { return read(s, r, limit) }
