package origin_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"citronrock.example/citronrock/internal/route/origin"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against the record of a stream that is lost, wrong, or found too late when
// daemons die, are cut off, start again, leave or are of an older build.
func TestStreamIsFoundElsewhere(t *testing.T) {
	type play func(f *fleet, s []*stream) []*stream
	// dead keeps the streams whose daemon died.
	dead := func(s []*stream) (out []*stream) {
		for _, x := range s {
			if !x.at.down.IsZero() {
				out = append(out, x)
			}
		}
		return out
	}
	all := func(_ *fleet, s []*stream) []*stream { return s }
	third := func(f *fleet, s []*stream) []*stream {
		f.kill(f.some(len(f.daemons) / 3)...)
		return dead(s)
	}
	cases := map[string]struct {
		before func(f *fleet)
		then   play
		// least is the share of streams that must be found without lost datagrams.
		least float64
	}{
		"any daemon is asked": {nil, all, 1},
		"any three die at once": {nil, func(f *fleet, s []*stream) []*stream {
			f.kill(f.some(3)...)
			return dead(s)
		}, 1},
		"a third dies at once": {nil, third, 0.9},
		"a third dies, and is no longer listed": {nil, func(f *fleet, s []*stream) []*stream {
			s = third(f, s)
			time.Sleep(3 * time.Second)
			return s
		}, 0.9},
		"a third dies and is back, empty": {nil, func(f *fleet, s []*stream) []*stream {
			for _, d := range f.some(len(f.daemons) / 3) {
				f.kill(d)
			}
			s = dead(s)
			for _, d := range f.daemons {
				if !d.down.IsZero() {
					d.start()
				}
			}
			time.Sleep(200 * time.Millisecond)
			return s
		}, 0.9},
		"they began while a third was dead but listed": {func(f *fleet) { f.kill(f.some(len(f.daemons) / 3)...) }, func(f *fleet, s []*stream) []*stream {
			f.kill(s[0].at)
			return s
		}, 1},
		"they began while a third was away, which is back": {func(f *fleet) {
			f.kill(f.some(len(f.daemons) / 3)...)
			time.Sleep(3 * time.Second)
		}, func(f *fleet, s []*stream) []*stream {
			for _, d := range f.daemons {
				if !d.down.IsZero() {
					d.start()
				}
			}
			time.Sleep(2 * time.Second)
			f.kill(s[0].at)
			return s
		}, 1},
		"they began while a third had just started": {func(f *fleet) {
			for _, d := range f.some(len(f.daemons) / 3) {
				d.start()
			}
			time.Sleep(300 * time.Millisecond)
		}, func(f *fleet, s []*stream) []*stream {
			time.Sleep(2 * time.Second)
			f.kill(s[0].at)
			return s
		}, 1},
		"they began while a third was leaving, which is gone": {func(f *fleet) {
			for _, d := range f.some(len(f.daemons) / 3) {
				d.leave(true)
			}
			time.Sleep(100 * time.Millisecond) // until the others know
		}, func(f *fleet, s []*stream) []*stream {
			for _, d := range f.daemons {
				if d.leaving {
					f.kill(d)
				}
			}
			return s
		}, 1},
		"half of the fleet is of an older build": {func(f *fleet) {
			for _, d := range f.some(len(f.daemons) / 2) {
				d.startOld()
			}
			time.Sleep(2 * time.Second)
		}, func(f *fleet, s []*stream) []*stream { f.kill(s[0].at); return s }, 0.9},
		// None can be found elsewhere; what counts is how long they are held up.
		"they began at a daemon that was cut off": {func(f *fleet) {
			f.kill(f.daemons[1:]...)
		}, func(f *fleet, _ []*stream) []*stream {
			f.heal(f.daemons[1:]...)
			return nil
		}, 1},
		"all die at once": {nil, func(f *fleet, s []*stream) []*stream {
			for _, d := range f.daemons {
				d.start()
			}
			time.Sleep(2 * time.Second)
			return s
		}, 0},
	}
	for name, c := range cases {
		for _, n := range []int{7, 72, 295} {
			for _, loss := range []float64{0, 0.1, 0.3} {
				t.Run(fmt.Sprintf("%s, %d daemons, loss %.0f%%", name, n, 100*loss), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newFleet(n, loss, 1)
						defer f.close()
						if c.before != nil {
							c.before(f)
						}
						s := f.begin(200)
						held := time.Duration(0)
						for _, x := range s {
							held = max(held, x.took)
						}
						s = c.then(f, s)
						found, wrong, longest := f.find(s)
						least := c.least * map[float64]float64{0: 1, 0.1: 0.98, 0.3: 0.9}[loss]
						if wrong > 0 || float64(found) < least*float64(len(s)) || held > 105*time.Millisecond || longest > 155*time.Millisecond || c.least == 0 && found > 0 {
							t.Errorf("%d of %d found, %d at a wrong version; want a share of %.2f; first events held up for %v, found after %v", found, len(s), wrong, least, held, longest)
						}
						t.Logf("%d of %d found; first events held up for %v at most, found after %v at most", found, len(s), held, longest)
						if n > 7 {
							return
						}
						time.Sleep(3 * time.Second) // for what is sent in the background
						for _, d := range f.daemons {
							if d.group.InFlight() > 0 {
								t.Errorf("%d calls are kept after their end", d.group.InFlight())
							}
						}
					})
				})
			}
		}
	}
}

