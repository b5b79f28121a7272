package ledger

import (
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/route/pool"
)

// Parameters of the ledger.
const (
	// fill is the share of the memory that can be granted in the long run, for
	// predictions.
	fill = 0.95
	// grantShare is the share of an engine's memory that is granted, and deviations the
	// number of standard deviations by which its outputs may then be longer than expected. A
	// fixed margin is too small where few long answers of different length share an
	// engine, and too large elsewhere.
	grantShare = 0.99
	deviations = 1.2
	// firstSpread stands for the standard deviation of outputs as a share of what
	// is expected, until runs have ended; spreadWeight is the weight of one run.
	firstSpread  = 0.25
	spreadWeight = 0.02
	// doubt is how long a grant counts before the report of its daemon has to
	// list it.
	doubt = 300 * time.Millisecond
	// reportLife is how long a report counts when no newer one comes. Daemons
	// report once a second at least.
	reportLife = 2500 * time.Millisecond
	// expireEvery is the time between looks for runs and answers that are old, far
	// below their lives.
	expireEvery = 20 * time.Millisecond
	// placeEvery is the time after which queued asks are tried again though
	// nothing has ended: outputs that grow as expected make room, too.
	placeEvery = 60 * time.Millisecond
	// firstPace stands for the tokens that a run makes in a second until reports
	// have shown it, paceWeight is the weight of one report.
	firstPace  = 500
	paceWeight = 0.02
	// paceSpan is the shortest time between two reports that shows the pace.
	paceSpan = 150 * time.Millisecond
	// fullFor is how long an engine that refused a granted request gets no other.
	fullFor = 300 * time.Millisecond
	// answeredFor is how long an answer is repeated to an ask that comes again.
	answeredFor = 2 * time.Second
	// refusedFor is how long a refused subject is known, so that it goes first
	// when it comes back.
	refusedFor = 20 * time.Second
	// firstStay stands for the time that a run holds its memory until runs have
	// ended.
	firstStay = 4 * time.Second
	// stayWeight is the weight of one run in the mean of that time.
	stayWeight = 0.05
	// shortestReturn and longestReturn bound the time after which a refused
	// client is asked to come back.
	shortestReturn = time.Second
	longestReturn  = 5 * time.Second
	// demandSpan is the time over which the rate of asks is measured.
	demandSpan = 1500 * time.Millisecond
	// returnSpread is the part of the longest time over which clients come back
	// that are refused while nothing is left.
	returnSpread = 0.4
	// leastSpare is the share of the service's rate that is at least left for
	// clients that come back.
	leastSpare = 0.1
	// crossPrefill is the queue in tokens that a prefill engine in the decode
	// engine's failure domain may have more than another: a transfer between
	// domains takes twice as long and is charged.
	crossPrefill = 6000
	// crossDecode is the same for decode engines, as a share of their memory.
	crossDecode = 0.03
)

type runKey struct {
	edge  netip.AddrPort
	start int64
	lease uint64
}

// waiting is a queued ask.
type waiting struct {
	Request
	edge netip.AddrPort
	// back is set for a client that came back after a refusal.
	back bool
	// heard is when the ask was last sent, lateAt from when on the answer would be
	// late, and refusal when its patience ends.
	asked, heard, lateAt, refusal time.Time
}

func (w *waiting) key() runKey { return runKey{w.edge, w.Incarnation, w.ID} }

// source is what the last report of a daemon told besides its runs.
type source struct {
	start   int64
	number  uint64
	at      time.Time
	resting []string
	pace    float64
}

type answered struct {
	Reply
	at time.Time
}

