package cell

import (
	"slices"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/strike"
	"citronrock.example/citronrock/internal/wire/peer"
)

const (
	// spread is the first-token delay that is worth taking to avoid a full
	// engine instead of an empty one.
	spread = 100 * time.Millisecond
	// overhead covers the messages of one step: between a grant and the first
	// token, and between the engines of a transfer.
	overhead = 4 * time.Millisecond
	// early is how long before its planned start a prefill is sent, so that the
	// engine has it at hand when earlier ones take less than planned. It is as
	// long as the bound of the queue: the engine keeps the order by priority.
	early = 2 * time.Second
	// lateShare divides the bound of the queue for requests that are late already.
	lateShare = 4
	// crowd is the number of live grants of one prefix that an engine may have
	// before its share of them is bounded.
	crowd = 4
)

// look holds the cell's figures for the edge's admission.
type look struct {
	free  uint32
	queue time.Duration
}

// pick is the outcome of a placement. Without engines it tells the edge when to
// come back.
type pick struct {
	decode, prefill *unit
	// start is when the prefill may start, done when it ends, ready when the
	// first token is expected.
	start, done, ready time.Duration
	work, wire         time.Duration
	look               look
	cost               time.Duration
	local              bool
	// unknown is set when no engine can be used for any request.
	unknown bool
}

// search is the state of one placement.
type search struct {
	m      *Machine
	at     time.Duration
	group  *group
	ask    *peer.Ask
	need   uint32
	struck int
	again  *previous
	seen   exposure
	look   look
	// prefill is the best engine for the prompt, decode the best for the
	// output, local the best that does both.
	prefill, decode, local pick
	reach                  bool
	// free is the share of the prefill engines' time that more urgent requests
	// leave.
	free float64
}

// place chooses engines for a request. Without a choice it returns the reason.
func (m *Machine) place(at time.Duration, g *group, a *peer.Ask, need uint32, struck int, again *previous) (pick, citronrock.Reason) {
	s := search{m: m, at: at, group: g, ask: a, need: need, struck: struck, again: again}
	s.look.queue = -1
	s.seen = m.exposed(a.GetPrint())
	g.match(m, a.GetPieces())
	s.free = 1 - overtaken*g.ranks.share(a.GetPriority(), g.prefills())
	for _, u := range g.units {
		if u.usable(at) {
			s.consider(u)
		}
	}
	s.look.queue = max(0, s.look.queue)
	return s.choose()
}

// match fills in the number of leading pieces that each engine holds.
func (g *group) match(m *Machine, pieces []uint64) {
	if len(g.depth) != len(g.units) {
		g.depth = make([]int, len(g.units))
	}
	if m.match {
		g.index.Match(pieces, g.depth)
	}
}

// prefills returns the number of engines that prefill and nothing else, or of all
// that can when there are none.
func (g *group) prefills() int {
	only, all := 0, 0
	for _, u := range g.units {
		if u.prefills() {
			all++
		}
		if !u.decodes() {
			only++
		}
	}
	if only > 0 {
		return only
	}
	return all
}

// consider weighs one engine.
func (s *search) consider(u *unit) {
	s.reach = true
	free := u.room(s.at, s.m.ramp)
	if u.decodes() {
		s.look.free += free
	}
	wait := u.line.wait(s.at, s.ask.GetPriority())
	if u.prefills() && (s.look.queue < 0 || wait < s.look.queue) {
		s.look.queue = wait
	}
	if slices.Contains(s.ask.GetAvoid(), u.name) || !s.allowed(u) {
		return
	}
	var p pick
	if u.prefills() {
		p = s.prefillOn(u, wait)
	}
	if !u.decodes() || free < s.need || u.slack() == 0 {
		return
	}
	d := pick{decode: u, cost: s.load(u, free), wire: u.wire.rest(s.at)}
	if s.decode.decode == nil || d.cost < s.decode.cost {
		s.decode = d
	}
	if p.prefill != nil && u.role == policy.RoleBoth {
		p.decode, p.local = u, true
		p.cost += d.cost - p.work
		if s.local.decode == nil || p.cost < s.local.cost {
			s.local = p
		}
	}
}

// prefillOn weighs the prefill on an engine and keeps it when it is the best.
func (s *search) prefillOn(u *unit, wait time.Duration) pick {
	cached := min(uint32(s.cached(u))*policy.PieceTokens, s.ask.GetTokens())
	p := pick{prefill: u}
	wait = time.Duration(float64(wait) / s.free)
	p.start = s.at + wait
	p.work = u.prefillTime(s.ask.GetTokens() - cached)
	if s.again.prefill == u {
		// The prompt's KV cache may still be there.
		p.work = s.again.work
	}
	p.done = p.start + p.work
	p.cost = wait + p.work
	if u.role == policy.RoleBoth {
		// A prefill delays the outputs that the engine decodes.
		p.cost += p.work
	}
	if s.prefill.prefill == nil || p.cost < s.prefill.cost {
		s.prefill = p
	}
	return p
}

// cached returns the pieces of the prompt that count as cached on an engine.
// Where a prefix already has more than its share on one engine they don't
// count, so that others come to hold the prefix too.
func (s *search) cached(u *unit) int {
	depth := s.group.depth[u.id]
	if depth == 0 {
		return 0
	}
	h := s.ask.GetPieces()[0]
	here := s.group.hot[hotKey{h, u}]
	if here < crowd {
		return depth
	}
	all := s.group.hot[hotKey{h, nil}]
	if here*len(s.group.units) > 4*all {
		return 0
	}
	return depth
}

