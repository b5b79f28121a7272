package memory

import (
	"bytes"
	"errors"
	"sync/atomic"
	"time"
)

const (
	// connBytes is the memory of an open connection: its buffers and the stack of its
	// goroutine.
	connBytes = 20 << 10
	// fieldBytes is the memory of a header field in addition to its bytes, in the map of the
	// request and in the copy of it that is passed on. Measured with 2,602 fields of six
	// bytes: 95 bytes in each; the rest is for maps that are replaced as they grow.
	fieldBytes = 256
	// headerCopies is how often the bytes of a header are held.
	headerCopies = 2
	// readAhead is the size of net/http's buffer: what was read in one piece of that size
	// may have the start of the next header.
	readAhead = 4 << 10
	// blockedTime is how long a client has to leave a response unread, or its request
	// incomplete after the response, until it counts as making no progress.
	blockedTime = time.Second
	// youngTime is added to the age of what a client holds, so that the size counts from
	// the start.
	youngTime = 50 * time.Millisecond
	// leavingShare divides the budget and the limit of connections: while evicted clients
	// still hold more than that part, no other one is evicted.
	leavingShare = 4
	// idleAge bounds the age that counts for a connection without a request, which may stay.
	idleAge = time.Second
)

var (
	// ErrEvicted is returned to a client whose connection has to be closed.
	ErrEvicted = errors.New("client was evicted, as it held the most memory for the least progress")
	// ErrConns is returned for a connection above the limit.
	ErrConns = errors.New("too many connections of clients")
)

// phase is what a connection carries.
type phase int

const (
	waiting phase = iota // for a request
	header               // a part of one
	body                 // a part of the body
	running              // the request may have effects
	ending               // the handler has returned
)

// Client is what the connection of a client holds: itself, the header and the body of its
// request. All clients together hold no more than the budget, and evicted ones a quarter of
// it and one client more until they have closed. When memory or connections are short, the client with the
// greatest product of bytes held, time, and bytes held per byte received in that time is
// evicted, or refused if it is the one that asks; not one whose request may be running.
//
// Its methods are those of the goroutine that serves the connection, except Close. A nil
// client is unlimited.
type Client struct {
	budget *Budget
	evict  func(cause Cause)
	own    *Hold
	// writing is when the current write of a response began, in Unix nanoseconds, 0 for none.
	writing atomic.Int64

	// All others are guarded by the budget's lock. size is the sum of its holds.
	size  int64
	phase phase
	// since is when the phase began, received what came in it.
	since    time.Time
	received int64
	// bytes and lines are those of the current header, ahead the lines that were read in one
	// piece with the end of a body.
	bytes, lines, ahead int64
	lost, closed        bool
}

// Cause is why clients are evicted or refused.
type Cause int

// Causes, in the order of CauseNames.
const (
	CauseMemory Cause = iota
	CauseConns
	causes
)

// CauseNames are the names of causes in logs and metrics.
var CauseNames = [causes]string{"memory", "conns"}

// LimitConns limits the number of open connections of clients.
func (b *Budget) LimitConns(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maxConns = n
}

