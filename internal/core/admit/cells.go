package admit

import (
	"strconv"
	"time"

	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/owner"
	"citronrock.example/citronrock/internal/wire/peer"
)

// cell holds the load statistics of a cell at this edge daemon: those of the
// owner's last reply and the lease requests that this daemon has sent since.
type cell struct {
	name    string
	service string
	// prefillEngines is the number of engines that can prefill.
	prefillEngines int
	// wait is the queueing delay before a prefill could start, as of statsAt.
	wait    time.Duration
	statsAt time.Time
	// prefillPerToken is the moving average of the prefill time of one prompt
	// token, in nanoseconds.
	prefillPerToken float64
	// tokensInFlight is the number of prompt tokens in lease requests without a
	// reply, inFlight the number of these lease requests.
	tokensInFlight, inFlight int
	// window bounds inFlight for queued requests. Each refusal halves it and each
	// grant adds one, so that the end of an overload doesn't release the whole
	// queue at once.
	window float64
	// lostUntil is when the owner stops being treated as lost, zero when it is not.
	lostUntil time.Time
	// targetShare is the share of the first-token target that a predicted time to
	// first token may use.
	targetShare float64
	// closedUntil is when the owner again accepts lease requests like the last one
	// that it refused: no more urgent, with a prompt no shorter.
	closedUntil    time.Time
	closedPriority uint32
	closedTokens   uint32
}

func (ctl *Controller) updateCells(d *policy.Document) {
	next := map[string]*cell{}
	for _, s := range ctl.ordered {
		s.cells = s.cells[:0]
	}
	for _, e := range d.Engines {
		s := ctl.services[e.Service]
		if s == nil {
			continue
		}
		c := next[e.Cell]
		if c == nil {
			c = ctl.cells[e.Cell]
			if c == nil {
				c = &cell{name: e.Cell, window: maxWindow, targetShare: maxTargetShare}
			}
			c.service, c.prefillEngines = e.Service, 0
			next[e.Cell] = c
			s.cells = append(s.cells, c)
		}
		if e.Role != policy.RoleDecode {
			c.prefillEngines++
		}
	}
	ctl.cells = next
}

// maxStatsAge is the age from which statistics no longer justify a refusal. A
// request is then admitted, and its reply brings new statistics.
const maxStatsAge = 2 * time.Second

// predictFirstToken returns the predicted time to first token of a prompt of
// that many tokens in c.
func (c *cell) predictFirstToken(now time.Time, tokens uint32) time.Duration {
	wait := time.Duration(0)
	if age := now.Sub(c.statsAt); !c.statsAt.IsZero() && age < maxStatsAge {
		wait = max(0, c.wait-age)
	}
	queued := c.prefillPerToken * float64(c.tokensInFlight) / float64(max(c.prefillEngines, 1))
	return wait + time.Duration(queued+c.prefillPerToken*float64(tokens))
}

// closedFor returns how long the owner of c will refuse requests like r.
func (c *cell) closedFor(now time.Time, r *Request) time.Duration {
	if r.Priority < c.closedPriority || r.Tokens < c.closedTokens {
		return 0
	}
	return max(0, c.closedUntil.Sub(now))
}

// excess returns by how much the best cell would miss the first-token target of
// r, or at most zero when some cell can meet it.
func (ctl *Controller) excess(now time.Time, r *Request) time.Duration {
	best := time.Duration(0)
	for i, c := range r.service.cells {
		// A prompt whose own prefill takes longer than the target misses it in an
		// idle cell as well, and a retry wouldn't help.
		allowed := max(c.maxFirstToken(r), 2*c.prefillTime(r))
		excess := max(c.closedFor(now, r), c.predictFirstToken(now, r.Tokens)-allowed)
		if i == 0 || excess < best {
			best = excess
		}
	}
	return best
}

func (c *cell) prefillTime(r *Request) time.Duration {
	return time.Duration(c.prefillPerToken * float64(r.Tokens))
}

