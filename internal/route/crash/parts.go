package crash

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"citronrock.example/citronrock/internal/core/owner"
	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/logs/panics"
	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/peer/gossip"
	"citronrock.example/citronrock/internal/route/parts"
)

const (
	// A run has gone on, which speaks for the parts of its prompt, from soundEvents events
	// and soundTime after the first one, or when its answer is complete. Engines crash
	// when they begin to write.
	soundEvents = 2
	soundTime   = 250 * time.Millisecond
	// partTick is the time between judgements while there are suspects.
	partTick = 100 * time.Millisecond
	// Every pushTicks ticks the verdicts and the newest runs go to pushPeers daemons
	// picked at random, for those that have missed them, or have just started.
	pushTicks = 5
	pushPeers = 2
	// soundDelay spreads the announcements that a suspected part was in a run that went
	// on, soundInterval is the least time between two of one part in the fleet: as soon as
	// one daemon has said so, the others don't.
	soundDelay    = 200 * time.Millisecond
	soundInterval = 500 * time.Millisecond
	// Bounds of one datagram, each about 12 KB at most.
	maxRunsSent     = 5
	maxSoundSent    = 80
	maxVerdictsSent = 12
	maxCrashesSent  = 8
)

// Times in messages are ages in milliseconds, as clocks differ.

// brokenRun is a parts.Run.
type brokenRun struct {
	Service string   `cbor:"1,keyasint"`
	Parts   []string `cbor:"2,keyasint"`
	Crash   string   `cbor:"3,keyasint"`
	Age     uint32   `cbor:"4,keyasint"`
	// Content is missing in messages of daemons that don't know it.
	Content uint64 `cbor:"5,keyasint,omitempty"`
}

// soundPart is a part of prompts that was in a run which went on.
type soundPart struct {
	parts.Part
	Age uint32 `cbor:"3,keyasint"`
}

// verdict is a parts.Verdict. Ended is zero while the part is blocked, else the age of its
// release plus one.
type verdict struct {
	parts.Part
	Since   uint32   `cbor:"3,keyasint"`
	Seen    uint32   `cbor:"4,keyasint"`
	Crashes []string `cbor:"5,keyasint,omitempty"`
	Probes  int      `cbor:"6,keyasint,omitempty"`
	Probed  uint32   `cbor:"7,keyasint,omitempty"`
	Ended   uint32   `cbor:"8,keyasint,omitempty"`
	Sound   bool     `cbor:"9,keyasint,omitempty"`
	Round   uint32   `cbor:"10,keyasint"`
}

func age(now, at time.Time) uint32 {
	return uint32(min(max(now.Sub(at).Milliseconds(), 0), int64(time.Hour/time.Millisecond)))
}

func before(now time.Time, age uint32) time.Time {
	return now.Add(-time.Duration(age) * time.Millisecond)
}

// isProbeOwner reports whether this daemon may let through a request with a blocked part
// in a slot of time. Daemons that agree on the members agree on the owner.
func (g *Guard) isProbeOwner(p parts.Part, slot int64) bool {
	var names []string
	for _, m := range g.members.Alive() {
		names = append(names, m.Addr.String())
	}
	return owner.First(p.Service+"\x00"+p.ID+"\x00"+strconv.FormatInt(slot, 10), names) == g.self.String()
}

// BlockedPart returns the part of a request's prompt that crashed servers, so that the
// request must not run, or "". A request that is let through to find out whether the cause
// has gone is not blocked later.
func (g *Guard) BlockedPart(c *proxy.Request, service string) string {
	if g == nil || !g.blocking.Load() || c.Probe {
		return ""
	}
	now := time.Now()
	g.mu.Lock()
	refused, probe := g.parts.Check(now, service, c.Parts)
	var told []verdict
	if c.Probe = probe; probe {
		told = g.encodeVerdicts(now, func(v *parts.Verdict) bool { return v.ProbedAt.Equal(now) })
	}
	g.mu.Unlock()
	if probe {
		g.log.Info("request with a blocked part let through, to find out whether it still crashes servers", "request", c.ID, "service", service)
		g.broadcast(message{Verdicts: told})
	}
	if refused == nil {
		return ""
	}
	return refused.Part.ID
}

// RecordProgress records how far a run of a request has got, and reports whether that is
// beyond the point at which servers crash, so that no more has to be recorded of it.
func (g *Guard) RecordProgress(c *proxy.Request, service string, p Progress) bool {
	if g == nil || !p.goneOn() {
		return g == nil
	}
	g.recordSound(c, service)
	return true
}

