package follow_test

import (
	"context"
	"errors"
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

var errDown = errors.New("store is down")

// store is a store in memory that keeps the history of its changes.
type store struct {
	mu      sync.Mutex
	doc     *config.Document
	head    uint64
	history []citronrock.Changes
	down    bool
	reads   int
	loads   int
	// compacted makes Watch fail as if the store no longer had the changes.
	compacted bool
	// era counts the restores from an older copy.
	era uint64
	// staleBy is the number of newest changes that a stale snapshot lacks.
	staleBy int
}

// revision returns the store's revision. The caller holds mu.
func (s *store) revision() pool.Revision { return pool.Revision{Era: s.era, Number: s.head} }

func (s *store) change(c citronrock.Changes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.head++
	for i := range c.Servers {
		c.Servers[i].Revision = s.revision()
	}
	for i := range c.Removed {
		c.Removed[i].Revision = s.revision()
	}
	c.Revision = s.revision()
	s.history = append(s.history, c)
	if c.Document != nil {
		s.doc = c.Document
	}
}

func (s *store) Load(_ context.Context, stale bool) (*citronrock.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	s.loads++
	if s.down {
		return nil, errDown
	}
	all := map[string]pool.Server{}
	known := s.history
	doc, at := s.doc, s.head
	if stale && s.staleBy > 0 {
		known = known[:max(len(known)-s.staleBy, 0)]
		doc, at = nil, uint64(len(known))
		for _, c := range known {
			if c.Document != nil {
				doc = c.Document
			}
		}
		if doc == nil {
			return nil, citronrock.ErrCompacted
		}
	}
	for _, c := range known {
		for _, e := range c.Servers {
			all[e.ID] = e
		}
		for _, r := range c.Removed {
			delete(all, r.ID)
		}
	}
	out := &citronrock.Snapshot{Document: doc, Revision: pool.Revision{Era: s.era, Number: at}}
	for _, e := range all {
		out.Servers = append(out.Servers, e)
	}
	return out, nil
}

func (s *store) changedSince(after pool.Revision) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision() != after
}

func (s *store) Watch(ctx context.Context, after pool.Revision, wait time.Duration) (*citronrock.Changes, error) {
	for end := time.Now().Add(wait); time.Now().Before(end) && !s.changedSince(after); {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return nil, errDown
	}
	if s.compacted || after.Era != s.era || after.Number > s.head {
		return nil, citronrock.ErrCompacted
	}
	out := &citronrock.Changes{Revision: s.revision()}
	for _, c := range s.history {
		if after.Before(c.Revision) {
			out.Servers = append(out.Servers, c.Servers...)
			out.Removed = append(out.Removed, c.Removed...)
			if c.Document != nil {
				out.Document = c.Document
			}
		}
	}
	return out, nil
}

// peers is one daemon's connection to the others. It records the updates that the
// daemon broadcasts.
type peers struct {
	reader   bool
	sent     []fanout.Update
	gap      time.Duration
	count    int
	deliver  func(netip.AddrPort, fanout.Update)
	snapshot *citronrock.Snapshot
	// fetched counts the configurations fetched from other daemons.
	fetched int
	// failing is whether the daemon has said that it can't read the store.
	failing atomic.Bool
}

func (p *peers) IsReader() bool { return p.reader }

func (p *peers) SetFailing(failing bool) { p.failing.Store(failing) }
func (p *peers) Broadcast(u fanout.Update) time.Duration {
	p.sent = append(p.sent, u)
	return p.gap
}
func (p *peers) HandleUpdates(f func(netip.AddrPort, fanout.Update)) { p.deliver = f }
func (p *peers) PeerCount() int                                      { return p.count }
func (p *peers) FetchSnapshot(context.Context, netip.AddrPort, *config.Document) (*citronrock.Snapshot, error) {
	if p.snapshot == nil {
		return nil, fanout.ErrNoPeer
	}
	return p.snapshot, nil
}

func (p *peers) FetchDocument(_ context.Context, _ netip.AddrPort, _ *config.Document, version uint64) (*config.Document, error) {
	if p.snapshot == nil || p.snapshot.Document.Version < version {
		return nil, fanout.ErrNoPeer
	}
	p.fetched++
	return p.snapshot.Document, nil
}

