package gate

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"citronrock.example/citronrock/internal/room/permit"
)

// Guards against a server that gets more than its limit in any 4 s, summed over all
// daemons, and against one that gets far less, while daemons start, stop, are cut off or
// learn late, and the limit changes.
func TestFleet(t *testing.T) {
	const length = 16 * time.Second
	cases := map[string]struct {
		daemons       int
		demand, limit float64
		loss          float64
		// used is the least share of the limit that must be used from the sixth second
		// to the end, zero where the limit does not last as long.
		used   float64
		events func(f *fleet)
	}{
		"few daemons":                    {7, 60, 6.4, 0, 0.9, nil},
		"many daemons":                   {350, 400, 6.4, 0, 0.9, nil},
		"far below one a second":         {350, 400, 0.5, 0, 0.9, nil},
		"large limit":                    {85, 400, 84, 0, 0.85, nil},
		"demand of one daemon":           {85, 0, 6.4, 0, 0.9, func(f *fleet) { f.nodes[3].drive(40, f.started.Add(length), rand.New(rand.NewPCG(3, 3))) }},
		"demand below the limit":         {7, 5, 13.2, 0, 0.3, nil},
		"lost messages":                  {72, 200, 13.2, 0.1, 0.8, nil},
		"zero":                           {7, 60, 0.0001, 0, 0, nil},
		"raised":                         {30, 100, 2, 0, 0, func(f *fleet) { time.Sleep(4 * time.Second); f.setLimit(20) }},
		"lowered":                        {30, 100, 20, 0, 0, func(f *fleet) { time.Sleep(4 * time.Second); f.setLimit(2) }},
		"ended and named again":          {30, 100, 6, 0, 0, func(f *fleet) { time.Sleep(5 * time.Second); f.setLimit(0); time.Sleep(2 * time.Second); f.setLimit(6) }},
		"restarts one after the other":   {7, 60, 6.4, 0, 0.5, restartAll(400 * time.Millisecond)},
		"many restarts":                  {85, 200, 13.2, 0, 0.6, restartAll(100 * time.Millisecond)},
		"daemons start late":             {85, 200, 13.2, 0, 0.6, startLate},
		"divided in halves":              {30, 100, 13.2, 0, 0.5, divideBy(func(i int) int { return i % 2 })},
		"a fifth is cut off":             {30, 100, 13.2, 0, 0.5, divideBy(func(i int) int { return max(0, 1-i%5) })},
		"each is cut off from the other": {7, 60, 6.4, 0, 0, divideBy(func(i int) int { return i })},
		"owner killed again and again":   {30, 100, 13.2, 0, 0.3, killOwner},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(1, c.daemons)
				used := f.play(t, length, c.demand, c.limit, c.loss, c.events)
				t.Logf("used %.2f, %d requests, %d denied, %.0f messages a second", used, len(f.sends), f.denied, float64(f.asks)/(length-2*time.Second).Seconds())
				if used < c.used {
					t.Errorf("%.0f%% of the limit was used, want %.0f%% or more", 100*used, 100*c.used)
				}
			})
		})
	}
}

// play runs clients and events until the end and checks the load on the server. The
// limit is first named after two seconds. It returns the share of it that was used from
// the sixth second on.
func (f *fleet) play(t *testing.T, length time.Duration, demand, limit, loss float64, events func(*fleet)) float64 {
	f.loss = loss
	for _, x := range f.nodes {
		x.start()
	}
	time.Sleep(2 * time.Second)
	var running sync.WaitGroup
	if demand > 0 {
		for i, x := range f.nodes {
			running.Go(func() {
				x.drive(demand/float64(len(f.nodes)), f.started.Add(length), rand.New(rand.NewPCG(2, uint64(i))))
			})
		}
	}
	f.setLimit(limit)
	if events != nil {
		running.Go(func() { events(f) })
	}
	running.Wait()
	time.Sleep(time.Second)
	used := f.check(t, 6*time.Second, length)
	for _, x := range f.nodes {
		if x.down.IsZero() && !x.up.IsZero() {
			x.gate.Load().Close()
		}
	}
	time.Sleep(time.Second) // timers of asks
	return used
}

// restartAll returns an event that restarts all nodes, each some time after the one
// before, by turns gracefully and not.
func restartAll(pause time.Duration) func(*fleet) {
	return func(f *fleet) {
		time.Sleep(2 * time.Second)
		var restarts sync.WaitGroup
		for i, x := range f.nodes {
			restarts.Go(func() { x.restart(i%2 == 0, time.Second) })
			time.Sleep(pause)
		}
		restarts.Wait()
	}
}

// startLate stops two thirds of the nodes and starts them while the limit is in force.
func startLate(f *fleet) {
	for i, x := range f.nodes {
		if i%3 != 0 {
			x.stop()
		}
	}
	time.Sleep(3 * time.Second)
	for i, x := range f.nodes {
		if i%3 != 0 {
			x.start()
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func divideBy(part func(i int) int) func(*fleet) {
	return func(f *fleet) {
		time.Sleep(2 * time.Second)
		f.divide(part)
		time.Sleep(8 * time.Second)
		f.heal()
	}
}

// killOwner kills the owner of the limit six times, the next one as soon as it is owner.
func killOwner(f *fleet) {
	var restarts sync.WaitGroup
	for range 6 {
		time.Sleep(2 * time.Second)
		f.mu.Lock()
		var first *node
		for _, x := range f.nodes {
			if !x.up.IsZero() && x.down.IsZero() {
				first = x
				break
			}
		}
		f.mu.Unlock()
		owner := permit.Owner(f.server.ID, first.Alive())
		for _, x := range f.nodes {
			if x.addr == owner && x.down.IsZero() {
				restarts.Go(func() { x.restart(false, 500*time.Millisecond) })
			}
		}
	}
	restarts.Wait()
}