// Ledger is the account of one service.
type Ledger struct {
	service  string
	engines  map[string]Engine
	runs     runs
	sources  map[netip.AddrPort]*source
	queue    []*waiting
	full     map[string]time.Time
	answers  map[runKey]answered
	refused  map[uint64]time.Time
	stay     time.Duration
	returnAt time.Time
	// spread runs through 0 to 1 so that successive values are far apart.
	spread float64
	// asked is the sum of the asks until askedAt, weighted to the newest.
	asked   float64
	askedAt time.Time
	// foreign is memory and slots that runs unknown to the ledger hold.
	foreign   map[string]Untracked
	inspected map[string]time.Time
	past      []past
	// changing are engines on their way to another stage, ordered when engines
	// were last ordered to change.
	changing, ordered map[string]time.Time
	// orders are the stages that engines have accepted and not published yet.
	orders map[string]order
	// busy are engines that carry out an order, as they report.
	busy map[string]bool
	// steadySince is when an engine last came, went or failed.
	steadySince time.Time
	// noDecodeSince is when the last decode engine went, zero while there is one.
	noDecodeSince time.Time
	// boundSince and boundAt are when asks began to wait for a prefill engine and
	// when one last did.
	boundSince, boundAt time.Time
	// ends counts ended runs, prompt and need are the mean prompt and memory of
	// asks in tokens, and reads is the last known rate of a prefill engine in tokens
	// a second.
	ends                int
	prompt, need, reads float64
	// begun is when the ledger last got an ask after a time without.
	begun time.Time
	// square is the mean square of what outputs differ by from the expectation, as
	// a share of it.
	square float64
	// pace is the number of tokens that a run makes in a second.
	pace float64
	// ownReads are when decode engines were last told to read a prompt themselves.
	ownReads map[string]time.Time
	// dirty is set when a queued ask may have got room.
	dirty  bool
	placed time.Time
	// tight is what had no room since memory last came free.
	tight tight
	// ids are the names of the engines by stage, in order; nil when they have to be
	// collected.
	ids map[pool.Stage][]string
	// expired is when old runs and answers were last dropped.
	expired time.Time
}

// New returns an empty ledger.
func New(service string) *Ledger {
	return &Ledger{service: service, engines: map[string]Engine{}, runs: newRuns(), ownReads: map[string]time.Time{},
		sources: map[netip.AddrPort]*source{}, full: map[string]time.Time{}, foreign: map[string]Untracked{}, inspected: map[string]time.Time{},
		changing: map[string]time.Time{}, ordered: map[string]time.Time{}, orders: map[string]order{}, busy: map[string]bool{},
		answers: map[runKey]answered{}, refused: map[uint64]time.Time{}, stay: firstStay, pace: firstPace, square: firstSpread * firstSpread}
}

// SetEngines replaces the engines that new work may go to.
func (l *Ledger) SetEngines(now time.Time, engines []Engine) {
	engines = l.restaged(now, engines)
	if l.differ(engines) || len(l.resting()) > 0 {
		l.steadySince = now
	}
	if l.same(engines) {
		return
	}
	clear(l.engines)
	for _, e := range engines {
		l.engines[e.ID] = e
	}
	for id := range l.ownReads {
		if _, ok := l.engines[id]; !ok {
			delete(l.ownReads, id)
		}
	}
	l.changed()
}

// differ tells whether an engine came, went or has a new process.
func (l *Ledger) differ(engines []Engine) bool {
	for _, e := range engines {
		if was, ok := l.engines[e.ID]; !ok || !was.StartedAt.Equal(e.StartedAt) {
			return true
		}
	}
	return len(engines) != len(l.engines)
}

func (l *Ledger) same(engines []Engine) bool {
	for _, e := range engines {
		if l.engines[e.ID] != e {
			return false
		}
	}
	return len(engines) == len(l.engines)
}

// ApplyReport takes the report of a daemon.
func (l *Ledger) ApplyReport(now time.Time, edge netip.AddrPort, r Report) {
	s := l.sources[edge]
	if s != nil && (r.Incarnation < s.start || r.Incarnation == s.start && r.Sequence <= s.number) {
		return
	}
	if s == nil || r.Incarnation != s.start {
		l.forget(edge)
		s = &source{start: r.Incarnation}
		l.sources[edge] = s
	}
	s.number, s.at, s.resting, s.pace = r.Sequence, now, r.Unhealthy, r.PrefillRate
	for _, id := range r.Full {
		l.full[id] = now
	}
	listed := make(map[uint64]bool, len(r.Runs))
	for _, run := range r.Runs {
		listed[run.Lease] = true
		k := runKey{edge, r.Incarnation, run.Lease}
		e := l.runs.all[k]
		if e == nil {
			e = &entry{granted: now}
		}
		l.learn(now, e, run)
		l.runs.put(k, e, run)
		if run.Phase == Prefilling && !now.Before(e.readBy) {
			e.readBy = l.readTime(now, l.reading(run.Prefill)) // it takes longer than expected
		}
		e.listed, e.reported = true, now
	}
	for _, id := range r.Ended {
		if !listed[id] {
			l.end(now, runKey{edge, r.Incarnation, id})
		}
	}
	for k, e := range l.runs.edges[edge] {
		if !listed[k.lease] && (e.listed || now.Sub(e.granted) > doubt) {
			l.end(now, k)
		}
	}
}

