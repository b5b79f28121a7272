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
	// fullEngineCost is the cost of decoding on a full engine instead of an empty
	// one, as the delay of the first token that is accepted to avoid it.
	fullEngineCost = 100 * time.Millisecond
	// messageDelay is the time that the messages of one step take: from the reply
	// to the first token, and between the engines of a KV transfer.
	messageDelay = 4 * time.Millisecond
	// prefillLead is how long before its planned start a prefill is sent, so that
	// the engine doesn't idle when earlier ones take less time than planned. It is
	// as long as the max wait in the queue, since the engine itself orders its
	// queue by priority.
	prefillLead = 2 * time.Second
	// lateQueueDivisor divides the max wait for requests that have already missed
	// their first-token target.
	lateQueueDivisor = 4
	// hotPrefixMin is the number of leases of one prefix that an engine may have
	// before its share of them is bounded.
	hotPrefixMin = 4
)

// cellLoad holds the statistics of a cell that replies carry, for the admission at
// the edge daemons.
type cellLoad struct {
	// freeBlocks is the number of KV blocks that may be leased.
	freeBlocks uint32
	// queueWait is the shortest queueing delay of a prefill.
	queueWait time.Duration
}

// placement names the engines chosen for a request. For a refusal it holds what
// the Retry-After delay is computed from.
type placement struct {
	decode, prefill *engineState
	// prefillStart and prefillEnd are the planned times of the prefill, firstToken
	// is when the first token is expected.
	prefillStart, prefillEnd, firstToken time.Duration
	prefillTime, transferTime            time.Duration
	load                                 cellLoad
	cost                                 time.Duration
	// local is true when the decode engine prefills the prompt itself.
	local bool
	// noEngine is true when no engine of the cell is usable for any request.
	noEngine bool
}

// search is the state of findPlacement.
type search struct {
	machine  *Machine
	at       time.Duration
	cell     *cell
	ask      *peer.Ask
	blocks   uint32
	strikes  int
	prior    *priorLease
	exposure exposure
	load     cellLoad
	// prefill is the cheapest engine for the prompt, decode the cheapest one for
	// the output, local the cheapest one that does both.
	prefill, decode, local placement
	anyUsable              bool
	// prefillShare is the share of the prefill engines' time that more urgent
	// requests leave to this one.
	prefillShare float64
}

// findPlacement chooses engines for a request. It returns the reason of the
// refusal when there are none.
func (m *Machine) findPlacement(at time.Duration, c *cell, a *peer.Ask, blocks uint32, strikes int, prior *priorLease) (placement, citronrock.Reason) {
	s := search{machine: m, at: at, cell: c, ask: a, blocks: blocks, strikes: strikes, prior: prior}
	s.load.queueWait = -1
	s.exposure = m.exposureOf(a.GetPrint())
	c.matchPrefix(m, a.GetPieces())
	s.prefillShare = 1 - overtakingShare*c.priorityLoad.share(a.GetPriority(), c.prefillEngines())
	for _, eng := range c.engines {
		if eng.usable(at) {
			s.evaluate(eng)
		}
	}
	s.load.queueWait = max(0, s.load.queueWait)
	return s.choose()
}

// matchPrefix sets cachedBlocks to the number of leading KV blocks of a prompt
// that each engine has cached.
func (c *cell) matchPrefix(m *Machine, hashes []uint64) {
	if len(c.cachedBlocks) != len(c.engines) {
		c.cachedBlocks = make([]int, len(c.engines))
	}
	if m.usePrefixes {
		c.prefixIndex.Match(hashes, c.cachedBlocks)
	}
}

// prefillEngines returns the number of engines that only prefill, or of all that
// can prefill when there are none.
func (c *cell) prefillEngines() int {
	only, all := 0, 0
	for _, eng := range c.engines {
		if eng.prefills() {
			all++
		}
		if !eng.decodes() {
			only++
		}
	}
	if only > 0 {
		return only
	}
	return all
}

// evaluate computes the cost of an engine for the prefill, the output and both,
// and keeps it where it is the cheapest one.
func (s *search) evaluate(eng *engineState) {
	s.anyUsable = true
	free := eng.grantable(s.at, s.machine.slowStart)
	if eng.decodes() {
		s.load.freeBlocks += free
	}
	wait := eng.prefillQueue.wait(s.at, s.ask.GetPriority())
	if eng.prefills() && (s.load.queueWait < 0 || wait < s.load.queueWait) {
		s.load.queueWait = wait
	}
	if slices.Contains(s.ask.GetAvoid(), eng.name) || !s.allowed(eng) {
		return
	}
	var p placement
	if eng.prefills() {
		p = s.evaluatePrefill(eng, wait)
	}
	if !eng.decodes() || free < s.blocks || eng.freeSlots() == 0 {
		return
	}
	d := placement{decode: eng, cost: s.decodeCost(eng, free), transferTime: eng.transfers.remaining(s.at)}
	if s.decode.decode == nil || d.cost < s.decode.cost {
		s.decode = d
	}
	if p.prefill != nil && eng.role == policy.RoleBoth {
		p.decode, p.local = eng, true
		p.cost += d.cost - p.prefillTime
		if s.local.decode == nil || p.cost < s.local.cost {
			s.local = p
		}
	}
}