func server() pool.Server {
	return pool.Server{ID: "a", Service: "s", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Sequence: 1, StartedAt: time.UnixMilli(1)}
}

func document(version uint64) *config.Document {
	return config.New(version, nil, []config.Service{{Name: "s"}}, config.Limits{})
}

func usable(t *pool.Table) int { return len(t.Usable(time.Now(), "s")) }

// Guards against a reader whose updates lack changes that it received from another
// reader: a daemon that gets only its updates would keep draining servers.
func TestUpdateRepeatsReceivedChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{doc: document(1)}
		s.change(citronrock.Changes{Servers: []pool.Server{server()}})
		p := &peers{reader: true}
		table := pool.New()
		f := follow.Start(s, table, p, hclog.NewNullLogger())
		defer f.Close()
		time.Sleep(1700 * time.Millisecond)
		base := s.head
		s.change(citronrock.Changes{Removed: []citronrock.Removal{{ID: "a"}}})
		p.deliver(netip.AddrPort{}, fanout.Update{Base: base, Revision: s.head, Version: 1, Events: []fanout.Event{{ID: "a", Revision: s.head, Deleted: true}}})
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if n := usable(table); n != 0 {
			t.Fatalf("%d servers after the removal was received", n)
		}
		last := p.sent[len(p.sent)-1]
		if last.Base > base {
			return // a daemon at base sees the gap and reads the store
		}
		for _, e := range last.Events {
			if e.ID == "a" && e.Deleted {
				return
			}
		}
		t.Errorf("update %+v covers the removal but does not have it", last)
	})
}

// Guards against a daemon that goes on without reads of the store when the readers
// fall silent.
func TestSilentReadersMakeAllRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{doc: document(1)}
		s.change(citronrock.Changes{Servers: []pool.Server{server()}})
		p := &peers{}
		table := pool.New()
		f := follow.Start(s, table, p, hclog.NewNullLogger())
		defer f.Close()
		time.Sleep(100 * time.Millisecond)
		s.change(citronrock.Changes{Removed: []citronrock.Removal{{ID: "a"}}})
		s.change(citronrock.Changes{Document: document(2)})
		time.Sleep(1500 * time.Millisecond)
		synctest.Wait()
		if n := usable(table); n != 0 || f.Document().Version != 2 {
			t.Errorf("%d servers and version %d, want the removal and version 2 within 1.5 s", n, f.Document().Version)
		}
	})
}

// Guards against replacing the configuration by an older one.
func TestVersionNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{doc: document(5)}
		p := &peers{reader: true}
		f := follow.Start(s, pool.New(), p, hclog.NewNullLogger())
		defer f.Close()
		time.Sleep(100 * time.Millisecond)
		s.change(citronrock.Changes{Document: document(4)})
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if v := f.Document().Version; v != 5 {
			t.Errorf("version %d in force after 5", v)
		}
	})
}

// Guards against a new daemon that rejects all requests while the store is down,
// though other daemons have the configuration.
func TestFreshDaemonFetchesState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{down: true}
		p := &peers{snapshot: &citronrock.Snapshot{Document: document(3), Servers: []pool.Server{server()}, Revision: pool.Revision{Number: 7}}}
		table := pool.New()
		f := follow.Start(s, table, p, hclog.NewNullLogger())
		defer f.Close()
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		if d := f.Document(); d == nil || d.Version != 3 || usable(table) != 1 {
			t.Errorf("document %v, %d servers; want the snapshot of the other daemon", d, usable(table))
		}
	})
}

