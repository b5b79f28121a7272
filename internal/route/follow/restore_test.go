package follow_test

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/route/fanout"
	"citronrock.example/citronrock/internal/route/follow"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/hashicorp/go-hclog"
)

func named(id string, beat uint64) pool.Server {
	s := server()
	s.ID, s.Sequence = id, beat
	return s
}

// backupStore returns a store as of the backup from which it is restored later.
func backupStore() *store {
	s := new(store)
	s.change(citronrock.Changes{Document: document(1)})
	s.change(citronrock.Changes{Servers: []pool.Server{named("old", 3), named("stays", 3)}})
	return s
}

// changeAfterBackup makes the changes that the backup lacks: a server is removed,
// another one is added and the configuration changes.
func (s *store) changeAfterBackup() {
	s.change(citronrock.Changes{Removed: []citronrock.Removal{{ID: "old"}}})
	s.change(citronrock.Changes{Servers: []pool.Server{named("new", 1)}})
	s.change(citronrock.Changes{Document: document(2)})
}

// restore restores the store from a backup that lacks the newest n changes.
func (s *store) restore(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.history = slices.Clone(s.history[:len(s.history)-n])
	s.head, s.doc = uint64(len(s.history)), nil
	for i := range s.history {
		s.history[i].Revision.Era = s.era
		s.history[i].Servers = slices.Clone(s.history[i].Servers)
		for j := range s.history[i].Servers {
			s.history[i].Servers[j].Revision.Era = s.era
		}
		if d := s.history[i].Document; d != nil {
			s.doc = d
		}
	}
}

func ids(t *pool.Table) string {
	out := ""
	for _, s := range t.Usable(time.Now(), "s") {
		out += s.ID + " "
	}
	return out
}

// Guards against a daemon that, after a restore of the store from an older copy,
// misses changes since it waits for revisions that it has seen before, brings back
// a removed server, drops a live one or returns to an older configuration.
func TestRestoredStore(t *testing.T) {
	cases := map[string]struct {
		// between is the number of changes written before the daemon reads again.
		between int
		again   bool
		want    string
	}{
		"revisions below the last read": {0, true, "after new stays "},
		"revisions given out again":     {5, true, "after new stays "},
		"server is not back":            {0, false, "after stays "},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := backupStore()
				table := pool.New()
				p := &peers{reader: true}
				f := follow.Start(s, table, p, hclog.NewNullLogger())
				defer f.Close()
				time.Sleep(time.Second)
				s.changeAfterBackup()
				time.Sleep(time.Second)
				synctest.Wait()
				if got := ids(table); got != "new stays " {
					t.Fatalf("servers %q before the restore", got)
				}
				s.restore(3)
				for i := range c.between {
					s.change(citronrock.Changes{Servers: []pool.Server{named("stays", uint64(4+i))}})
				}
				s.change(citronrock.Changes{Servers: []pool.Server{named("after", 1)}})
				time.Sleep(600 * time.Millisecond)
				synctest.Wait()
				if got := ids(table); got != "after new stays " || f.Document().Version != 2 {
					t.Errorf("servers %q and version %d after the restore", got, f.Document().Version)
				}
				if c.again {
					s.change(citronrock.Changes{Servers: []pool.Server{named("new", 2)}})
				}
				time.Sleep(3 * time.Second)
				synctest.Wait()
				if got := ids(table); got != c.want {
					t.Errorf("servers %q three seconds after the restore, want %q", got, c.want)
				}
				s.change(citronrock.Changes{Document: document(3)})
				time.Sleep(time.Second)
				synctest.Wait()
				if v := f.Document().Version; v != 3 {
					t.Errorf("version %d in force, want 3", v)
				}
				if last := p.sent[len(p.sent)-1]; last.Era != 1 || last.Version != 3 {
					t.Errorf("broadcast %+v, want version 3 of era 1", last)
				}
			})
		})
	}
}

// Guards against comparing the revisions of updates of different eras.
func TestUpdatesOfOtherEras(t *testing.T) {
	gone := []fanout.Event{{ID: "stays", Revision: 40, Deleted: true}}
	cases := map[string]struct {
		update fanout.Update
		era    uint64
		want   string
	}{
		"earlier era is not used": {fanout.Update{Era: 0, Base: 0, Revision: 40, Version: 1, Events: gone}, 1, "after old stays "},
		"later era is read first": {fanout.Update{Era: 2, Base: 0, Revision: 40, Version: 1, Events: gone}, 2, "after old stays "},
		"same era is used":        {fanout.Update{Era: 1, Base: 0, Revision: 40, Version: 1, Events: gone}, 1, "after old "},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := backupStore()
				s.restore(0)
				s.change(citronrock.Changes{Servers: []pool.Server{named("after", 1)}})
				table := pool.New()
				p := &peers{}
				f := follow.Start(s, table, p, hclog.NewNullLogger())
				defer f.Close()
				time.Sleep(100 * time.Millisecond)
				synctest.Wait()
				if c.era == 2 {
					s.restore(0)
				}
				reads := s.reads
				p.deliver(netip.AddrPort{}, c.update)
				time.Sleep(100 * time.Millisecond)
				synctest.Wait()
				if got := ids(table); got != c.want {
					t.Errorf("servers %q, want %q", got, c.want)
				}
				if _, at := f.Age(); at.Era != c.era {
					t.Errorf("era %d, want %d", at.Era, c.era)
				}
				if c.era == 1 && s.reads != reads {
					t.Errorf("%d reads of the store, want none", s.reads-reads)
				}
			})
		})
	}
}