// evaluatePrefill computes the cost of the prefill on an engine and keeps it when
// it is the cheapest one.
func (s *search) evaluatePrefill(eng *engineState, wait time.Duration) placement {
	cached := min(uint32(s.cachedOn(eng))*policy.BlockTokens, s.ask.GetTokens())
	p := placement{prefill: eng}
	wait = time.Duration(float64(wait) / s.prefillShare)
	p.prefillStart = s.at + wait
	p.prefillTime = eng.prefillTime(s.ask.GetTokens() - cached)
	if s.prior.prefill == eng {
		// The engine may still hold the KV cache that the prior lease computed.
		p.prefillTime = s.prior.prefillLeft
	}
	p.prefillEnd = p.prefillStart + p.prefillTime
	p.cost = wait + p.prefillTime
	if eng.role == policy.RoleBoth {
		// A prefill delays the output tokens of the requests that the engine decodes.
		p.cost += p.prefillTime
	}
	if s.prefill.prefill == nil || p.cost < s.prefill.cost {
		s.prefill = p
	}
	return p
}

// cachedOn returns the number of KV blocks of the prompt that count as cached on an
// engine. On an engine with more than four times the even share of the leases of
// a prefix none count, so that other engines cache the prefix too.
func (s *search) cachedOn(eng *engineState) int {
	blocks := s.cell.cachedBlocks[eng.id]
	if blocks == 0 {
		return 0
	}
	prefix := s.ask.GetPieces()[0]
	onEngine := s.cell.prefixCounts[prefixKey{prefix, eng}]
	if onEngine < hotPrefixMin {
		return blocks
	}
	inCell := s.cell.prefixCounts[prefixKey{prefix, nil}]
	if onEngine*len(s.cell.engines) > 4*inCell {
		return 0
	}
	return blocks
}

// decodeCost returns the cost of decoding on an engine with free KV blocks. It
// grows with the share of memory or slots that is in use, and is lowest on the
// decode engine of the prior lease.
func (s *search) decodeCost(eng *engineState, free uint32) time.Duration {
	if eng == s.prior.decode {
		return -fullEngineCost
	}
	share := 1 - float64(free-s.blocks)/float64(max(eng.blocks, 1))
	if eng.slots > 0 {
		share = max(share, 1-float64(eng.freeSlots()-1)/float64(eng.slots))
	}
	return time.Duration(share * float64(fullEngineCost))
}

// choose returns the placement with the cheapest engines, or why there is none.
func (s *search) choose() (placement, citronrock.Reason) {
	p := placement{load: s.load}
	if !s.anyUsable {
		p.noEngine = true
		return p, s.unavailableReason()
	}
	if s.decode.decode == nil {
		return p, citronrock.ReasonOverload
	}
	if s.prefill.prefill == nil {
		return p, citronrock.ReasonBackend
	}
	p = s.combine()
	p.load = s.load
	p.firstToken = p.prefillEnd + messageDelay + p.decode.tokenGap
	if !p.local {
		p.firstToken += s.transferDelay(&p) + messageDelay
	}
	if s.tooLate(&p) {
		return p, citronrock.ReasonOverload
	}
	return p, ""
}

// tooLate reports whether a placement exceeds the max wait or the slack of the
// request. A request without slack has missed its first-token target and runs
// only where the wait is short, so that it doesn't make others miss theirs.
func (s *search) tooLate(p *placement) bool {
	slack := time.Duration(s.ask.GetSlack()) * time.Millisecond
	if slack == 0 {
		return p.prefillStart-s.at > s.machine.maxQueue/lateQueueDivisor
	}
	return p.prefillStart-s.at > s.machine.maxQueue || p.firstToken-s.at > slack
}

// unavailableReason returns the reason of a refusal when no engine of the cell is
// usable. Right after a takeover that means that load reports are missing, which
// passes like an overload.
func (s *search) unavailableReason() citronrock.Reason {
	if s.at-s.cell.ownedSince < takeoverTimeout {
		return citronrock.ReasonOverload
	}
	return citronrock.ReasonBackend
}

// combine returns the cheaper one of a prefill on the decode engine itself and a
// prefill elsewhere with a transfer of the KV cache.
func (s *search) combine() placement {
	p := s.prefill
	p.decode = s.decode.decode
	p.cost += s.decode.cost
	p.local = p.prefill == p.decode
	if !p.local {
		p.cost += s.transferDelay(&p) + messageDelay
	}
	if s.local.decode == nil || !s.shortEnough() {
		return p
	}
	if s.local.cost <= p.cost {
		return s.local
	}
	return p
}

