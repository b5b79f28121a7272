package limit_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/core/limit"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var start = time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)

// Guards against calls to servers that are closed or down, against a limit outside
// its bounds, and against a full load for a server that was just reopened.
func TestLimitProperties(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(1)
	p.MinSuccessfulTests = 500
	ps := gopter.NewProperties(p)
	ps.Property("open calls keep to the state of the server", prop.ForAll(
		func(ops []uint16) bool {
			l, now := limit.New(), start
			open, faults, closed, down := 0, 0, false, now
			for _, op := range ops {
				now = now.Add(time.Duration(op>>8) * time.Millisecond / 4)
				switch op % 8 {
				case 0, 1, 2, 3:
					if l.Acquire(now) {
						open++
						if closed || now.Before(down) || open > 512 {
							return false
						}
					}
				case 4, 5, 6:
					if open > 0 {
						open--
						o := limit.Outcome(op >> 3 % 4)
						l.Release(now, time.Duration(op)*time.Microsecond, o)
						if o == limit.NoAnswer && !now.Before(down) {
							if faults++; faults >= 3 {
								down = now.Add(100 * time.Millisecond)
							}
						}
						if o == limit.Answered {
							faults, down = 0, now
						}
					}
				case 7:
					if closed = op>>3%2 == 0; closed {
						l.Close()
						break
					}
					l.Reopen()
					faults, down = 0, now
					got := 0
					for l.Acquire(now) {
						got++
					}
					if open += got; got > 2 {
						return false
					}
				}
			}
			return l.Load() >= 0 && l.Wait(now) > 0
		}, gen.SliceOfN(400, gen.UInt16())))
	ps.TestingRun(t)
}

// server simulates a backend server whose workers run queued calls in order.
type server struct {
	serviceTime time.Duration
	idleAt      []time.Duration // when each worker becomes idle
	completions completionHeap
}

type completion struct{ at, began time.Duration }

type completionHeap []completion

func (e completionHeap) Len() int           { return len(e) }
func (e completionHeap) Less(i, j int) bool { return e[i].at < e[j].at }
func (e completionHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *completionHeap) Push(x any)        { *e = append(*e, x.(completion)) }
func (e *completionHeap) Pop() any {
	v := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return v
}

func (s *server) accept(now time.Duration, rnd *rand.Rand) {
	best := 0
	for i := range s.idleAt {
		if s.idleAt[i] < s.idleAt[best] {
			best = i
		}
	}
	work := time.Duration(float64(s.serviceTime) * (0.5 + rnd.Float64()))
	s.idleAt[best] = max(s.idleAt[best], now) + work
	heap.Push(&s.completions, completion{s.idleAt[best], now})
}

// simulate sends Poisson arrivals at a multiple of the capacity. It returns the
// goodput between two times: the calls that are answered within target, as a share
// of the capacity then. With fixed above zero the limit is fixed. At 20 s the
// service time is multiplied by slower.
func simulate(load float64, fixed int, slower float64, from, to, target time.Duration) float64 {
	const workers, service = 8, 20 * time.Millisecond
	s := &server{serviceTime: service, idleAt: make([]time.Duration, workers)}
	l, rnd := limit.New(), rand.New(rand.NewPCG(1, 0))
	capacity := workers / service.Seconds()
	good, open := 0, 0
	for now := time.Duration(0); now < to; {
		if now > 20*time.Second {
			s.serviceTime = time.Duration(service.Seconds() * slower * float64(time.Second))
			capacity = workers / s.serviceTime.Seconds()
		}
		now += time.Duration(rnd.ExpFloat64() / (load * capacity) * float64(time.Second))
		for len(s.completions) > 0 && s.completions[0].at <= now {
			e := heap.Pop(&s.completions).(completion)
			open--
			l.Release(start.Add(e.at), e.at-e.began, limit.Answered)
			if e.at-e.began <= target && e.at > from {
				good++
			}
		}
		if fixed > 0 && open < fixed || fixed == 0 && l.Acquire(start.Add(now)) {
			open++
			s.accept(now, rnd)
		}
	}
	return float64(good) / (capacity * (to - from).Seconds())
}

// Guards against a limit that lets the queue in an overloaded server grow, or that
// leaves its workers idle.
func TestLimitGoodput(t *testing.T) {
	const target, from, to = 60 * time.Millisecond, 10 * time.Second, time.Minute
	for _, load := range []float64{0.7, 1, 1.5, 2} {
		adaptive, fixed := simulate(load, 0, 1, from, to, target), simulate(load, 64, 1, from, to, target)
		t.Logf("load %.1f: goodput %.3f of capacity, with a fixed limit of 64: %.3f", load, adaptive, fixed)
		if want := 0.9 * min(load, 1); adaptive < want {
			t.Errorf("load %.1f: goodput %.3f, want %.2f", load, adaptive, want)
		}
	}
}

// Guards against a limit that stays at its minimum when a server has become slower
// for good, since the old base latency is never reached again.
func TestLimitSlowerServer(t *testing.T) {
	got := simulate(1.5, 0, 3, 60*time.Second, 90*time.Second, 180*time.Millisecond)
	t.Logf("goodput %.3f of the new capacity", got)
	if got < 0.8 {
		t.Errorf("goodput %.3f, want 0.80", got)
	}
}
