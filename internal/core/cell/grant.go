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

// grant is a reservation of decode memory, a slot and a prefill.
type grant struct {
	request string
	print   uint64
	prefix  uint64
	struck  int
	group   *group
	decode  *unit
	prefill *unit
	// The incarnations of the engines when the grant was made.
	decodeInc, prefillInc uint64
	pieces                uint32
	priority              uint32
	start                 time.Duration
	ready                 time.Duration
	made                  time.Duration
	// work is the prefill work left, total all of it.
	work, total time.Duration
	queued      bool
	// lapsed is the end of the term, once it is over.
	lapsed time.Duration
	// seen is set once a report has listed the grant, generation is the last
	// report of the decode engine that did.
	seen       bool
	generation uint64
	// serial tells apart the uses of one record.
	serial uint64
	at     int
	sib    *grant
}

// started reports whether the prefill has taken time of its engine.
func (g *grant) started() bool { return g.work < g.total }

// listed reports whether the decode engine's last report shows the grant.
func (g *grant) listed() bool { return g.seen && g.generation == g.decode.generation }

// queue holds the expiry times of grants in order; all have the same term.
type queue struct {
	items []expiry
	head  int
}

type expiry struct {
	grant  *grant
	serial uint64
	due    time.Duration
}

func (q *queue) push(e expiry) { q.items = append(q.items, e) }

// first returns the earliest expiry of a grant that is still unused.
func (q *queue) first() (time.Duration, bool) {
	for q.head < len(q.items) {
		e := q.items[q.head]
		if e.grant.serial == e.serial && !e.grant.seen {
			return e.due, true
		}
		q.pop()
	}
	return 0, false
}

func (q *queue) pop() {
	q.items[q.head] = expiry{}
	q.head++
	if q.head*2 >= len(q.items) && q.head >= 64 {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items, q.head = q.items[:n], 0
	}
}

// expire ends the term of grants that no report has listed. Where the engine's
// figures are older than the end of the term, the grant may have been used in
// time; it is then kept until the next report.
func (m *Machine) expire(at time.Duration) {
	for {
		due, ok := m.terms.first()
		if !ok || due > at {
			return
		}
		g := m.terms.items[m.terms.head].grant
		m.terms.pop()
		g.lapsed = due
		m.lapse(at, g)
	}
}

// lapse releases an unused grant whose term is over by the engine's figures.
func (m *Machine) lapse(at time.Duration, g *grant) {
	if g.lapsed == 0 || g.decode.asof < g.lapsed {
		return
	}
	m.count.Expired++
	m.release(at, g, false)
}

// asked answers an Ask: with the same grant when it is repeated, with a new one
// or with a refusal.
func (m *Machine) asked(at time.Duration, e event.Asked, out []event.Action) []event.Action {
	a := e.Ask
	g := m.groups[a.GetCell()]
	if g == nil || !g.owned {
		return append(out, m.refuse(e, citronrock.ReasonHome, 100*time.Millisecond))
	}
	var again previous
	if r := g.grants[a.GetRequest()]; r != nil {
		if r.valid(a) {
			m.renew(at, r)
			return append(out, m.answer(at, e.From, r, g.look(m, at, a.GetPriority())))
		}
		again = m.displace(at, r, a)
	}
	out = append(out, m.grantOrRefuse(at, e, g, &again))
	again.settle()
	return out
}

// renew starts the term of an unused grant again.
func (m *Machine) renew(at time.Duration, r *grant) {
	if r.seen {
		return
	}
	r.serial++
	r.lapsed = 0
	m.terms.push(expiry{r, r.serial, at + term})
}

// valid reports whether a grant still answers an Ask of its request.
func (g *grant) valid(a *peer.Ask) bool {
	if g.prefill == nil || g.decode.leaving || g.prefill.leaving {
		return false
	}
	return len(a.GetAvoid()) == 0 ||
		!slices.Contains(a.GetAvoid(), g.decode.name) && !slices.Contains(a.GetAvoid(), g.prefill.name)
}

// previous is what a repeated Ask may keep of the request's last grant.
type previous struct {
	decode, prefill *unit
	// work is the prefill work that was left.
	work time.Duration
	// credit is what the release added to the free pieces of the engine, which
	// holds only when the next grant is there too.
	request string
	credit  uint32
	kept    bool
	// doubt is set when the request may have crashed an engine and the Done
	// that says so is not here yet.
	doubt int
}

// settle takes back the credit of a grant that was not renewed in its place.
func (p *previous) settle() {
	if p.kept || p.decode == nil {
		return
	}
	if p.credit > 0 {
		p.decode.credit -= p.credit
		p.decode.creditRuns--
	}
	delete(p.decode.done, p.request)
}

// displace ends a grant that the request can't use any more. The engine that
// is not to blame is preferred for the next grant, since it may hold memory or
// a KV cache for the request.
func (m *Machine) displace(at time.Duration, r *grant, a *peer.Ask) previous {
	p := previous{decode: r.decode, prefill: r.prefill, request: r.request}
	if r.queued {
		p.work = r.work
	}
	if slices.Contains(a.GetAvoid(), r.decode.name) {
		p.decode, p.doubt = nil, m.doubt(r.print, r.death())
	}
	if r.prefill == nil || slices.Contains(a.GetAvoid(), r.prefill.name) {
		p.prefill = nil
	}
	if p.decode != nil && r.listed() {
		p.credit = r.pieces
	}
	m.release(at, r, p.decode != nil)
	return p
}