// Guards against entries that count as the newest because of updates that are older than them:
// their sender has not read the store since.
func TestOlderUpdateIsNoNews(t *testing.T) {
	for name, c := range map[string]struct {
		older   uint64
		current bool
	}{"the same revision": {0, true}, "an older one": {1, false}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := backupStore()
				p := &peers{}
				f := follow.Start(s, pool.New(), p, hclog.NewNullLogger())
				defer f.Close()
				time.Sleep(100 * time.Millisecond)
				synctest.Wait()
				before, at := f.Age()
				time.Sleep(time.Millisecond)
				p.deliver(netip.AddrPort{}, fanout.Update{Era: at.Era, Revision: at.Number - c.older, Version: 1})
				synctest.Wait()
				if after, _ := f.Age(); (after <= before) != c.current {
					t.Errorf("age %v after the update, %v before", after, before)
				}
			})
		})
	}
}

// Guards against a daemon that does not get a configuration which the others have
// in force, because the store lacks it until the operator writes it again, and
// against one that reads the store for it at each update.
func TestConfigurationThatTheStoreLacks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := backupStore()
		s.restore(0)
		p := &peers{snapshot: &citronrock.Snapshot{Document: document(2), Revision: pool.Revision{Era: 1, Number: s.head}}}
		f := follow.Start(s, pool.New(), p, hclog.NewNullLogger())
		defer f.Close()
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		if v := f.Document().Version; v != 1 {
			t.Fatalf("version %d in force, want that of the backup", v)
		}
		reads := s.reads
		for range 5 {
			p.deliver(netip.AddrPort{}, fanout.Update{Era: 1, Base: s.head, Revision: s.head, Version: 2})
			time.Sleep(100 * time.Millisecond)
		}
		synctest.Wait()
		if v := f.Document().Version; v != 2 || s.reads != reads {
			t.Errorf("version %d after %d reads, want 2 from another daemon", v, s.reads-reads)
		}
	})
}

// staleStore returns stale snapshots from before its restore.
type staleStore struct {
	*store
	stale *citronrock.Snapshot
}

func (s staleStore) Load(ctx context.Context, stale bool) (*citronrock.Snapshot, error) {
	if stale {
		return s.stale, nil
	}
	return s.store.Load(ctx, false)
}

// Guards against a daemon that takes a snapshot from before the store's restore,
// read from the store or another daemon, for one from after it; and against one in
// a large fleet that reads late and then starts the grace period of missing servers
// at its own read instead of the restore.
func TestStatesOfEarlierEras(t *testing.T) {
	for name, others := range map[string]int{"small fleet": 5, "large fleet": 300} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := backupStore()
				before, err := s.Load(t.Context(), false)
				if err != nil {
					t.Fatal(err)
				}
				// Each daemon of a large fleet reads at a random time.
				const daemons = 60
				tables, all, followers := make([]*pool.Table, daemons), make([]*peers, daemons), make([]*follow.Follower, daemons)
				for i := range daemons {
					tables[i], all[i] = pool.New(), &peers{count: others, snapshot: before}
					followers[i] = follow.Start(staleStore{s, before}, tables[i], all[i], hclog.NewNullLogger())
					defer followers[i].Close()
				}
				time.Sleep(time.Second)
				s.changeAfterBackup()
				time.Sleep(2 * time.Second)
				s.restore(3)
				s.change(citronrock.Changes{Servers: []pool.Server{named("after", 1)}})
				for _, p := range all {
					p.deliver(netip.AddrPort{}, fanout.Update{Era: 1, Base: s.head, Revision: s.head, Version: 2})
				}
				time.Sleep(6 * time.Second)
				synctest.Wait()
				for i, f := range followers {
					if _, at := f.Age(); at.Era != 1 || ids(tables[i]) != "after stays " {
						t.Errorf("daemon %d: era %d with servers %q, want the restored store's", i, at.Era, ids(tables[i]))
					}
				}
			})
		})
	}
}
