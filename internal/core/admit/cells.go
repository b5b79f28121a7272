package admit

import (
	"strconv"
	"time"

	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/owner"
	"citronrock.example/citronrock/internal/wire/peer"
)

// cell is what this edge knows of a cell from its owner's last answer and from
// its own asks since.
type cell struct {
	name    string
	service string
	// prefill is the number of engines that can prefill.
	prefill int
	// wait is the time until a prefill could start, as of at.
	wait time.Duration
	at   time.Time
	// pace is the prefill time for one prompt token, averaged.
	pace float64
	// asked is the number of prompt tokens in asks without an answer, open the
	// number of these asks.
	asked, open int
	// window bounds open for queued requests. It falls with each refusal and
	// grows with each grant, so that the end of an overload doesn't release the
	// whole queue at once.
	window float64
	// quiet is set until when the owner counts as lost.
	quiet time.Time
	// aim is the share of a target that a predicted time may use.
	aim float64
	// shut is until when the owner wants no requests like the one it refused:
	// at most as urgent and at least as long.
	shut         time.Time
	shutPriority uint32
	shutTokens   uint32
}

func (g *Controller) publishCells(d *policy.Document) {
	next := map[string]*cell{}
	for _, s := range g.order {
		s.cells = s.cells[:0]
	}
	for _, e := range d.Engines {
		s := g.services[e.Service]
		if s == nil {
			continue
		}
		c := next[e.Cell]
		if c == nil {
			c = g.cells[e.Cell]
			if c == nil {
				c = &cell{name: e.Cell, window: windowMost, aim: aimMost}
			}
			c.service, c.prefill = e.Service, 0
			next[e.Cell] = c
			s.cells = append(s.cells, c)
		}
		if e.Role != policy.RoleDecode {
			c.prefill++
		}
	}
	g.cells = next
}

// staleAfter is the age from which figures are not trusted for a refusal; one
// request is let through to learn new ones.
const staleAfter = 2 * time.Second

// predict returns the time until the first token of r when it is sent to c.
func (c *cell) predict(now time.Time, tokens uint32) time.Duration {
	wait := time.Duration(0)
	if age := now.Sub(c.at); !c.at.IsZero() && age < staleAfter {
		wait = max(0, c.wait-age)
	}
	queued := c.pace * float64(c.asked) / float64(max(c.prefill, 1))
	return wait + time.Duration(queued+c.pace*float64(tokens))
}

// closed returns how long c takes no requests like r.
func (c *cell) closed(now time.Time, r *Request) time.Duration {
	if r.Priority < c.shutPriority || r.Tokens < c.shutTokens {
		return 0
	}
	return max(0, c.shut.Sub(now))
}

// over returns by how much the best cell would miss the first-token target of
// r, or zero when some cell can meet it.
func (g *Controller) over(now time.Time, r *Request) time.Duration {
	best := time.Duration(0)
	for i, c := range r.service.cells {
		// A prompt whose own prefill takes longer than the target misses it on an
		// idle cell as well, and a repeat wouldn't help.
		allowed := max(c.allowed(r), 2*c.own(r))
		over := max(c.closed(now, r), c.predict(now, r.Tokens)-allowed)
		if i == 0 || over < best {
			best = over
		}
	}
	return best
}

func (c *cell) own(r *Request) time.Duration {
	return time.Duration(c.pace * float64(r.Tokens))
}

// Limits and steps of aim. The figures age while other edges send to the same
// cell, so the share falls with each grant that misses the target and recovers
// with those that meet it. Without that all edges together kept the wait just
// above the target at 1.5 times the capacity, and nearly all requests missed it.
const (
	aimMost  = 0.85
	aimLeast = 0.1
	aimFall  = 0.7
	aimRise  = 0.002
)

// allowed returns the time to the first token that is predicted at most for a
// request to run. Requests less urgent than their service's own priority are
// shed earlier.
func (c *cell) allowed(r *Request) time.Duration {
	rank := uint32(0)
	if r.Priority > r.service.priority {
		rank = min(r.Priority-r.service.priority, 6)
	}
	aim := time.Duration(float64(r.service.first) * c.aim)
	return aim * 2 / time.Duration(2+rank)
}

// prefill returns the number of engines of s that can prefill.
func (s *service) prefill() int {
	n := 0
	for _, c := range s.cells {
		n += c.prefill
	}
	return n
}

// work returns the prefill time of r on the fastest cell.
func (g *Controller) work(r *Request) time.Duration {
	best := time.Duration(0)
	for i, c := range r.service.cells {
		if d := c.own(r); i == 0 || d < best {
			best = d
		}
	}
	return best
}

// Choose returns the cell to ask for r, or "" when there is none. The home of
// the prompt's first piece is preferred, since prompts with the same beginning
// meet there, unless it is loaded; else the better of two random cells is taken.
func (g *Controller) Choose(now time.Time, r *Request, skip func(cell string) bool) string {
	open := g.candidates(now, r, skip)
	if len(open) == 0 {
		return ""
	}
	if len(open) == 1 {
		return open[0].name
	}
	best := g.two(now, r, open)
	if home := g.home(r, open); home != nil && !g.loadedMore(now, r, home, best) {
		best = home
	}
	return best.name
}