// learn takes the pace of a run from two of its reports.
func (l *Ledger) learn(now time.Time, e *entry, run Run) {
	span := now.Sub(e.reported)
	if !e.listed || e.Generated == 0 || span < paceSpan {
		return
	}
	l.pace += (float64(run.Generated-e.Generated)/span.Seconds() - l.pace) * paceWeight
}

// end frees the memory of a run.
func (l *Ledger) end(now time.Time, k runKey) {
	e := l.runs.all[k]
	if e == nil {
		return
	}
	if e.Generated > 0 {
		l.ends++
		if e.Expected > 0 {
			// One answer of another kind must not close all engines.
			off := min(float64(e.Generated-e.Expected)/float64(e.Expected), 1)
			l.square += (off*off - l.square) * spreadWeight
		}
		l.stay += time.Duration(stayWeight * float64(now.Sub(e.granted)-l.stay))
	}
	l.past = append(l.past, past{e.Decode, e.Prompt + e.Generated, now})
	l.runs.remove(k)
	l.freed()
}

// forget drops all that a daemon that died had.
func (l *Ledger) forget(edge netip.AddrPort) {
	l.queue = slices.DeleteFunc(l.queue, func(w *waiting) bool { return w.edge == edge })
	for k, e := range l.runs.edges[edge] {
		if e.listed {
			l.runs.remove(k)
		}
	}
	delete(l.sources, edge)
	l.freed()
}

// lose drops the runs of a daemon whose reports ended. The daemon may only be
// silent, and engines go on with its runs, so that what these hold counts as
// foreign until the engines tell. Its asks stay: a daemon without runs reports
// nothing.
func (l *Ledger) lose(now time.Time, edge netip.AddrPort) {
	for k, e := range l.runs.edges[edge] {
		if !e.listed {
			continue
		}
		if e.Phase == Decoding {
			run := e.at(now, l.pace)
			l.addForeign(now, e.Decode, run.growth().held)
		}
		l.runs.remove(k)
	}
	delete(l.sources, edge)
	l.freed()
}

func (l *Ledger) expire(now time.Time) {
	if now.Sub(l.expired) < expireEvery {
		return
	}
	l.expired = now
	for edge, s := range l.sources {
		if now.Sub(s.at) > reportLife {
			l.lose(now, edge)
		}
	}
	for k, e := range l.runs.all {
		if !e.listed && now.Sub(e.granted) > reportLife {
			l.runs.remove(k)
		}
	}
	l.queue = slices.DeleteFunc(l.queue, func(w *waiting) bool { return now.Sub(w.heard) > reportLife })
	l.past = slices.DeleteFunc(l.past, func(p past) bool { return now.Sub(p.at) > reportLag })
	maps.DeleteFunc(l.answers, func(_ runKey, a answered) bool { return now.Sub(a.at) > answeredFor })
	maps.DeleteFunc(l.refused, func(_ uint64, at time.Time) bool { return now.Sub(at) > refusedFor })
}

// rate is the memory in tokens that can be granted in a second: what comes free
// while all decode engines are in use, and what the prefill engines can fill.
func (l *Ledger) rate() float64 {
	total, readers := 0, 0.0
	for _, e := range l.engines {
		switch e.Stage {
		case pool.Prefill:
			readers++
		default:
			total += e.Tokens
			readers += decodeReads
		}
	}
	rate := fill * float64(total) / l.stay.Seconds()
	if pace := l.readPace(); pace > 0 && readers > 0 && l.prompt > 0 {
		rate = min(rate, readers*pace*l.need/l.prompt)
	}
	return rate
}

// load is the share of decode memory that runs will need.
func (l *Ledger) load() float64 {
	total, used := 0, 0
	for _, e := range l.engines {
		if e.Stage == pool.Decode {
			total += e.Tokens
		}
	}
	for _, r := range l.runs.all {
		used += r.Prompt + max(r.Expected, r.Generated)
	}
	if total == 0 {
		return 1
	}
	return float64(used) / float64(total)
}

// outputSpread is the standard deviation of outputs as a share of what is expected.
func (l *Ledger) outputSpread() float64 { return math.Sqrt(l.square) }

// Load returns the number of runs and queued asks and the share of decode memory
// in use.
func (l *Ledger) Load() (runs, queued int, load float64) {
	return len(l.runs.all), len(l.queue), l.load()
}