// Guards against three deaths that are chosen to be the worst ones: the daemon that served
// and two of the three others that hold the record.
func TestWorstThreeDeaths(t *testing.T) {
	for _, n := range []int{7, 72, 295} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(n, 0, 2)
				defer f.close()
				for _, s := range f.begin(60) {
					holders := f.holders(s.attempt)
					if len(holders) != 3 {
						t.Fatalf("%d others hold the record, want 3", len(holders))
					}
					gone := append(holders[:2:2], s.at)
					f.kill(gone...)
					version, ok := f.live().group.Find(t.Context(), "llm", s.attempt)
					if !ok || version != s.version {
						t.Errorf("version %q, found %v; want %q", version, ok, s.version)
					}
					f.heal(gone...)
				}
			})
		})
	}
}

// Guards against a stream that gets lost as the daemons that hold it die one after the
// other, however many, while its client takes it up again each time.
func TestChainOfDeaths(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(30, 0.1, 3)
		defer f.close()
		s := f.begin(1)[0]
		last := s.at
		for i := range 24 {
			f.kill(last)
			for _, d := range f.holders(s.attempt) {
				if d.down.IsZero() {
					f.kill(d)
					break
				}
			}
			last = f.live()
			ctx, cancel := context.WithTimeout(t.Context(), 14*time.Second)
			if version, ok := last.group.Find(ctx, "llm", s.attempt); !ok || version != s.version {
				t.Errorf("death %d: version %q, found %v", 2*i+2, version, ok)
			}
			cancel()
			time.Sleep(3 * time.Second)
			for _, d := range f.daemons {
				if !d.down.IsZero() {
					d.start()
				}
			}
			time.Sleep(2 * time.Second)
		}
	})
}

// Guards against records that are lost as daemons die two by two and start again, without a
// client that takes its stream up meanwhile.
func TestDeathsInARow(t *testing.T) {
	// A quarter of 72 daemons has all four holders of one record in 256.
	least := map[int]float64{7: 0.99, 72: 0.95}
	for n := range least {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(n, 0.1, 10)
				defer f.close()
				s := f.begin(100)
				// Each daemon dies once.
				order := f.some(n)
				for two := range slices.Chunk(order, max(2, n/4)) {
					f.kill(two...)
					time.Sleep(500 * time.Millisecond)
					for _, d := range two {
						d.start()
					}
					time.Sleep(2500 * time.Millisecond)
				}
				if found, wrong, _ := f.find(s); float64(found) < least[n]*100 || wrong > 0 {
					t.Errorf("%d of %d found, %d at a wrong version", found, len(s), wrong)
				}
			})
		})
	}
}

// Guards against records that are lost as all daemons are replaced one after the other,
// while their streams go on.
func TestReplacedFleet(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": 0, "before the others count them": 300 * time.Millisecond, "after that": 1500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(7, 0.1, 9)
				defer f.close()
				s := f.begin(100)
				for _, d := range f.daemons {
					d.leave(true)
					time.Sleep(100 * time.Millisecond)
					ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
					d.group.Leave(ctx)
					cancel()
					d.leave(false)
					d.start()
					time.Sleep(pause)
				}
				time.Sleep(200 * time.Millisecond) // until the last one knows the others
				if found, wrong, _ := f.find(s); found < 99 || wrong > 0 {
					t.Errorf("%d of %d found, %d at a wrong version", found, len(s), wrong)
				}
			})
		})
	}
}

// Guards against a version that is guessed for an attempt that brought no first event, and
// against the loss of one that is named twice, or after an attempt without events.
func TestNamedAttempts(t *testing.T) {
	cases := map[string]struct {
		name func(s *stream) string
		ok   bool
	}{
		"as it is":          {func(s *stream) string { return s.attempt }, true},
		"none":              {func(*stream) string { return "" }, false},
		"nobody served it":  {func(*stream) string { return "0123456789abcdef" }, false},
		"cut":               {func(s *stream) string { return s.attempt[:15] }, false},
		"longer":            {func(s *stream) string { return s.attempt + "0" }, false},
		"of 10,000 letters": {func(*stream) string { return string(make([]byte, 10_000)) }, false},
		"not UTF-8":         {func(s *stream) string { return s.attempt[:15] + "\xff" }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(7, 0, 4)
				defer f.close()
				s := f.begin(1)[0]
				// Two take the stream up at the same time, both without an event, then a third one.
				named := &stream{attempt: c.name(s), version: s.version}
				for _, takers := range []int{2, 1} {
					found, wrong, _ := f.find([]*stream{named, named}[:takers])
					if wrong > 0 || (found == takers) != c.ok || (found == 0) == c.ok {
						t.Errorf("%d of %d found, %d at a wrong version", found, takers, wrong)
					}
					f.kill(s.at)
				}
				if version, ok := f.live().group.Find(t.Context(), "another", s.attempt); ok {
					t.Errorf("stream of another service goes on at %q", version)
				}
			})
		})
	}
}

// Guards against a version that is given although records contradict each other,
// by any daemon but the one that made the first of them and does not know of the second.
func TestContradictingRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(20, 0, 5)
		defer f.close()
		for i := range 20 {
			order := f.some(20)
			record := func(d *daemon, attempt, version string) {
				d.group.Record(t.Context(), origin.Origin{Attempt: attempt, Service: "llm", Version: version, Until: time.Now().Add(10 * time.Second)})
			}
			two, none := fmt.Sprint("two", i), fmt.Sprint("none", i)
			record(order[0], two, "v0")
			record(order[1], two, "v1")
			record(order[0], none, "")
			time.Sleep(10 * time.Millisecond) // for what is sent in the background
			for _, d := range order[1:] {
				for _, attempt := range []string{two, none} {
					if version, ok := d.group.Find(t.Context(), "llm", attempt); ok {
						t.Errorf("attempt %s goes on at %q", attempt, version)
					}
				}
			}
		}
	})
}
