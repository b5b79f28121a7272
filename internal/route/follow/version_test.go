package follow_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/pool"
)

// largeDocument returns a configuration with a number of routes whose encoded form is
// about 2 kB each and can't be compressed by much. Version v differs from the one
// before in one route.
func largeDocument(version uint64, routes int) *config.Document {
	list := make([]config.Route, 0, routes)
	for i := range uint64(routes) {
		r := config.Route{Name: text(i, 200), Host: text(i%40, 16), Prefix: "/" + text(i*7919+1, 500) + "/",
			Timeout: time.Second, Attempts: 2, Splits: []config.Split{{Service: text(i%9, 12), Weight: 1}}}
		if i == version%uint64(routes) {
			r.Timeout += time.Duration(version) * time.Millisecond
		}
		list = append(list, r)
	}
	return config.New(version, list, []config.Service{{Name: "s"}}, config.Limits{})
}

// text returns a text of n letters that looks random.
func text(seed uint64, n int) string {
	out := make([]byte, n)
	for i := range out {
		seed = seed*6364136223846793005 + 1442695040888963407
		out[i] = "abcdefghijklmnopqrstuvwxyz234567"[seed>>59]
	}
	return string(out)
}

// lag is how long after its acknowledgement a version, or a later one, came into force
// at a daemon.
type lag struct {
	version uint64
	daemon  int
	took    time.Duration
}

// lags returns the lag of each acknowledged version at each daemon, and whether one of
// them has gone back to an older version.
func (f *fleet) lags(acked []versionAt, skip map[int]bool, end time.Time) (out []lag, wentBack bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, h := range f.hosts {
		if skip[i] {
			continue
		}
		for j := 1; j < len(h.inForce); j++ {
			wentBack = wentBack || h.inForce[j].version < h.inForce[j-1].version
		}
		for _, a := range acked {
			at := end
			if k := slices.IndexFunc(h.inForce, func(v versionAt) bool { return v.version >= a.version }); k >= 0 {
				at = h.inForce[k].at
			}
			out = append(out, lag{a.version, i, max(at.Sub(a.at), 0)})
		}
	}
	slices.SortFunc(out, func(a, b lag) int { return cmp.Compare(a.took, b.took) })
	return out, wentBack
}

// Guards against configurations that come into force too late: each daemon fetched the
// whole document from the relay that announced it, so that the cost of a version grew
// with the document and the fleet, and transfers cut off by a time limit began again.
// The bound is config_apply_ms of the contract: 2 s in the small fleet, else 3 s.
func TestVersionsInForceInTime(t *testing.T) {
	const gap = 200 * time.Millisecond
	sizes := map[string]struct {
		n, strong, versions int
		bound               time.Duration
	}{
		"7 daemons":   {7, 7, 20, 2 * time.Second},
		"72 daemons":  {72, 6, 20, 3 * time.Second},
		"295 daemons": {295, 15, 6, 3 * time.Second},
	}
	faults := map[string]func(f *fleet, skip map[int]bool){
		"no fault":   func(*fleet, map[int]bool) {},
		"slow store": func(f *fleet, _ map[int]bool) { f.slow.Store(50) },
		"readers refused": func(f *fleet, _ map[int]bool) {
			for _, h := range f.hosts {
				h.refused.Store(h.node.IsReader())
			}
		},
		"readers not answered": func(f *fleet, _ map[int]bool) {
			for _, h := range f.hosts {
				h.refused.Store(h.node.IsReader())
				h.silent.Store(true)
			}
		},
		"a third refused, lost datagrams": func(f *fleet, _ map[int]bool) {
			f.loss.Store(10)
			for i, h := range f.hosts {
				h.refused.Store(h.node.IsReader() || i%3 == 0)
			}
		},
		"history dropped": func(f *fleet, _ map[int]bool) {
			time.AfterFunc(gap/2, func() {
				f.store.mu.Lock()
				defer f.store.mu.Unlock()
				f.store.compacted = true
			})
			time.AfterFunc(3*gap, func() {
				f.store.mu.Lock()
				defer f.store.mu.Unlock()
				f.store.compacted = false
			})
		},
		"a reader and others cut off": func(f *fleet, skip map[int]bool) {
			for i, h := range f.hosts {
				if h.node.IsReader() && len(skip) == 0 || i%11 == 10 {
					skip[i] = true
					time.AfterFunc(gap+gap/4, h.disconnect)
				}
			}
		},
	}
	for size, c := range sizes {
		for name, fault := range faults {
			t.Run(size+"/"+name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					const routes = 150
					s := &store{doc: largeDocument(1, 10)}
					s.change(citronrock.Changes{Servers: named9()})
					f := newFleet(c.n, c.strong, 1_000_000, s)
					defer f.close()
					time.Sleep(9 * time.Second)
					before, calls := f.sent(), f.calls()
					skip := map[int]bool{}
					fault(f, skip)
					var acked []versionAt
					for v := range uint64(c.versions) {
						s.change(citronrock.Changes{Document: largeDocument(v+2, routes)})
						acked = append(acked, versionAt{v + 2, time.Now()})
						time.Sleep(gap)
					}
					time.Sleep(c.bound + time.Second)
					synctest.Wait()
					lags, wentBack := f.lags(acked, skip, time.Now())
					last := lags[len(lags)-1]
					t.Logf("median %v, 99 in 100 %v, most %v; %d kB sent a daemon, %d at most; %d calls of the store in %v", lags[len(lags)/2].took.Round(time.Millisecond),
						lags[len(lags)*99/100].took.Round(time.Millisecond), last.took.Round(time.Millisecond), (f.sent()-before)/int64(c.n)/1000, f.mostSent()/1000,
						f.calls()-calls, time.Duration(c.versions)*gap+c.bound+time.Second)
					if wentBack || last.took > c.bound {
						t.Errorf("version %d in force at daemon %d after %v, bound %v; went back: %v", last.version, last.daemon, last.took, c.bound, wentBack)
					}
				})
			})
		}
	}
}

