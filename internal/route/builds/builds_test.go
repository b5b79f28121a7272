package builds_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/route/builds"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/hashicorp/go-hclog"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const heartbeat = 1200 * time.Millisecond

// store is a store with the entries of servers and a limited history.
type store struct {
	citronrock.Store
	head, oldest uint64
	servers      []pool.Server
	removed      []citronrock.Removal
	down         bool
	// page is the most changes in a response, 0 for all.
	page         int
	delay, reads atomic.Int64
}

func (s *store) put(id, version string, sequence uint64) pool.Server {
	s.head++
	e := pool.Server{ID: id, Service: "llm", Version: version, Sequence: sequence, StartedAt: time.UnixMilli(1),
		Addr: netip.MustParseAddrPort("10.0.0.1:80"), Revision: pool.Revision{Number: s.head}}
	s.servers = append(s.servers, e)
	return e
}

func (s *store) remove(id string) {
	s.head++
	s.removed = append(s.removed, citronrock.Removal{ID: id, Revision: pool.Revision{Number: s.head}})
}

func (s *store) Watch(_ context.Context, after pool.Revision, _ time.Duration) (*citronrock.Changes, error) {
	s.reads.Add(1)
	time.Sleep(time.Duration(s.delay.Load()))
	if s.down {
		return nil, errors.New("store is down")
	}
	if after.Number < s.oldest {
		return nil, citronrock.ErrCompacted
	}
	out := &citronrock.Changes{Revision: pool.Revision{Number: s.head}}
	for _, e := range s.servers {
		if after.Before(e.Revision) {
			out.Servers = append(out.Servers, e)
		}
	}
	for _, r := range s.removed {
		if after.Before(r.Revision) {
			out.Removed = append(out.Removed, r)
		}
	}
	if s.page > 0 && len(out.Servers) > s.page {
		out.Servers = out.Servers[:s.page]
		out.Revision = out.Servers[s.page-1].Revision
	}
	return out, nil
}

// state is what a daemon knows at a revision.
type state struct{ revision pool.Revision }

func (s *state) Document() *config.Document          { return nil }
func (s *state) Age() (time.Duration, pool.Revision) { return 0, s.revision }

// beats writes n entries of each engine of versions to a store.
func (s *store) beats(n int, first uint64, versions ...string) {
	for i := range n {
		for j, v := range versions {
			s.put(fmt.Sprint("e", j, v), v, first+uint64(i))
		}
	}
}

