package pool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/route/pool"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// maxUnseen is the longest time for which another process may run unnoticed:
// maxAge for as long as the store serves, more by an outage that is too short to be seen, and
// by the time that servers take to write their entries after it.
const (
	maxAge    = 1200 * time.Millisecond
	maxUnseen = 2*maxAge + 2*time.Second
)

// process is one process of an engine, by the daemon's time and by its own clock.
type process struct {
	entry pool.Server
	start time.Time
}

// engine is an engine that starts again under its ID, and a daemon that may be cut off from
// the store, idle, or cut off from the engine.
type engine struct {
	table     *pool.Table
	random    *rand.Rand
	now       time.Time
	processes []*process
	up        bool
	// store is set while the store serves; written is the entry that it has.
	store, outages bool
	returned       time.Time
	written        *process
	known          *process
}

func (e *engine) last() *process { return e.processes[len(e.processes)-1] }

// start starts a process. Its clock may differ from the daemon's by hours.
func (e *engine) start() {
	n := len(e.processes) + 1
	clock := time.Duration(e.random.IntN(5)) * time.Hour
	if n > 1 {
		clock += time.Duration(n) * 5 * time.Hour
	}
	e.up = true
	p := &process{start: e.now, entry: pool.Server{ID: "e", Service: "s", Stage: pool.Decode, Version: fmt.Sprint("v", n),
		StartedAt: time.UnixMilli(1).Add(clock), Revision: pool.Revision{Number: uint64(n)}, Sequence: 1}}
	e.processes = append(e.processes, p)
}

// step plays one random event.
func (e *engine) step() {
	e.now = e.now.Add(time.Duration(1+e.random.IntN(400)) * time.Millisecond)
	if e.store && e.up && (e.last().start.After(e.returned) || e.now.Sub(e.returned) > 1600*time.Millisecond) {
		e.written = e.last() // at its start, or within two seconds of the store's return
	}
	switch e.random.IntN(9) {
	case 0:
		if e.up {
			e.up = false
		}
	case 1:
		if !e.up {
			e.start()
			if e.store {
				e.written = e.last()
			}
		}
	case 2:
		if e.outages && e.random.IntN(4) == 0 && e.now.Sub(e.returned) > 3*time.Second {
			if e.store = !e.store; e.store {
				e.returned = e.now
			}
		}
	case 3, 4, 5:
		if e.store {
			e.table.Put(e.written.entry)
			e.table.MarkCurrent(e.now)
			e.known = e.written
		}
	case 6:
		if e.up && e.known == e.last() {
			e.table.ConfirmProcess(e.now, e.known.entry)
		}
	case 7:
		if !e.up {
			e.table.Begin("e")(e.now, pool.Broken, 0)
		}
	}
}

// Guards against a stream that is recorded at the version of an entry whose process has
// ended, and against events that count as an earlier process's though a later one may have
// brought them: in any order of starts, ends, failed connections, reports, outages of the
// store and late entries, whatever the clocks of the engines show.
func TestEvidenceOfProcess(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(40)
	parameters.MinSuccessfulTests = 5000
	properties := gopter.NewProperties(parameters)
	confirmed, refused, served := 0, 0, 0
	properties.Property("the process is the one of the entry", prop.ForAll(func(seed uint64, outages bool) string {
		e := &engine{table: pool.New(), random: rand.New(rand.NewPCG(seed, 40)), now: time.UnixMilli(1e12), store: true, outages: outages}
		longest := maxAge
		if outages {
			longest = maxUnseen
		}
		e.start()
		e.written, e.known = e.last(), e.last()
		e.table.Put(e.known.entry)
		e.table.MarkCurrent(e.now)
		type stream struct {
			entry, carrier *process
			begun          time.Time
		}
		var streams []stream
		for range 60 {
			e.step()
			switch {
			case !e.up:
			case !e.table.IsConfirmed(e.now, e.known.entry):
				refused++
			default:
				confirmed++
				if e.known != e.last() && e.now.Sub(e.last().start) > longest {
					return fmt.Sprintf("another process runs for %v, and the one before counts as confirmed", e.now.Sub(e.last().start))
				}
				streams = append(streams, stream{e.known, e.last(), e.now})
			}
			for _, s := range streams {
				if e.known == s.entry || !e.table.HasServed(s.entry.entry, s.begun) {
					continue
				}
				served++
				if s.carrier != s.entry && s.begun.Sub(s.carrier.start) > longest {
					return fmt.Sprintf("events of %s count as those of %s", s.carrier.entry.Version, s.entry.entry.Version)
				}
			}
		}
		return ""
	}, gen.UInt64(), gen.Bool()))
	properties.TestingRun(t)
	t.Logf("streams at confirmed processes %d, unconfirmed %d; known after a new entry %d", confirmed, refused, served)
	if confirmed < 1000 || refused < 1000 || served < 1000 {
		t.Error("too few to show anything")
	}
}

// Guards against evidence that outlives the next process, or comes from before the response.
func TestHasServed(t *testing.T) {
	t0 := time.UnixMilli(1e12)
	at := func(s int) time.Time { return t0.Add(time.Duration(s) * time.Second) }
	first, second := pool.Server{ID: "e", StartedAt: at(0), Sequence: 1}, pool.Server{ID: "e", StartedAt: at(1), Sequence: 1}
	cases := map[string]struct {
		note func(*pool.Table)
		want bool
	}{
		"nothing was seen":               {func(*pool.Table) {}, false},
		"confirmed after the response":   {func(t *pool.Table) { t.ConfirmProcess(at(20), first) }, true},
		"confirmed before the response":  {func(t *pool.Table) { t.ConfirmProcess(at(9), first) }, false},
		"its end was seen":               {func(t *pool.Table) { t.Begin("e")(at(20), pool.Broken, 0) }, true},
		"its end was seen before":        {func(t *pool.Table) { t.Begin("e")(at(9), pool.Broken, 0) }, false},
		"it was silent":                  {func(t *pool.Table) { t.RecordSilence(at(20), first, pool.TimedOut) }, false},
		"the next one ended":             {func(t *pool.Table) { t.Put(second); t.Begin("e")(at(20), pool.Broken, 0) }, false},
		"reported after its replacement": {func(t *pool.Table) { t.Put(second); t.ConfirmProcess(at(20), first) }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := pool.New()
			table.Put(first)
			c.note(table)
			table.Put(second)
			if got := table.HasServed(first, at(10)); got != c.want {
				t.Errorf("known %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against streams that begin unasked at engines of a daemon that has just started: its
// first state may be another daemon's, of any age, while the store is down.
func TestFirstStateIsDoubted(t *testing.T) {
	now := time.UnixMilli(1e12)
	table, s := pool.New(), pool.Server{ID: "e", Service: "s", Sequence: 1}
	table.Put(s)
	confirmed := func(after time.Duration) bool { return table.IsConfirmed(now.Add(after), s) }
	table.MarkCurrent(now)
	if confirmed(0) {
		t.Error("confirmed by the first state")
	}
	table.ConfirmProcess(now, s)
	if !confirmed(time.Second) {
		t.Error("not confirmed by its own report")
	}
	for after := time.Second; after <= 4*time.Second; after += time.Second {
		table.MarkCurrent(now.Add(after))
	}
	if !confirmed(4 * time.Second) {
		t.Error("not confirmed by news over four seconds")
	}
}