// Guards against a daemon that stays with old versions and servers: one that missed more
// changes than updates repeat asked only the store, also when that refused it.
func TestMissedChangesComeFromPeers(t *testing.T) {
	sizes := map[string]struct {
		n, strong int
		bound     time.Duration
	}{
		"7 daemons":   {7, 7, 2 * time.Second},
		"72 daemons":  {72, 6, 3 * time.Second},
		"295 daemons": {295, 15, 3 * time.Second},
	}
	for name, c := range sizes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := &store{doc: largeDocument(1, 150)}
				s.change(citronrock.Changes{Servers: named9()})
				f := newFleet(c.n, c.strong, 1_000_000, s)
				defer f.close()
				time.Sleep(9 * time.Second)
				var back []*host
				for i, h := range f.hosts {
					if i%10 == 6 {
						h.disconnect()
						h.refused.Store(true)
						back = append(back, h)
					}
				}
				for v := range uint64(7) {
					s.change(citronrock.Changes{Document: largeDocument(v+2, 150)})
					time.Sleep(500 * time.Millisecond)
				}
				s.change(citronrock.Changes{Removed: []citronrock.Removal{{ID: "s3"}}})
				time.Sleep(4 * time.Second) // longer than updates repeat it
				for _, h := range back {
					h.connect()
				}
				time.Sleep(c.bound)
				synctest.Wait()
				for _, h := range back {
					if v, n := h.follower.Document().Version, usable(h.table); v != 8 || n != 8 {
						t.Errorf("%s has version %d and %d servers %v after its return, want version 8 and 8 servers", h.addr, v, n, c.bound)
					}
				}
			})
		})
	}
}

func (f *fleet) sent() (total int64) {
	for _, h := range f.hosts {
		total += h.up.bytes.Load()
	}
	return total
}

func (f *fleet) calls() (total int64) {
	for _, h := range f.hosts {
		total += h.reads.Load()
	}
	return total
}

func (f *fleet) mostSent() (most int64) {
	for _, h := range f.hosts {
		most = max(most, h.up.bytes.Load())
	}
	return most
}

func named9() []pool.Server {
	var out []pool.Server
	for i := range 9 {
		out = append(out, named(fmt.Sprint("s", i), 1))
	}
	return out
}
