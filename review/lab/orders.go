package lab

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

// LeaseTime is lease_duration_ms.
const LeaseTime = 3 * time.Second

// OrdersCase is a case in which routers are stopped while model engines serve streams.
type OrdersCase struct {
	// Fencing is require_fencing. With it only holders in touch count.
	Fencing bool
	// Own are settings of each router.
	Own [][]string
	// Stops are the routers that get SIGTERM in turn, Gap apart.
	Stops []int
	Gap   time.Duration
	// EngineAfter is the time from the first SIGTERM to the start of another engine.
	EngineAfter time.Duration
}

const (
	ordersHost    = "ficu95.example"
	ordersService = "huvo11a"
	firstStop     = 8 * time.Second
)

// Run plays the case and returns its exit code.
func (c *OrdersCase) Run(x *Case) (int, error) {
	rec := x.Rec
	orders, disturbed, served, err := c.play(rec, x.Root, x.Dir, x.Trouble)
	if err == nil && served == 0 {
		err = fmt.Errorf("no stream was served")
	}
	if err != nil {
		return NotRun, err
	}
	if c.Fencing {
		orders = slices.DeleteFunc(orders, func(o Order) bool { return disturbed[o.Holder] })
	}
	turns := 0
	for i, a := range orders {
		for _, b := range orders[i+1:] {
			if a.Engine == b.Engine && a.Holder != b.Holder && b.At.Sub(a.At) <= LeaseTime {
				turns++
				rec.Say("%s got orders of %s (epoch %d) and, %v later, of %s (epoch %d)", a.Engine, a.Holder, a.Fence,
					b.At.Sub(a.At).Round(time.Millisecond), b.Holder, b.Fence)
			}
		}
	}
	rec.Say("%d orders that count, %d pairs of two holders at one engine within %v, %d streams served", len(orders), turns, LeaseTime, served)
	if turns > 0 {
		return Broken, nil
	}
	return Held, nil
}

// play returns the orders that engines got, the holders that were stopped, and the number of
// streams that were served.
func (c *OrdersCase) play(rec *Record, root, dir string, trouble bool) (orders []Order, disturbed map[string]bool, served int, err error) {
	store, err := NewStore()
	if err != nil {
		return nil, nil, 0, err
	}
	defer store.Close()
	site := NewSite(store, rec)
	site.Fencing = c.Fencing
	store.Put("op/config", ModelConfig(ordersHost, ordersService))
	life := func(id, zone, stage, version string) Life {
		return Life{ID: id, Service: ordersService, Zone: zone, Version: version, Stage: stage, Slots: 64, Step: 55 * time.Millisecond}
	}
	for _, l := range []Life{life("i-prefill1", "gent", "prefill", "v1"), life("i-prefill2", "mechelen", "prefill", "v1"),
		life("i-decode1", "gent", "decode", "v1"), life("i-decode2", "mechelen", "decode", "v1"), life("i-decode3", "hasselt", "decode", "v1")} {
		if _, err := site.Start(l, ""); err != nil {
			return nil, nil, 0, err
		}
	}
	fleet, err := NewFleet(rec, root, dir, store.Address, 3, fmt.Sprint("bounds.require_fencing=", c.Fencing))
	if err != nil {
		return nil, nil, 0, err
	}
	defer fleet.Stop()
	for i, own := range c.Own {
		if err := fleet[i].Set(own...); err != nil {
			return nil, nil, 0, err
		}
	}
	if err := fleet.Start(); err != nil {
		return nil, nil, 0, err
	}
	time.Sleep(8 * time.Second) // traffic starts 10 s after the machines

	var mu sync.Mutex
	out := make([]bool, len(fleet)) // routers that get no new channels
	var clients, work sync.WaitGroup
	generate := func(i, events int) {
		mu.Lock()
		gone := out[i]
		mu.Unlock()
		if gone {
			return
		}
		clients.Go(func() {
			at := []*Router{fleet[i], fleet[(i+1)%len(fleet)]}
			if s := Generate(rec, at, ordersHost, "/pufi791/2f", events, 14*time.Second); s.Whole {
				mu.Lock()
				served++
				mu.Unlock()
			}
		})
	}
	begin := time.Now()
	since := func(d time.Duration) { time.Sleep(time.Until(begin.Add(d))) }
	work.Go(func() {
		for n := range 160 { // each router gets a stream each 300 ms
			since(time.Duration(n) * 100 * time.Millisecond)
			generate(n%len(fleet), 70)
		}
	})
	// Some answers are long: 160 events.
	work.Go(func() {
		for n, i := range c.Stops {
			since(firstStop + time.Duration(n)*c.Gap - 400*time.Millisecond)
			for range 3 {
				generate(i, 160)
			}
		}
	})
	if trouble {
		work.Go(func() {
			for n, i := range c.Stops {
				since(firstStop + time.Duration(n)*c.Gap)
				c.stop(rec, fleet[i], &clients, func() {
					mu.Lock()
					out[i] = true
					mu.Unlock()
				})
			}
		})
	}
	since(firstStop + c.EngineAfter)
	if _, err := site.Start(life("i-prefill3", "hasselt", "prefill", "v2"), ""); err != nil {
		return nil, nil, 0, err
	}
	since(firstStop + 16*time.Second)
	work.Wait()
	clients.Wait()
	disturbed = map[string]bool{}
	for _, i := range c.Stops {
		disturbed[fleet[i].Holder] = trouble
	}
	return site.Orders(), disturbed, served, nil
}

// stop stops a router and starts it again. The platform opens no new channel after two misses
// of its readiness check.
func (c *OrdersCase) stop(rec *Record, r *Router, running *sync.WaitGroup, missed func()) {
	r.Signal(syscall.SIGTERM)
	time.AfterFunc(2*time.Second, missed)
	done := r.Exited()
	running.Go(func() {
		select {
		case <-done:
		case <-time.After(8 * time.Second): // grace_period_s
			r.Signal(syscall.SIGKILL)
			<-done
		}
		time.Sleep(500 * time.Millisecond)
		if err := r.Start(); err != nil {
			rec.Say("%s not started again: %v", r.Name, err)
		}
	})
}