func (g *Controller) candidates(now time.Time, r *Request, skip func(cell string) bool) []*cell {
	open, quiet := g.open[:0], g.quiet[:0]
	for _, c := range r.service.cells {
		if skip(c.name) {
			continue
		}
		if now.Before(c.quiet) {
			quiet = append(quiet, c)
			continue
		}
		open = append(open, c)
	}
	g.open, g.quiet = open, quiet
	if len(open) == 0 {
		return quiet
	}
	return open
}

func (g *Controller) two(now time.Time, r *Request, open []*cell) *cell {
	i := g.rnd.IntN(len(open))
	j := g.rnd.IntN(len(open) - 1)
	if j >= i {
		j++
	}
	a, b := open[i], open[j]
	if g.cost(now, r, b) < g.cost(now, r, a) {
		return b
	}
	return a
}

func (g *Controller) cost(now time.Time, r *Request, c *cell) time.Duration {
	return c.predict(now, r.Tokens) + c.closed(now, r)
}

func (g *Controller) home(r *Request, open []*cell) *cell {
	if r.Piece == 0 {
		return nil
	}
	g.names = g.names[:0]
	for _, c := range open {
		g.names = append(g.names, c.name)
	}
	first := owner.First(strconv.FormatUint(r.Piece, 16), g.names)
	for _, c := range open {
		if c.name == first {
			return c
		}
	}
	return nil
}

// loadedMore reports whether the wait at home exceeds that at other by more than
// the prefill time that a cached first piece saves, or a quarter of the target.
func (g *Controller) loadedMore(now time.Time, r *Request, home, other *cell) bool {
	saved := time.Duration(home.pace * policy.PieceTokens)
	allowed := max(saved, r.service.first/4)
	return g.cost(now, r, home) > g.cost(now, r, other)+allowed
}

// Sent counts an Ask for r to a cell.
func (g *Controller) Sent(cell string, r *Request) {
	if c := g.cells[cell]; c != nil {
		c.asked += int(r.Tokens)
		c.open++
	}
}

// Abandoned ends an Ask without figures, since its answer is no longer awaited.
func (g *Controller) Abandoned(cell string, r *Request) {
	if c := g.cells[cell]; c != nil {
		c.asked = max(0, c.asked-int(r.Tokens))
		c.open = max(0, c.open-1)
	}
}

// quietFor is how long a cell without an answer is passed over; it is the
// suspect time, after which the cell has a new owner.
const quietFor = 3 * time.Second

// TimedOut counts an Ask that the owner did not answer in time.
func (g *Controller) TimedOut(now time.Time, cell string, r *Request) {
	g.Abandoned(cell, r)
	if c := g.cells[cell]; c != nil {
		c.quiet = now.Add(quietFor)
	}
}

// windowMost bounds the open asks of queued requests to one cell.
const windowMost = 64

// room reports whether some cell of s takes another queued request.
func (s *service) room() bool {
	for _, c := range s.cells {
		if float64(c.open) < c.window {
			return true
		}
	}
	return false
}

// paceShare is the weight of the newest prefill in the average pace.
const paceShare = 0.1

// Answered takes the figures from the owner's answer to the Ask for r.
func (g *Controller) Answered(now time.Time, cell string, r *Request, a *peer.Grant) {
	g.Abandoned(cell, r)
	c := g.cells[cell]
	if c == nil {
		return
	}
	c.at, c.quiet = now, time.Time{}
	if !a.GetGranted() {
		c.wait = millis(a.GetQueue()) / time.Duration(max(c.prefill, 1))
		c.shut = now.Add(millis(a.GetAfter()))
		c.shutPriority, c.shutTokens = r.Priority, r.Tokens
		c.window = max(1, c.window/2)
		return
	}
	c.window = min(windowMost, c.window+1)
	run := millis(a.GetFirst()) - millis(a.GetStart())
	c.wait = millis(a.GetStart()) + max(run, 0)/time.Duration(max(c.prefill, 1))
	c.steer(r, millis(a.GetFirst()), run)
	if run <= 0 || r.Tokens == 0 {
		return
	}
	pace := float64(run) / float64(r.Tokens)
	if c.pace == 0 {
		c.pace = pace
	}
	c.pace += (pace - c.pace) * paceShare
}

// steer adapts aim to a grant that expects the first token after first, run of it
// for the prefill. A prompt whose prefill alone misses the target tells nothing.
func (c *cell) steer(r *Request, first, run time.Duration) {
	if r.service != nil && first > max(r.service.first, 2*run) {
		c.aim = max(aimLeast, c.aim*aimFall)
		return
	}
	c.aim = min(aimMost, c.aim+aimRise)
}

// Paused drops the figures, which a pause has made void.
func (g *Controller) Paused() {
	for _, c := range g.cells {
		c.wait, c.at, c.shut = 0, time.Time{}, time.Time{}
	}
}

func millis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