// shortEnough reports whether the uncached part of the prompt is short enough for
// a prefill on the decode engine. A prompt that is partly cached there may leave
// one KV block to prefill even if that exceeds the setting.
func (s *search) shortEnough() bool {
	eng := s.local.decode
	uncached := s.ask.GetTokens() - min(s.ask.GetTokens(), uint32(s.cachedOn(eng))*policy.BlockTokens)
	limit := s.machine.maxLocalPrefill
	if uncached < s.ask.GetTokens() {
		limit = max(limit, policy.BlockTokens)
	}
	return uncached <= limit
}

// transferDelay returns the time from the end of the prefill to that of the KV
// transfer, including the wait for earlier transfers, and sets the transfer time.
func (s *search) transferDelay(p *placement) time.Duration {
	link := min(p.prefill.linkSpeed, p.decode.linkSpeed)
	if s.cell.tokenBytes == 0 || link <= 0 {
		return 0
	}
	bytes := float64(s.ask.GetTokens()) * float64(s.cell.tokenBytes)
	p.transferTime = time.Duration(bytes / link * float64(time.Second))
	ahead := max(p.prefill.transfers.remaining(s.at), p.decode.transfers.remaining(s.at))
	return max(0, ahead-(p.prefillEnd-s.at)) + p.transferTime
}

// exposure lists the engines that run requests with one fingerprint, which may
// crash them.
type exposure struct {
	decodes, prefills []*engineState
}

// exposureOf returns the exposure of a fingerprint. It is empty for one that has
// run to its end before.
func (m *Machine) exposureOf(fingerprint uint64) exposure {
	var exposed exposure
	if fingerprint == 0 || m.safe.has(fingerprint) {
		return exposed
	}
	for l := m.byFingerprint[fingerprint]; l != nil; l = l.nextSameFingerprint {
		if !slices.Contains(exposed.decodes, l.decode) {
			exposed.decodes = append(exposed.decodes, l.decode)
		}
		if l.prefill != nil && !slices.Contains(exposed.prefills, l.prefill) {
			exposed.prefills = append(exposed.prefills, l.prefill)
		}
	}
	return exposed
}

// allowed applies the rules for suspect requests: the engines that crashed while
// they ran a fingerprint and those that run it now are at most strike.Threshold,
// and a request with a strike shares no engine with another such request.
func (s *search) allowed(eng *engineState) bool {
	if s.strikes > 0 && s.machine.runsSuspect(eng) {
		return false
	}
	return s.withinStrikeLimit(s.exposure.decodes, eng) && s.withinStrikeLimit(s.exposure.prefills, eng)
}

// withinStrikeLimit reports whether an engine already runs the fingerprint, as one
// of engines, or may run it in addition to them.
func (s *search) withinStrikeLimit(engines []*engineState, eng *engineState) bool {
	if len(engines) == 0 || slices.Contains(engines, eng) {
		return true
	}
	return s.strikes+len(engines)+1 <= strike.Threshold
}

// runsSuspect reports whether an engine runs or has queued a request with a strike.
func (m *Machine) runsSuspect(eng *engineState) bool {
	suspect := func(l *lease) bool { return m.strikes.Count(m.now, l.fingerprint) > 0 }
	return slices.ContainsFunc(eng.leases, suspect) || slices.ContainsFunc(eng.prefillQueue.leases, suspect)
}

// load returns the statistics of the cell for a reply without a new placement.
func (c *cell) load(m *Machine, at time.Duration, priority uint32) cellLoad {
	load := cellLoad{queueWait: -1}
	for _, eng := range c.engines {
		if !eng.usable(at) {
			continue
		}
		if eng.decodes() {
			load.freeBlocks += eng.grantable(at, m.slowStart)
		}
		if !eng.prefills() {
			continue
		}
		if wait := eng.prefillQueue.wait(at, priority); load.queueWait < 0 || wait < load.queueWait {
			load.queueWait = wait
		}
	}
	load.queueWait = max(0, load.queueWait)
	return load
}

// grantReply returns the action that grants a lease to an edge daemon.
func (m *Machine) grantReply(at time.Duration, to string, l *lease, load cellLoad) event.Action {
	return event.SendGrant{To: to, Grant: &peer.Grant{
		Request: l.request,
		Granted: true,
		Prefill: l.prefill.name,
		Decode:  l.decode.name,
		Pieces:  l.blocks,
		Start:   millis(l.start - at - prefillLead),
		First:   millis(l.firstToken - at),
		Free:    load.freeBlocks,
		Queue:   millis(load.queueWait),
		Fence:   max(l.prefill.fencingToken, l.decode.fencingToken),
	}}
}

// millis rounds up to whole milliseconds, negative times to zero.
func millis(d time.Duration) uint32 {
	return uint32(max(0, (d+time.Millisecond-1)/time.Millisecond))
}