// load returns the cost of decoding on an engine with free pieces.
func (s *search) load(u *unit, free uint32) time.Duration {
	if u == s.again.decode {
		return -spread
	}
	share := 1 - float64(free-s.need)/float64(max(u.pieces, 1))
	if u.slots > 0 {
		share = max(share, 1-float64(u.slack()-1)/float64(u.slots))
	}
	return time.Duration(share * float64(spread))
}

// choose combines the best engines.
func (s *search) choose() (pick, citronrock.Reason) {
	p := pick{look: s.look}
	if !s.reach {
		p.unknown = true
		return p, s.unreached()
	}
	if s.decode.decode == nil {
		return p, citronrock.ReasonOverload
	}
	if s.prefill.prefill == nil {
		return p, citronrock.ReasonBackend
	}
	p = s.combine()
	p.look = s.look
	p.ready = p.done + overhead + p.decode.gap
	if !p.local {
		p.ready += s.transfer(&p) + overhead
	}
	if s.late(&p) {
		return p, citronrock.ReasonOverload
	}
	return p, ""
}

// late reports whether a placement would come too late to be of use. A request
// that has missed its first-token target runs only where the wait is short, so
// that it doesn't make others miss theirs.
func (s *search) late(p *pick) bool {
	slack := time.Duration(s.ask.GetSlack()) * time.Millisecond
	if slack == 0 {
		return p.start-s.at > s.m.queue/lateShare
	}
	return p.start-s.at > s.m.queue || p.ready-s.at > slack
}

// unreached returns why a cell has no engine for any request. After a takeover
// the engines are there but not known yet.
func (s *search) unreached() citronrock.Reason {
	if s.at-s.group.since < settle {
		return citronrock.ReasonOverload
	}
	return citronrock.ReasonBackend
}

// combine returns the cheaper of prefilling on the decode engine and elsewhere.
func (s *search) combine() pick {
	p := s.prefill
	p.decode = s.decode.decode
	p.cost += s.decode.cost
	p.local = p.prefill == p.decode
	if !p.local {
		p.cost += s.transfer(&p) + overhead
	}
	if s.local.decode == nil || !s.short() {
		return p
	}
	if s.local.cost <= p.cost {
		return s.local
	}
	return p
}

// short reports whether the local candidate has little enough left to prefill.
func (s *search) short() bool {
	u := s.local.decode
	rest := s.ask.GetTokens() - min(s.ask.GetTokens(), uint32(s.cached(u))*policy.PieceTokens)
	limit := s.m.local
	if rest < s.ask.GetTokens() {
		limit = max(limit, policy.PieceTokens)
	}
	return rest <= limit
}

// transfer returns the time to move the KV cache and sets the link time used.
func (s *search) transfer(p *pick) time.Duration {
	link := min(p.prefill.link, p.decode.link)
	if s.group.cache == 0 || link <= 0 {
		return 0
	}
	bytes := float64(s.ask.GetTokens()) * float64(s.group.cache)
	p.wire = time.Duration(bytes / link * float64(time.Second))
	ahead := max(p.prefill.wire.rest(s.at), p.decode.wire.rest(s.at))
	return max(0, ahead-(p.done-s.at)) + p.wire
}

// exposure lists the engines that the runs of one print may take down.
type exposure struct {
	decodes, prefills []*unit
}

func (m *Machine) exposed(print uint64) exposure {
	var x exposure
	if print == 0 || m.safe.has(print) {
		return x
	}
	for r := m.prints[print]; r != nil; r = r.sib {
		if !slices.Contains(x.decodes, r.decode) {
			x.decodes = append(x.decodes, r.decode)
		}
		if r.prefill != nil && !slices.Contains(x.prefills, r.prefill) {
			x.prefills = append(x.prefills, r.prefill)
		}
	}
	return x
}

// allowed applies the rules for suspect requests: the engines that died while
// they ran the content and those that run it now are at most two, and a request
// with a strike shares an engine with no other such request.
func (s *search) allowed(u *unit) bool {
	if s.struck > 0 && s.m.suspects(u) {
		return false
	}
	return s.fits(s.seen.decodes, u) && s.fits(s.seen.prefills, u)
}

func (s *search) fits(units []*unit, u *unit) bool {
	if len(units) == 0 || slices.Contains(units, u) {
		return true
	}
	return s.struck+len(units)+1 <= strike.Threshold
}

// suspects reports whether a request with a strike runs on an engine.
func (m *Machine) suspects(u *unit) bool {
	one := func(r *grant) bool { return m.strikes.Count(m.now, r.print) > 0 }
	return slices.ContainsFunc(u.live, one) || slices.ContainsFunc(u.line.jobs, one)
}

// look returns the cell's figures without a placement.
func (g *group) look(m *Machine, at time.Duration, priority uint32) look {
	l := look{queue: -1}
	for _, u := range g.units {
		if !u.usable(at) {
			continue
		}
		if u.decodes() {
			l.free += u.room(at, m.ramp)
		}
		if !u.prefills() {
			continue
		}
		if wait := u.line.wait(at, priority); l.queue < 0 || wait < l.queue {
			l.queue = wait
		}
	}
	l.queue = max(0, l.queue)
	return l
}

// answer builds the action that carries a grant.
func (m *Machine) answer(at time.Duration, to string, r *grant, l look) event.Action {
	return event.SendGrant{To: to, Grant: &peer.Grant{
		Request: r.request,
		Granted: true,
		Prefill: r.prefill.name,
		Decode:  r.decode.name,
		Pieces:  r.pieces,
		Start:   millis(r.start - at - early),
		First:   millis(r.ready - at),
		Free:    l.free,
		Queue:   millis(l.queue),
		Fence:   max(r.prefill.fence, r.decode.fence),
	}}
}

// millis rounds up to whole milliseconds, and negative times to zero.
func millis(d time.Duration) uint32 {
	return uint32(max(0, (d+time.Millisecond-1)/time.Millisecond))
}