// Bounds and steps of targetShare. Statistics age while other edge daemons send
// to the same cell, so the share decreases with each lease that is expected to
// miss the target and recovers with those that meet it. With a fixed share, all
// edge daemons together kept the queueing delay just above the target at 1.5
// times the capacity, and nearly all requests missed it.
const (
	maxTargetShare      = 0.85
	minTargetShare      = 0.1
	targetShareDecrease = 0.7
	targetShareIncrease = 0.002
)

// maxFirstToken returns the largest predicted time to first token at which r is
// admitted. Requests less urgent than their service's own priority are shed at a
// lower load.
func (c *cell) maxFirstToken(r *Request) time.Duration {
	rank := uint32(0)
	if r.Priority > r.service.priority {
		rank = min(r.Priority-r.service.priority, 6)
	}
	aim := time.Duration(float64(r.service.firstTarget) * c.targetShare)
	return aim * 2 / time.Duration(2+rank)
}

// prefillEngines returns the number of engines of s that can prefill.
func (s *service) prefillEngines() int {
	n := 0
	for _, c := range s.cells {
		n += c.prefillEngines
	}
	return n
}

// minPrefillTime returns the prefill time of r in the fastest cell.
func (ctl *Controller) minPrefillTime(r *Request) time.Duration {
	best := time.Duration(0)
	for i, c := range r.service.cells {
		if d := c.prefillTime(r); i == 0 || d < best {
			best = d
		}
	}
	return best
}

// Choose returns the cell whose owner gets the lease request for r, or "" when
// skip excludes all. It prefers the home of the prompt's first KV block, where
// the caches hold prompts with the same prefix, unless that cell is overloaded;
// else it takes the better of two random cells.
func (ctl *Controller) Choose(now time.Time, r *Request, skip func(cell string) bool) string {
	candidates := ctl.candidates(now, r, skip)
	if len(candidates) == 0 {
		return ""
	}
	if len(candidates) == 1 {
		return candidates[0].name
	}
	best := ctl.betterOfTwo(now, r, candidates)
	if home := ctl.home(r, candidates); home != nil && !ctl.isOverloaded(now, r, home, best) {
		best = home
	}
	return best.name
}

func (ctl *Controller) candidates(now time.Time, r *Request, skip func(cell string) bool) []*cell {
	reachable, lost := ctl.reachable[:0], ctl.lost[:0]
	for _, c := range r.service.cells {
		if skip(c.name) {
			continue
		}
		if now.Before(c.lostUntil) {
			lost = append(lost, c)
			continue
		}
		reachable = append(reachable, c)
	}
	ctl.reachable, ctl.lost = reachable, lost
	if len(reachable) == 0 {
		return lost
	}
	return reachable
}

func (ctl *Controller) betterOfTwo(now time.Time, r *Request, candidates []*cell) *cell {
	i := ctl.rnd.IntN(len(candidates))
	j := ctl.rnd.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	a, b := candidates[i], candidates[j]
	if ctl.cost(now, r, b) < ctl.cost(now, r, a) {
		return b
	}
	return a
}

func (ctl *Controller) cost(now time.Time, r *Request, c *cell) time.Duration {
	return c.predictFirstToken(now, r.Tokens) + c.closedFor(now, r)
}

func (ctl *Controller) home(r *Request, candidates []*cell) *cell {
	if r.Piece == 0 {
		return nil
	}
	ctl.names = ctl.names[:0]
	for _, c := range candidates {
		ctl.names = append(ctl.names, c.name)
	}
	first := owner.First(strconv.FormatUint(r.Piece, 16), ctl.names)
	for _, c := range candidates {
		if c.name == first {
			return c
		}
	}
	return nil
}

// isOverloaded reports whether the cost at home exceeds that at other by more
// than the larger of two times: the prefill time that a cached first KV block
// saves, and a quarter of the first-token target.
func (ctl *Controller) isOverloaded(now time.Time, r *Request, home, other *cell) bool {
	saved := time.Duration(home.prefillPerToken * policy.BlockTokens)
	allowed := max(saved, r.service.firstTarget/4)
	return ctl.cost(now, r, home) > ctl.cost(now, r, other)+allowed
}