// Guards against a large fleet whose daemons all do a full read of the store when
// they start together, and against serving the outdated snapshot of another daemon.
func TestLargeFleetLoadsFromPeers(t *testing.T) {
	known := &citronrock.Snapshot{Document: document(3), Servers: []pool.Server{server()}, Revision: pool.Revision{Number: 1}}
	cases := map[string]struct {
		others          int
		state           *citronrock.Snapshot
		down, forgotten bool
		// loads is whether full reads of the store are expected within six seconds.
		loads   bool
		version uint64
	}{
		"small fleet":                  {5, known, false, false, true, 4},
		"large fleet":                  {300, known, false, false, false, 4},
		"no daemon knows anything":     {300, nil, false, false, true, 4},
		"history of the store is lost": {300, known, false, true, true, 4},
		"store away":                   {300, known, true, false, false, 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &store{doc: document(4), down: c.down, compacted: c.forgotten}
				s.change(citronrock.Changes{Servers: []pool.Server{server()}})
				s.change(citronrock.Changes{Document: document(4)})
				p := &peers{snapshot: c.state, count: c.others}
				table := pool.New()
				f := follow.Start(s, table, p, hclog.NewNullLogger())
				defer f.Close()
				time.Sleep(6 * time.Second)
				synctest.Wait()
				if d := f.Document(); d == nil || d.Version != c.version || usable(table) != 1 {
					t.Errorf("document %v, %d servers, want version %d", d, usable(table), c.version)
				}
				if s.loads > 0 != c.loads {
					t.Errorf("%d full reads of the store, want any: %v", s.loads, c.loads)
				}
			})
		})
	}
}

// Guards against dropping servers whose entries expired during a store outage, and
// against keeping servers that did not renew them after its end.
func TestExpiredEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{doc: document(1)}
		s.change(citronrock.Changes{Servers: []pool.Server{server()}})
		p := &peers{reader: true}
		table := pool.New()
		f := follow.Start(s, table, p, hclog.NewNullLogger())
		defer f.Close()
		time.Sleep(100 * time.Millisecond)
		s.mu.Lock()
		s.down = true
		s.mu.Unlock()
		time.Sleep(4 * time.Second)
		s.mu.Lock()
		s.down = false
		s.mu.Unlock()
		s.change(citronrock.Changes{Removed: []citronrock.Removal{{ID: "a"}}})
		time.Sleep(1200 * time.Millisecond)
		if usable(table) != 1 {
			t.Error("server with an expired entry is not used 1.2 s after the store's return")
		}
		time.Sleep(2 * time.Second)
		if usable(table) != 0 {
			t.Error("server that did not renew its entry is used 3.2 s after the store's return")
		}
	})
}

// Guards against updates whose rate grows with renewals of entries and with the
// size of the fleet: at 300 daemons and 3,000 servers they took 64% of each
// processor.
func TestUpdatesArePaced(t *testing.T) {
	cases := map[string]struct {
		gap time.Duration
		// renews is set when entries are only renewed. Otherwise each one changes.
		renews bool
		most   int
	}{
		"renewed entries":          {0, true, 11},
		"changes in a small one":   {5 * time.Millisecond, false, 260},
		"changes in a large fleet": {300 * time.Millisecond, false, 18},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &store{doc: document(1)}
				s.change(citronrock.Changes{Servers: []pool.Server{server()}})
				p := &peers{reader: true, gap: c.gap}
				f := follow.Start(s, pool.New(), p, hclog.NewNullLogger())
				defer f.Close()
				for i := range 500 {
					time.Sleep(10 * time.Millisecond)
					e := server()
					if e.Sequence = uint64(i + 2); !c.renews {
						e.Draining = i%2 == 0
					}
					s.change(citronrock.Changes{Servers: []pool.Server{e}})
				}
				synctest.Wait()
				if n := len(p.sent); n > c.most || n == 0 {
					t.Errorf("%d updates in five seconds, want at most %d", n, c.most)
				}
			})
		})
	}
}

// Guards against a configuration that ends the process, or all further reads of the
// store, by a panic while it is applied.
func TestPanicEndsOneRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{doc: document(1)}
		f := follow.Start(s, pool.New(), &peers{reader: true}, hclog.NewNullLogger(), follow.WithOnDocument(func(d *config.Document) {
			if d.Version == 2 {
				panic("configuration")
			}
		}))
		defer f.Close()
		time.Sleep(100 * time.Millisecond)
		s.change(citronrock.Changes{Document: document(2)})
		time.Sleep(2 * time.Second)
		s.change(citronrock.Changes{Document: document(3)})
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if v := f.Document().Version; v != 3 {
			t.Errorf("version %d in force, want 3", v)
		}
	})
}
