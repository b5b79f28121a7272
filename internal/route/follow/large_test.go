package follow_test

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/fanout"
	"citronrock.example/citronrock/internal/route/follow"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/hashicorp/go-hclog"
)

// Guards against a new configuration that each daemon of a large fleet reads from
// the store, again with each update while the store rejects the read: that was
// 6,400 of the 11,600 calls of one day.
func TestVersionComesFromPeers(t *testing.T) {
	newer := &citronrock.Snapshot{Document: document(2), Servers: []pool.Server{server()}, Revision: pool.Revision{Number: 2}}
	cases := map[string]struct {
		others int
		state  *citronrock.Snapshot
		down   bool
		// most bounds the reads of the store in three seconds.
		most    int
		version uint64
	}{
		"large fleet":                      {300, newer, false, 0, 2},
		"large fleet, store refuses":       {300, newer, true, 0, 2},
		"nobody gives it":                  {300, nil, false, 1, 2},
		"nobody gives it, store refuses":   {300, nil, true, 8, 1},
		"small fleet":                      {5, newer, false, 1, 2},
		"nobody has a version that is new": {300, &citronrock.Snapshot{Document: document(1)}, false, 1, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &store{doc: document(1)}
				s.change(citronrock.Changes{Servers: []pool.Server{server()}})
				p := &peers{}
				f := follow.Start(s, pool.New(), p, hclog.NewNullLogger())
				defer f.Close()
				time.Sleep(100 * time.Millisecond)
				synctest.Wait()
				base := s.head
				s.change(citronrock.Changes{Document: document(2)})
				s.mu.Lock()
				s.down, s.reads = c.down, 0
				s.mu.Unlock()
				p.count, p.snapshot = c.others, c.state
				for range 30 {
					p.deliver(netip.AddrPort{}, fanout.Update{Base: base, Revision: s.head, Version: 2})
					time.Sleep(100 * time.Millisecond)
				}
				synctest.Wait()
				if v := f.Document().Version; v != c.version || s.reads > c.most {
					t.Errorf("version %d after %d reads, want version %d after %d at most", v, s.reads, c.version, c.most)
				}
			})
		})
	}
}

// Guards against a new daemon that serves with a stale snapshot: an old version, a
// missing server or a removed one.
func TestStaleStateIsBroughtUpToDate(t *testing.T) {
	gone := server()
	gone.ID = "gone"
	cases := map[string]struct {
		stale     int
		forgotten bool
	}{
		"nothing is missing":       {0, false},
		"the version":              {1, false},
		"a removal, too":           {2, false},
		"a server, too":            {3, false},
		"everything":               {5, false},
		"history of it is lost":    {3, true},
		"nothing to begin with":    {6, false},
		"neither, and no history":  {6, true},
		"nothing missing, no past": {0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &store{doc: document(1), staleBy: c.stale, compacted: c.forgotten}
				s.change(citronrock.Changes{Document: document(1)})
				s.change(citronrock.Changes{Servers: []pool.Server{gone}})
				s.change(citronrock.Changes{Servers: []pool.Server{server()}})
				s.change(citronrock.Changes{Removed: []citronrock.Removal{{ID: "gone"}}})
				s.change(citronrock.Changes{Document: document(2)})
				table := pool.New()
				f := follow.Start(s, table, &peers{reader: true}, hclog.NewNullLogger())
				defer f.Close()
				time.Sleep(100 * time.Millisecond)
				synctest.Wait()
				d := f.Document()
				if d == nil || d.Version != 2 {
					t.Errorf("document %+v, want version 2", d)
				}
				if got := table.Usable(time.Now(), "s"); len(got) != 1 || got[0].ID != "a" {
					t.Errorf("servers %+v, want the new one", got)
				}
			})
		})
	}
}

// cluster connects the followers of a fleet in memory. None of them is a reader.
type cluster struct {
	mu   sync.Mutex
	all  []*member
	sent int
}

type member struct {
	*cluster
	deliver func(netip.AddrPort, fanout.Update)
}

func (m *member) IsReader() bool { return false }

func (m *member) SetFailing(bool) {}

func (m *member) PeerCount() int { return len(m.all) - 1 }

func (m *member) HandleUpdates(f func(netip.AddrPort, fanout.Update)) { m.deliver = f }

func (m *member) Broadcast(u fanout.Update) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sent++
	for _, other := range m.all {
		if other != m && other.deliver != nil {
			other.deliver(netip.AddrPort{}, u)
		}
	}
	return 0
}