// Open adds a connection. evict is called at most once, when the connection has to be
// closed soon. The error is ErrConns or ErrExhausted. Close has to be called otherwise.
func (b *Budget) Open(evict func(Cause)) (*Client, error) {
	if b == nil {
		return nil, nil
	}
	c := &Client{budget: b, evict: evict, since: time.Now()}
	c.own = &Hold{budget: b, client: c}
	call, err := b.add(c)
	if err != nil {
		return nil, err
	}
	call()
	if err := c.own.Resize(connBytes); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// add adds a connection, and returns the call that evicts another one if there were too
// many. The error is ErrConns.
func (b *Budget) add(c *Client) (call func(), err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	call = func() {}
	if n := len(b.clients); b.maxConns > 0 {
		full := n+b.leavingConns >= b.maxConns+max(b.maxConns/leavingShare, 1) || b.leaving > b.total/leavingShare
		var v *Client
		if !full && n >= b.maxConns {
			v = b.worst(0, nil)
		}
		switch {
		case v != nil:
			call = v.drop(CauseConns)
		case full || n >= b.maxConns:
			b.refused[CauseConns]++
			return nil, ErrConns
		}
	}
	b.clients[c] = struct{}{}
	return call, nil
}

// Receive notes what was read from the connection. The error is ErrEvicted or ErrExhausted:
// then the request must not be served.
func (c *Client) Receive(p []byte) error {
	if c == nil {
		return nil
	}
	lines := int64(bytes.Count(p, []byte{'\n'}))
	c.budget.mu.Lock()
	if c.lost {
		c.budget.mu.Unlock()
		return ErrEvicted
	}
	if c.phase == waiting {
		c.enter(header)
		c.bytes, c.lines = 0, c.ahead
	}
	c.received += int64(len(p))
	c.ahead = 0
	if len(p) <= readAhead {
		c.ahead = lines
	}
	inHeader := c.phase == header
	if inHeader {
		c.bytes += int64(len(p))
		c.lines += lines
	}
	size := connBytes + headerCopies*c.bytes + fieldBytes*c.lines
	c.budget.mu.Unlock()
	if !inHeader {
		return nil
	}
	return c.own.Resize(size)
}

// Begin notes that a header of a number of fields was read, and that the request may have
// effects from now on. The error is that of Receive.
func (c *Client) Begin(fields int) error {
	if c == nil {
		return nil
	}
	c.budget.mu.Lock()
	size := connBytes + headerCopies*c.bytes + fieldBytes*int64(fields)
	c.budget.mu.Unlock()
	if err := c.own.Resize(size); err != nil {
		return err
	}
	return c.advance(running)
}

// Body returns an empty hold for the body of the request, which has no effects until it
// was read. The client must not be nil.
func (c *Client) Body() *Hold {
	_ = c.advance(body) // if it was evicted, the hold says so
	return &Hold{budget: c.budget, client: c}
}

// Queue notes that the request waits for its turn and has no effects until Run.
func (c *Client) Queue() {
	if c != nil {
		_ = c.advance(body) // if it was evicted, Run says so
	}
}

// Run notes that a queued request may have effects. The error is ErrEvicted.
func (c *Client) Run() error {
	if c == nil {
		return nil
	}
	return c.advance(running)
}

// End notes that the response was written, except for what is buffered.
func (c *Client) End() {
	if c != nil {
		_ = c.advance(ending) // an evicted client is closed
	}
}

// Wait notes that the connection waits for the next request.
func (c *Client) Wait() {
	if c == nil || c.advance(waiting) != nil {
		return
	}
	c.budget.mu.Lock()
	c.bytes, c.lines = 0, 0
	c.budget.mu.Unlock()
	_ = c.own.Resize(connBytes) // it never grows by that
}

// Write notes that a write of a response begins. The returned function ends it.
func (c *Client) Write() func() {
	if c == nil {
		return func() {}
	}
	c.writing.Store(time.Now().UnixNano())
	return func() { c.writing.Store(0) }
}

// Response returns an empty hold for a response that no other hold covers.
func (c *Client) Response() *Hold {
	if c == nil {
		return nil
	}
	return &Hold{budget: c.budget, client: c}
}

// Unread is what of a request a connection has carried since the last response.
type Unread int

// Values of Unread: nothing, a part of the header, or all of the header.
const (
	UnreadWaiting Unread = iota
	UnreadHeader
	UnreadNone
)

// Unread returns what has been read of the current request.
func (c *Client) Unread() Unread {
	if c == nil {
		return UnreadNone
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	switch c.phase {
	case waiting:
		return UnreadWaiting
	case header:
		return UnreadHeader
	}
	return UnreadNone
}

// Close removes the connection. Repeated calls are allowed.
func (c *Client) Close() {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	if c.lost {
		c.budget.leaving -= c.size
		c.budget.leavingConns--
		return
	}
	c.own.remove()
	delete(c.budget.clients, c)
}

func (c *Client) advance(p phase) error {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.lost {
		return ErrEvicted
	}
	c.enter(p)
	return nil
}

// enter begins a phase. The budget's lock must be held.
func (c *Client) enter(p phase) { c.phase, c.since, c.received = p, time.Now(), 0 }

// drop removes a client that is to be evicted from those that count, and returns the call
// that evicts it. The budget's lock must be held.
func (c *Client) drop(cause Cause) func() {
	b := c.budget
	c.lost = true
	b.used -= c.size
	b.requests -= c.size
	b.leaving += c.size
	b.leavingConns++
	b.evicted[cause]++
	delete(b.clients, c)
	return func() { c.evict(cause) }
}

// score is greater the more a client holds, the longer, and the less it has sent for that;
// 0 if it may not be evicted. more is added to its size. The budget's lock must be held.
func (c *Client) score(now time.Time, more int64) float64 {
	age := now.Sub(c.since)
	switch c.phase {
	case waiting:
		age = min(age, idleAge)
	case running, ending:
		if began := c.writing.Load(); began != 0 {
			age = now.Sub(time.Unix(0, began))
		} else if c.phase == running {
			return 0
		}
		if age < blockedTime {
			return 0
		}
	}
	held := float64(c.size + more)
	return held * held * (age + youngTime).Seconds() / float64(c.received+1024)
}

// worst returns the client to evict first, nil if none has a score above least. Those in
// skip don't count. b.mu must be held.
func (b *Budget) worst(least float64, skip map[*Client]bool) (found *Client) {
	now := time.Now()
	for c := range b.clients {
		if skip[c] {
			continue
		}
		s := c.score(now, 0)
		if s > least || found != nil && s == least && c.since.Before(found.since) {
			found, least = c, s
		}
	}
	return found
}

// oldestIdle returns the connection that has waited longest for a request, nil for none.
// b.mu must be held.
func (b *Budget) oldestIdle(skip map[*Client]bool) (found *Client) {
	for c := range b.clients {
		if c.phase == waiting && !skip[c] && (found == nil || c.since.Before(found.since)) {
			found = c
		}
	}
	return found
}

// clientVictims returns the clients to evict so that h gets more bytes, nil if that is not
// allowed. b.mu must be held.
func (b *Budget) clientVictims(h *Hold, more int64) (chosen []*Client) {
	least, skip := 0.0, map[*Client]bool{}
	if h.client != nil {
		least = h.client.score(time.Now(), more)
		skip[h.client] = true
	}
	leaving := b.leaving
	for free := b.total - b.used; free < more; {
		v := b.worst(least, skip)
		if v == nil && h.client != nil && h.client.phase == body {
			v = b.oldestIdle(skip) // a body that grows makes progress
		}
		if v == nil || leaving > b.total/leavingShare {
			return nil
		}
		skip[v] = true
		free += v.size
		leaving += v.size
		chosen = append(chosen, v)
	}
	return chosen
}

// Clients are numbers of connections, bytes and events since the start.
type Clients struct {
	Conns, Bytes     int64
	Evicted, Refused [causes]int64
}

// Clients returns the numbers of clients. The budget must not be nil.
func (b *Budget) Clients() Clients {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Clients{int64(len(b.clients) + b.leavingConns), b.requests + b.leaving, b.evicted, b.refused}
}