// doubt returns 1 when the engine that a request avoids may have died from it
// and that death is not recorded.
func (m *Machine) doubt(print uint64, death string) int {
	if print == 0 || m.strikes.Known(m.now, print, death) {
		return 0
	}
	return 1
}

// doubtAfter is when a request may ask again whose last engine may have died
// from it. The Done that tells follows within a batch.
const doubtAfter = 50 * time.Millisecond

// death names the incarnation of the decode engine, so that two reports of one
// death count once and a second death of a restarted engine counts again.
func (g *grant) death() string { return deathName(g.decode.name, g.decodeInc) }

func (m *Machine) grantOrRefuse(at time.Duration, e event.Asked, g *group, again *previous) event.Action {
	a := e.Ask
	struck := m.strikes.Count(m.now, a.GetPrint())
	if a.GetPrint() != 0 && struck >= strike.Threshold {
		return m.refuse(e, citronrock.ReasonSuspect, strike.TTL)
	}
	if struck += again.doubt; struck >= strike.Threshold {
		return m.refuse(e, citronrock.ReasonOverload, doubtAfter)
	}
	g.check(at)
	need := m.need(g.service, a)
	p, why := m.place(at, g, a, need, struck, again)
	if why != "" {
		return m.refusePlace(at, e, g, p, why)
	}
	r := m.take()
	r.request, r.group, r.print, r.struck = a.GetRequest(), g, a.GetPrint(), struck
	r.decode, r.prefill, r.pieces, r.priority = p.decode, p.prefill, need, a.GetPriority()
	r.decodeInc, r.prefillInc = p.decode.incarnation, p.prefill.incarnation
	again.kept = p.decode == again.decode
	r.start, r.ready, r.made = p.start, p.ready, at
	r.work, r.total = p.work, p.work
	if len(a.GetPieces()) > 0 {
		r.prefix = a.GetPieces()[0]
	}
	m.insert(at, r, p)
	m.count.Granted++
	return m.answer(at, e.From, r, p.look)
}

// insert enters a grant into the accounts.
func (m *Machine) insert(at time.Duration, r *grant, p pick) {
	g, u := r.group, r.decode
	g.grants[r.request] = r
	m.bind(r)
	u.pending += r.pieces
	u.pendingRuns++
	delete(u.done, r.request)
	if !g.plain {
		g.ranks.add(at, r.priority, r.work)
		r.prefill.line.add(at, r)
	}
	if p.wire > 0 {
		r.prefill.wire.add(at, p.wire)
		r.decode.wire.add(at, p.wire)
	}
	if r.prefix != 0 {
		g.hot[hotKey{r.prefix, r.prefill}]++
		g.hot[hotKey{r.prefix, nil}]++
	}
	m.terms.push(expiry{r, r.serial, at + term})
}

// bind enters a grant into the lists by engine and by print.
func (m *Machine) bind(r *grant) {
	r.at = len(r.decode.live)
	r.decode.live = append(r.decode.live, r)
	r.decode.held += r.pieces
	if r.print != 0 {
		r.sib = m.prints[r.print]
		m.prints[r.print] = r
	}
}

// release ends a grant that its edge has not ended.
func (m *Machine) release(at time.Duration, r *grant, freed bool) {
	m.ended.keep(r)
	m.free(at, r, freed)
}

// free ends a grant. With freed the engine's memory counts as free although its
// last report still shows the request.
func (m *Machine) free(at time.Duration, r *grant, freed bool) {
	u := r.decode
	listed := r.listed()
	if listed && freed {
		u.credit += r.pieces
		u.creditRuns++
	}
	if u.done == nil {
		u.done = map[string]time.Duration{}
	}
	if freed {
		u.done[r.request] = at
	}
	r.group.pace.released(at, r.pieces)
	m.drop(r)
}

// drop takes a grant out of the accounts.
func (m *Machine) drop(r *grant) {
	u, g := r.decode, r.group
	if !r.listed() {
		u.pending -= r.pieces
		u.pendingRuns--
	}
	u.held -= r.pieces
	last := len(u.live) - 1
	u.live[r.at] = u.live[last]
	u.live[r.at].at = r.at
	u.live[last] = nil
	u.live = u.live[:last]
	if r.prefill != nil {
		r.prefill.line.remove(r)
		g.cool(hotKey{r.prefix, r.prefill})
		g.cool(hotKey{r.prefix, nil})
	}
	m.unlink(r)
	delete(g.grants, r.request)
	serial := r.serial + 1
	*r = grant{serial: serial}
	m.spare = append(m.spare, r)
}

func (g *group) cool(k hotKey) {
	if k.prefix == 0 {
		return
	}
	if g.hot[k]--; g.hot[k] <= 0 {
		delete(g.hot, k)
	}
}

// unlink takes a grant out of the list of its print.
func (m *Machine) unlink(r *grant) {
	if r.print == 0 {
		return
	}
	if m.prints[r.print] == r {
		if r.sib == nil {
			delete(m.prints, r.print)
			return
		}
		m.prints[r.print] = r.sib
		return
	}
	for p := m.prints[r.print]; p != nil; p = p.sib {
		if p.sib == r {
			p.sib = r.sib
			return
		}
	}
}

// take returns an empty record.
func (m *Machine) take() *grant {
	if n := len(m.spare); n > 0 {
		r := m.spare[n-1]
		m.spare = m.spare[:n-1]
		return r
	}
	return &grant{}
}

// need returns the pieces to reserve: the prompt and the expected output.
func (m *Machine) need(service string, a *peer.Ask) uint32 {
	tokens := a.GetTokens() + m.output(service).expect(a.GetOutput())
	return max(1, (tokens+policy.PieceTokens-1)/policy.PieceTokens)
}