// Sent counts a lease request for r that was sent to the owner of a cell.
func (ctl *Controller) Sent(cell string, r *Request) {
	if c := ctl.cells[cell]; c != nil {
		c.tokensInFlight += int(r.Tokens)
		c.inFlight++
	}
}

// Abandoned ends a lease request whose reply is no longer awaited. It leaves the
// statistics of the cell as they are.
func (ctl *Controller) Abandoned(cell string, r *Request) {
	if c := ctl.cells[cell]; c != nil {
		c.tokensInFlight = max(0, c.tokensInFlight-int(r.Tokens))
		c.inFlight = max(0, c.inFlight-1)
	}
}

// lostOwnerTimeout is how long a cell whose owner did not reply is passed over.
// It is the suspicion timeout of the membership, after which the cell has a new
// owner.
const lostOwnerTimeout = 3 * time.Second

// TimedOut ends a lease request to which the owner did not reply in time, and
// treats the owner as lost.
func (ctl *Controller) TimedOut(now time.Time, cell string, r *Request) {
	ctl.Abandoned(cell, r)
	if c := ctl.cells[cell]; c != nil {
		c.lostUntil = now.Add(lostOwnerTimeout)
	}
}

// maxWindow is the largest number of lease requests in flight to one cell at
// which queued requests still leave the queue.
const maxWindow = 64

// hasWindow reports whether the window of some cell of s has room for another
// queued request.
func (s *service) hasWindow() bool {
	for _, c := range s.cells {
		if float64(c.inFlight) < c.window {
			return true
		}
	}
	return false
}

// prefillWeight is the weight of the newest prefill in prefillPerToken.
const prefillWeight = 0.1

// Answered updates the statistics of a cell from its owner's reply to the lease
// request for r.
func (ctl *Controller) Answered(now time.Time, cell string, r *Request, reply *peer.Grant) {
	ctl.Abandoned(cell, r)
	c := ctl.cells[cell]
	if c == nil {
		return
	}
	c.statsAt, c.lostUntil = now, time.Time{}
	if !reply.GetGranted() {
		c.wait = millis(reply.GetQueue()) / time.Duration(max(c.prefillEngines, 1))
		c.closedUntil = now.Add(millis(reply.GetAfter()))
		c.closedPriority, c.closedTokens = r.Priority, r.Tokens
		c.window = max(1, c.window/2)
		return
	}
	c.window = min(maxWindow, c.window+1)
	run := millis(reply.GetFirst()) - millis(reply.GetStart())
	c.wait = millis(reply.GetStart()) + max(run, 0)/time.Duration(max(c.prefillEngines, 1))
	c.adaptTargetShare(r, millis(reply.GetFirst()), run)
	if run <= 0 || r.Tokens == 0 {
		return
	}
	perToken := float64(run) / float64(r.Tokens)
	if c.prefillPerToken == 0 {
		c.prefillPerToken = perToken
	}
	c.prefillPerToken += (perToken - c.prefillPerToken) * prefillWeight
}

// adaptTargetShare adapts targetShare to a lease whose first token is expected
// after first, of which run is the prefill. Only a miss of the target through
// queueing decreases the share, not a prefill that is too long by itself.
func (c *cell) adaptTargetShare(r *Request, first, run time.Duration) {
	if r.service != nil && first > max(r.service.firstTarget, 2*run) {
		c.targetShare = max(minTargetShare, c.targetShare*targetShareDecrease)
		return
	}
	c.targetShare = min(maxTargetShare, c.targetShare+targetShareIncrease)
}

// Paused drops the statistics of all cells, which are stale after a process
// pause.
func (ctl *Controller) Paused() {
	for _, c := range ctl.cells {
		c.wait, c.statsAt, c.closedUntil = 0, time.Time{}, time.Time{}
	}
}

func millis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