func (m *member) FetchSnapshot(context.Context, netip.AddrPort, *config.Document) (*citronrock.Snapshot, error) {
	return nil, fanout.ErrNoPeer
}

func (m *member) FetchDocument(context.Context, netip.AddrPort, *config.Document, uint64) (*config.Document, error) {
	return nil, fanout.ErrNoPeer
}

// unavailableStore is a store that rejects the reads of some daemons.
type unavailableStore struct {
	*store
	unavailable *atomic.Bool
}

func (s unavailableStore) Watch(ctx context.Context, after pool.Revision, wait time.Duration) (*citronrock.Changes, error) {
	if s.unavailable.Load() {
		s.mu.Lock()
		s.reads++
		s.mu.Unlock()
		return nil, errDown
	}
	return s.store.Watch(ctx, after, wait)
}

// Guards against a large fleet whose daemons all keep calling a store that is down:
// 4,084 calls in eight seconds at 295 daemons.
func TestOutageOfLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n, span = 200, 8 * time.Second
		s := &store{doc: document(1)}
		s.change(citronrock.Changes{Servers: []pool.Server{server()}})
		c := new(cluster)
		for range n {
			c.all = append(c.all, &member{cluster: c})
		}
		for _, m := range c.all {
			f := follow.Start(s, pool.New(), m, hclog.NewNullLogger())
			defer f.Close()
		}
		time.Sleep(8 * time.Second)
		synctest.Wait()
		s.mu.Lock()
		s.reads, s.down = 0, true
		s.mu.Unlock()
		time.Sleep(span)
		synctest.Wait()
		s.mu.Lock()
		defer s.mu.Unlock()
		// Two attempts at first, then one per 1.5 s or more.
		if most := n * (2 + int(span/(1500*time.Millisecond))); s.reads > most {
			t.Errorf("%d calls in %s, want %d at most", s.reads, span, most)
		}
	})
}

// Guards against a large fleet whose daemons all read the store when it rejects the
// readers, 2,950 calls in eight seconds at 295 daemons, and against late knowledge
// of a removal in that case.
func TestSilentReadersAreReplaced(t *testing.T) {
	for name, refused := range map[string]int{"store serves all": 0, "store turns away a third": 66} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const n, span = 200, 12 * time.Second
				s := &store{doc: document(1)}
				s.change(citronrock.Changes{Servers: []pool.Server{server()}})
				c := new(cluster)
				for range n {
					c.all = append(c.all, &member{cluster: c})
				}
				var unavailable atomic.Bool
				tables := make([]*pool.Table, n)
				for i, m := range c.all {
					source := citronrock.Store(s)
					if i < refused {
						source = unavailableStore{s, &unavailable}
					}
					tables[i] = pool.New()
					f := follow.Start(source, tables[i], m, hclog.NewNullLogger())
					defer f.Close()
				}
				time.Sleep(8 * time.Second) // each one does a full read
				synctest.Wait()
				s.mu.Lock()
				s.reads = 0
				s.mu.Unlock()
				unavailable.Store(true)
				time.Sleep(span)
				s.change(citronrock.Changes{Removed: []citronrock.Removal{{ID: "a"}}})
				time.Sleep(2500 * time.Millisecond)
				synctest.Wait()
				outdated := 0
				for _, table := range tables {
					if usable(table) != 0 {
						outdated++
					}
				}
				if outdated > 0 {
					t.Errorf("%d daemons don't know of a removal after 2.5 s", outdated)
				}
				s.mu.Lock()
				defer s.mu.Unlock()
				if most := 20 * int(span/time.Second); s.reads > most {
					t.Errorf("%d reads of the store in %s, want %d at most", s.reads, span, most)
				}
			})
		})
	}
}

// Guards against new daemons of a large fleet that stay without a configuration for
// seconds after the store is back, as they leave the reads to readers that have
// none either.
func TestFreshDaemonsTryOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{doc: document(1), down: true}
		s.change(citronrock.Changes{Servers: []pool.Server{server()}})
		var followers []*follow.Follower
		for range 20 {
			f := follow.Start(s, pool.New(), &peers{count: 300}, hclog.NewNullLogger())
			defer f.Close()
			followers = append(followers, f)
		}
		time.Sleep(8 * time.Second)
		s.mu.Lock()
		s.down = false
		s.mu.Unlock()
		time.Sleep(time.Second)
		synctest.Wait()
		for i, f := range followers {
			if f.Document() == nil {
				t.Errorf("daemon %d has no configuration a second after the store's return", i)
			}
		}
	})
}