// goneOn reports whether a run has got beyond the point at which servers crash.
func (p Progress) goneOn() bool { return p.Events >= soundEvents && p.Writing >= soundTime }

// recordSound records that a run of a request has gone on.
func (g *Guard) recordSound(c *proxy.Request, service string) {
	if len(c.Parts) == 0 {
		return
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.parts.AddSound(now, now, service, c.Parts) {
		if now.Sub(g.heard[p]) >= soundInterval {
			g.announceSound(now, p)
		}
	}
}

// announceSound has the others told soon that a part was in a run which went on, unless
// another daemon does so first. The caller holds mu.
func (g *Guard) announceSound(now time.Time, p parts.Part) {
	if _, ok := g.pending[p]; !ok {
		g.pending[p] = now.Add(rand.N(soundDelay))
		g.wakeUp()
	}
}

// addPartRuns adds the runs that a crash broke off before they had gone on, and returns
// them for the other daemons. The caller holds mu.
func (g *Guard) addPartRuns(now time.Time, runs []run, service, crash string) []brokenRun {
	var out []brokenRun
	for _, r := range runs {
		if r.progress.goneOn() || len(r.parts) == 0 || now.Sub(r.brokenAt) > correlationWindow {
			continue
		}
		if g.parts.AddRun(now, parts.Run{Service: service, Parts: r.parts, Content: r.fingerprint, Crash: crash, At: r.brokenAt}) {
			out = append(out, brokenRun{Service: service, Parts: r.parts, Crash: crash, Age: age(now, r.brokenAt), Content: r.fingerprint})
			g.ownCrashes[crash] = now
		}
	}
	if len(out) > 0 {
		g.wakeUp()
	}
	return out
}

// mergeParts applies what another daemon knows. The caller holds mu.
func (g *Guard) mergeParts(now time.Time, m message) {
	for _, s := range m.Sound {
		g.heard[s.Part] = now
		delete(g.pending, s.Part)
		g.parts.AddSound(now, before(now, s.Age), s.Service, []string{s.ID})
	}
	for _, r := range m.Runs {
		if !g.parts.AddRun(now, parts.Run{Service: r.Service, Parts: r.Parts, Content: r.Content, Crash: r.Crash, At: before(now, r.Age)}) {
			continue
		}
		for _, id := range r.Parts {
			p := parts.Part{Service: r.Service, ID: id}
			if _, ok := g.parts.SoundSince(now, p); ok && now.Sub(g.heard[p]) >= soundInterval {
				g.announceSound(now, p)
			}
		}
	}
	for _, v := range m.Verdicts {
		d := parts.Verdict{Part: v.Part, Since: before(now, v.Since), SeenAt: before(now, v.Seen), Crashes: v.Crashes, Probes: v.Probes, Sound: v.Sound, Round: v.Round}
		if v.Probes > 0 {
			d.ProbedAt = before(now, v.Probed)
		}
		if v.Ended > 0 {
			d.Ended = before(now, v.Ended-1)
		}
		if g.parts.Merge(now, d) {
			g.logVerdict(d, "peer")
		}
	}
	g.afterParts()
}

// afterParts brings what is derived from the parts up to date. The caller holds mu.
func (g *Guard) afterParts() {
	g.blocking.Store(g.parts.Blocking())
	if g.parts.Active() || g.strikes.Len() > 0 {
		g.wakeUp()
	}
}

// wakeUp starts the ticks.
func (g *Guard) wakeUp() {
	select {
	case g.wake <- struct{}{}:
	default: // they run
	}
}

// run ticks while there are suspects, until Close.
func (g *Guard) run() {
	for n := 0; ; n++ {
		select {
		case <-g.done:
			return
		case <-g.wake:
		}
		select {
		case <-g.done:
			return
		case <-time.After(partTick):
		}
		g.tick(n%pushTicks == 0)
	}
}

// tick judges the suspects and tells the others what they may not know.
func (g *Guard) tick(push bool) {
	defer panics.Recover(g.log, "crashes under parts of prompts")
	now := time.Now()
	g.mu.Lock()
	changed := g.parts.Tick(now)
	var told message
	for _, v := range changed {
		g.logVerdict(v, "own")
	}
	told.Verdicts = g.encodeVerdicts(now, func(v *parts.Verdict) bool {
		return slices.ContainsFunc(changed, func(c parts.Verdict) bool { return c.Part == v.Part }) &&
			slices.ContainsFunc(v.Crashes, func(c string) bool { _, ok := g.ownCrashes[c]; return ok })
	})
	for p, at := range g.pending {
		if soundAt, ok := g.parts.SoundSince(now, p); now.Before(at) && ok {
			continue
		} else if ok {
			told.Sound = append(told.Sound, soundPart{Part: p, Age: age(now, soundAt)})
			g.heard[p] = now
		}
		delete(g.pending, p)
	}
	var pushed message
	if push {
		for p, at := range g.heard {
			if now.Sub(at) >= soundInterval {
				delete(g.heard, p)
			}
		}
		for c, at := range g.ownCrashes {
			if now.Sub(at) >= StrikeTTL {
				delete(g.ownCrashes, c)
			}
		}
		pushed.Verdicts = g.encodeVerdicts(now, func(*parts.Verdict) bool { return true })
		for _, s := range g.strikes.Records(now) {
			pushed.Records = append(pushed.Records, record{Fingerprint: s.Print, Count: s.Count, TTL: s.Left, Server: s.Engine})
		}
		g.expire(now)
		for _, r := range g.parts.RecentRuns(maxRunsSent) {
			pushed.Runs = append(pushed.Runs, brokenRun{Service: r.Service, Parts: r.Parts, Crash: r.Crash, Age: age(now, r.At), Content: r.Content})
		}
	}
	g.afterParts()
	if len(g.pending) > 0 {
		g.wakeUp()
	}
	g.mu.Unlock()
	g.broadcast(told)
	if others := gossip.Others(g.members, g.self); len(others) > 0 && pushed.size() > 0 {
		for range pushPeers {
			g.send(pushed, others[rand.IntN(len(others))])
		}
	}
}

// encodeVerdicts returns the verdicts for which want is true. The caller holds mu.
func (g *Guard) encodeVerdicts(now time.Time, want func(*parts.Verdict) bool) []verdict {
	var out []verdict
	for _, v := range g.parts.Verdicts() {
		if !want(&v) {
			continue
		}
		e := verdict{Part: v.Part, Since: age(now, v.Since), Seen: age(now, v.SeenAt), Crashes: v.Crashes[:min(len(v.Crashes), maxCrashesSent)],
			Probes: v.Probes, Sound: v.Sound, Round: v.Round}
		if v.Probes > 0 {
			e.Probed = age(now, v.ProbedAt)
		}
		if !v.Ended.IsZero() {
			e.Ended = age(now, v.Ended) + 1
		}
		out = append(out, e)
	}
	return out
}

// logVerdict logs that a part was blocked or released. source is own if this daemon found
// out, peer if another one did.
func (g *Guard) logVerdict(v parts.Verdict, source string) {
	if v.Ended.IsZero() {
		g.log.Warn("requests with a part of prompts are refused, as it crashes servers", "part", v.Part.ID, "service", v.Part.Service,
			"crashes", v.Crashes, "since", v.Since.UnixMilli(), "round", v.Round, "source", source)
		return
	}
	g.log.Warn("requests with a part of prompts are served again", "part", v.Part.ID, "service", v.Part.Service, "sound", v.Sound,
		"since", v.Since.UnixMilli(), "probes", v.Probes, "round", v.Round, "source", source)
}

// Parts returns the verdicts on parts of prompts, for operators.
func (g *Guard) Parts() []parts.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.parts.Verdicts()
}

// broadcast sends a message to all other daemons. Those that miss it get its content from
// what is pushed later.
func (g *Guard) broadcast(m message) {
	if m.size() > 0 {
		g.send(m, gossip.Others(g.members, g.self)...)
	}
}

// size returns the number of entries of a message.
func (m *message) size() int {
	return len(m.Records) + len(m.Runs) + len(m.Sound) + len(m.Verdicts)
}

// send sends a message in datagrams of bounded size.
func (g *Guard) send(m message, to ...netip.AddrPort) {
	for part := range slices.Chunk(m.Records, maxRecords) {
		g.socket.Send(dgram.Strike, message{Records: part}, to...)
	}
	for part := range slices.Chunk(m.Runs, maxRunsSent) {
		g.socket.Send(dgram.Strike, message{Runs: part}, to...)
	}
	for part := range slices.Chunk(m.Sound, maxSoundSent) {
		g.socket.Send(dgram.Strike, message{Sound: part}, to...)
	}
	for part := range slices.Chunk(m.Verdicts, maxVerdictsSent) {
		g.socket.Send(dgram.Strike, message{Verdicts: part}, to...)
	}
}
