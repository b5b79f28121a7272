package cell

import (
	"strconv"
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/strike"
	"citronrock.example/citronrock/internal/wire/peer"
)

// Outcomes of a grant that a Done reports.
const (
	outcomeFinish = "finish"
	outcomeCrash  = "crash"
)

// remembered is the number of ended grants that are kept for a Done that comes
// after an engine's report has already ended the grant.
const remembered = 4096

// remains is what is kept of an ended grant.
type remains struct {
	print           uint64
	struck          int
	decode, prefill string
	// decodeInc and prefillInc are the incarnations that ran the request.
	decodeInc, prefillInc uint64
}

// memory holds the last ended grants by request.
type memory struct {
	byName map[string]remains
	ring   []string
	next   int
}

// keep remembers a grant that ends.
func (y *memory) keep(r *grant) {
	if r.print == 0 {
		return
	}
	if y.byName == nil {
		y.byName = make(map[string]remains)
	}
	if _, ok := y.byName[r.request]; !ok {
		y.push(r.request)
	}
	y.byName[r.request] = r.remains()
}

func (y *memory) push(request string) {
	if len(y.ring) < remembered {
		y.ring = append(y.ring, request)
		return
	}
	delete(y.byName, y.ring[y.next])
	y.ring[y.next] = request
	y.next = (y.next + 1) % remembered
}

func (r *grant) remains() remains {
	s := remains{print: r.print, struck: r.struck, decode: r.decode.name, decodeInc: r.decodeInc}
	if r.prefill != nil {
		s.prefill, s.prefillInc = r.prefill.name, r.prefillInc
	}
	return s
}

// ran reports whether the engine of a Done is one that the grant named. A Done
// without an engine concerns any grant of its request.
func (s remains) ran(engine string) bool {
	return engine == "" || engine == s.decode || engine == s.prefill
}

// death names the incarnation that died, so that two reports of one death count
// once and a second death of a restarted engine counts again.
func (s remains) death(engine string) string {
	if engine == s.prefill && engine != s.decode {
		return deathName(engine, s.prefillInc)
	}
	return deathName(s.decode, s.decodeInc)
}

func deathName(engine string, incarnation uint64) string {
	return engine + strike.Separator + strconv.FormatUint(incarnation, 10)
}

// finished ends a grant on word of its edge.
func (m *Machine) finished(at time.Duration, d *peer.Done, out []event.Action) []event.Action {
	g := m.groups[d.GetCell()]
	if g == nil || !g.owned {
		return out
	}
	r := g.grants[d.GetRequest()]
	s, known := m.ended.byName[d.GetRequest()]
	if r != nil && (r.print == 0 || r.remains().ran(d.GetEngine())) {
		s, known = r.remains(), true
	} else {
		// A batched Done may come after the request has a new grant.
		r = nil
	}
	if known {
		out = m.judge(g, s, d, out)
	}
	if d.GetOutcome() != outcomeCrash {
		delete(m.ended.byName, d.GetRequest())
	}
	if r != nil {
		m.count.Finished++
		m.free(at, r, d.GetOutcome() == outcomeFinish)
	}
	return out
}

// judge records what the end of a run says about the request and the service.
func (m *Machine) judge(g *group, s remains, d *peer.Done, out []event.Action) []event.Action {
	switch d.GetOutcome() {
	case outcomeCrash:
		if !s.ran(d.GetEngine()) {
			return out
		}
		m.safe.drop(s.print)
		if record := m.strikes.Add(m.now, s.print, s.death(d.GetEngine())); record != nil {
			out = append(out, event.SendStrike{Strike: record})
		}
	case outcomeFinish:
		m.output(g.service).add(d.GetOutput())
		if r := m.prints[s.print]; r != nil && (r.sib != nil || r.request != d.GetRequest()) {
			m.safe.add(s.print)
		}
		if s.struck == 0 || m.strikes.Count(m.now, s.print) > s.struck {
			return out
		}
		if record := m.strikes.Clear(m.now, s.print); record != nil {
			out = append(out, event.SendStrike{Strike: record})
		}
	}
	return out
}