// Guards against a stream that is taken up at a version which can't be known to have begun
// it, and against one that is refused although only one version can have.
func TestVersions(t *testing.T) {
	cases := map[string]struct {
		// write fills the store before the daemon starts, later after that.
		write, later func(*store)
		// up is how long the daemon has seen all changes.
		up       time.Duration
		versions []string
		complete bool
		reads    int
	}{
		"up for long, one version": {write: func(s *store) { s.beats(20, 1, "v1", "v1") }, up: time.Minute,
			versions: []string{"v1"}, complete: true, reads: 1},
		"another version that is not known here yet": {write: func(s *store) { s.beats(20, 1, "v1", "v1") }, up: time.Minute,
			later: func(s *store) { s.beats(1, 1, "v2") }, versions: []string{"v1", "v2"}, complete: true, reads: 2},
		"another version in the last of three responses": {write: func(s *store) { s.beats(20, 1, "v1", "v1") }, up: time.Minute,
			later: func(s *store) { s.beats(2, 21, "v1", "v1"); s.beats(1, 1, "v2"); s.page = 2 }, versions: []string{"v1", "v2"}, complete: true, reads: 3},
		"one change in each response": {write: func(s *store) { s.beats(20, 1, "v1", "v1") }, up: time.Minute,
			later: func(s *store) { s.beats(1, 21, "v1", "v1"); s.beats(1, 1, "v2"); s.page = 1 }, versions: []string{"v1", "v2"}, complete: true, reads: 4},
		"more responses than can be read": {write: func(s *store) { s.beats(20, 1, "v1", "v1") }, up: time.Minute,
			later: func(s *store) { s.beats(8, 21, "v1"); s.beats(1, 1, "v2"); s.page = 1 }, versions: []string{"v1"}, reads: 8},
		"store is down": {write: func(s *store) { s.beats(20, 1, "v1", "v1") }, up: time.Minute,
			later: func(s *store) { s.down = true }, versions: []string{"v1"}, reads: 1},
		"just started, all of the history": {write: func(s *store) { s.beats(2, 1, "v1", "v1") },
			versions: []string{"v1"}, complete: true, reads: 2},
		"just started, the old version has just left": {write: func(s *store) {
			s.beats(5, 1, "v1", "v2")
			s.remove("e0v1")
			s.beats(10, 6, "v2", "v2")
		}, versions: []string{"v1", "v2"}, complete: true, reads: 3},
		"just started, the history is long enough": {write: func(s *store) { s.beats(40, 1, "v1", "v1"); s.oldest = 40 },
			versions: []string{"v1"}, complete: true, reads: 2},
		"just started, the history is too short": {write: func(s *store) { s.beats(40, 1, "v1", "v1"); s.oldest = 70 },
			versions: []string{"v1"}, reads: 7},
		"just started, an entry was removed that the history lacks": {write: func(s *store) {
			s.beats(30, 1, "v1", "v1")
			s.remove("e9")
			s.beats(8, 31, "v1", "v1")
			s.oldest = 20
		}, versions: []string{"v1"}, reads: 6},
		"just started, the history has a gap": {write: func(s *store) {
			s.beats(30, 1, "v1", "v1")
			s.beats(8, 40, "v1", "v1")
			s.oldest = 20
		}, versions: []string{"v1"}, reads: 6},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, table := new(store), pool.New()
				s.delay.Store(int64(4 * time.Millisecond))
				c.write(s)
				listed := map[string]pool.Server{}
				for _, e := range s.servers {
					if !slices.ContainsFunc(s.removed, func(r citronrock.Removal) bool { return r.ID == e.ID }) {
						listed[e.ID] = e
					}
				}
				var all []pool.Server
				for _, e := range listed {
					all = append(all, e)
				}
				known := &state{pool.Revision{Number: s.head}}
				table.Reset(time.Now(), all, known.revision, false)
				f := builds.Start(s, table, known, hclog.NewNullLogger(), builds.WithHeartbeat(heartbeat))
				defer f.Close()
				time.Sleep(c.up)
				if c.later != nil {
					c.later(s)
				}
				list := f.Versions(t.Context(), "llm")
				versions, complete := list.Versions, list.Complete && list.Confirmed
				if !slices.Equal(versions, c.versions) || complete != c.complete || int(s.reads.Load()) != c.reads {
					t.Errorf("versions %v, complete %v after %d reads; want %v, %v, %d", versions, complete, s.reads.Load(), c.versions, c.complete, c.reads)
				}
			})
		})
	}
}

// Guards against a version that is forgotten while a stream which it began still goes on,
// and against one that is kept for good.
func TestVersionThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, table := &store{}, pool.New()
		old, other := s.put("old", "v1", 1), s.put("new", "v2", 1)
		table.Reset(time.Now(), []pool.Server{old, other}, pool.Revision{Number: s.head}, false)
		f := builds.Start(s, table, &state{pool.Revision{Number: s.head}}, hclog.NewNullLogger())
		defer f.Close()
		time.Sleep(time.Minute)
		table.Remove(time.Now(), "old", pool.Revision{Number: s.head + 1}, false)
		time.Sleep(14 * time.Second)
		if l := f.Versions(t.Context(), "llm"); len(l.Versions) != 2 || !l.Complete || !l.Confirmed {
			t.Errorf("%+v after 14 s; want two versions, complete", l)
		}
		time.Sleep(4 * time.Second)
		if l := f.Versions(t.Context(), "llm"); !slices.Equal(l.Versions, []string{"v2"}) || !l.Complete || !l.Confirmed {
			t.Errorf("%+v after 18 s; want v2, complete", l)
		}
	})
}

// Guards against reads of the store that grow with the number of streams that clients take
// up, and against a question that waits for a store which does not answer.
func TestReadsAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, table := new(store), pool.New()
		s.delay.Store(int64(4 * time.Millisecond))
		table.Reset(time.Now(), []pool.Server{s.put("a", "v1", 1)}, pool.Revision{Number: 1}, false)
		f := builds.Start(s, table, &state{pool.Revision{Number: 1}}, hclog.NewNullLogger())
		defer f.Close()
		for range 10_000 {
			go f.Versions(t.Context(), "llm")
		}
		time.Sleep(time.Second)
		if n := s.reads.Load(); n > 20 {
			t.Errorf("%d reads in a second, want 20 at most", n)
		}
		s.delay.Store(int64(time.Hour))
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		defer cancel()
		if l := f.Versions(ctx, "llm"); l.Confirmed || len(l.Versions) != 1 {
			t.Errorf("%+v of a store that does not answer", l)
		}
		time.Sleep(2 * time.Hour)
	})
}
