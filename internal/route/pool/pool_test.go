package pool_test

import (
	"net/netip"
	"sync"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/route/pool"
)

var t0 = time.Unix(1_700_000_000, 0)

func server(id string, sequence, revision uint64) pool.Server {
	return pool.Server{ID: id, Service: "s", Domain: "a", Addr: netip.MustParseAddrPort("10.0.0.1:80"),
		StartedAt: time.UnixMilli(1000), Sequence: sequence, Revision: pool.Revision{Number: revision}}
}

func drain(s pool.Server) pool.Server {
	s.Draining = true
	return s
}

func restarted(s pool.Server) pool.Server {
	s.StartedAt = s.StartedAt.Add(time.Minute)
	return s
}

// Guards against new requests for servers that drain or were replaced, and against
// live servers that drop out of the table.
func TestEntries(t *testing.T) {
	cases := map[string]struct {
		play func(*pool.Table)
		want bool
	}{
		"ready":   {func(t *pool.Table) { t.Put(server("x", 1, 1)) }, true},
		"leaving": {func(t *pool.Table) { t.Put(server("x", 1, 1)); t.Put(drain(server("x", 2, 2))) }, false},
		"late entry after leaving": {func(t *pool.Table) {
			t.Put(drain(server("x", 5, 2)))
			t.Put(server("x", 4, 3))
		}, false},
		"late entry after removal": {func(t *pool.Table) {
			t.Put(server("x", 5, 2))
			t.Remove(t0, "x", pool.Revision{Number: 3}, false)
			t.Put(server("x", 5, 4))
		}, false},
		"new entry after removal": {func(t *pool.Table) {
			t.Put(server("x", 5, 2))
			t.Remove(t0, "x", pool.Revision{Number: 3}, false)
			t.Put(server("x", 9, 4))
		}, true},
		"new process under the same name": {func(t *pool.Table) {
			t.Put(drain(server("x", 5, 2)))
			t.Put(restarted(server("x", 1, 3)))
		}, true},
		"entry of an earlier process": {func(t *pool.Table) {
			t.Put(restarted(drain(server("x", 1, 2))))
			t.Put(server("x", 9, 3))
		}, false},
		"removed":                  {func(t *pool.Table) { t.Put(server("x", 1, 1)); t.Remove(t0, "x", pool.Revision{Number: 2}, false) }, false},
		"removal that is outdated": {func(t *pool.Table) { t.Put(server("x", 1, 5)); t.Remove(t0, "x", pool.Revision{Number: 4}, false) }, true},
		"lapsed":                   {func(t *pool.Table) { t.Put(server("x", 1, 1)); t.Remove(t0, "x", pool.Revision{Number: 2}, true) }, true},
		"lapsed while leaving": {func(t *pool.Table) {
			t.Put(drain(server("x", 1, 1)))
			t.Remove(t0, "x", pool.Revision{Number: 2}, true)
		}, false},
		"other server at the address": {func(t *pool.Table) { t.Put(server("x", 1, 1)); t.MarkMisdirected(t0, server("x", 1, 1)) }, false},
		"new process after another server at the address": {func(t *pool.Table) {
			t.Put(server("x", 1, 1))
			t.MarkMisdirected(t0, server("x", 1, 1))
			t.Put(restarted(server("x", 1, 2)))
		}, true},
		"missing in a full read": {func(t *pool.Table) {
			t.Put(server("x", 1, 1))
			t.Reset(t0, nil, pool.Revision{Number: 9}, t.DuringOutage(t0))
		}, false},
		"newer than the full read": {func(t *pool.Table) {
			t.Put(server("x", 1, 10))
			t.Reset(t0, nil, pool.Revision{Number: 9}, t.DuringOutage(t0))
		}, true},
		"missing after an outage": {func(t *pool.Table) {
			t.Put(server("x", 1, 1))
			t.SetOutage(t0, true)
			t.SetOutage(t0, false)
			t.Reset(t0, nil, pool.Revision{Number: 9}, t.DuringOutage(t0))
		}, true},
		"down, no other can be had": {func(t *pool.Table) { t.Put(server("x", 1, 1)); t.SetDown(server("x", 1, 1), true) }, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := pool.New()
			c.play(table)
			_, ok := table.Get(t0, "x")
			if listed := len(table.Usable(t0, "s")) == 1; ok != c.want || listed != c.want {
				t.Errorf("usable: %v, listed: %v; want %v", ok, listed, c.want)
			}
		})
	}
}

// Guards against a server that stays in use for good after its entry expired in a
// store outage.
func TestExpiredServerEnds(t *testing.T) {
	table := pool.New()
	table.Put(server("x", 1, 1))
	table.Remove(t0, "x", pool.Revision{Number: 2}, true)
	if _, ok := table.Get(t0.Add(2*time.Second), "x"); ok {
		t.Error("server is used two seconds after its entry expired")
	}
}

// Guards against requests to a failing, slow or distant server while a better one
// is available.
func TestChoose(t *testing.T) {
	near, far := server("near", 1, 1), server("far", 1, 1)
	far.Domain = "b"
	play := func(table *pool.Table, id string, o pool.Outcome, took time.Duration, n int) {
		for range n {
			table.Begin(id)(t0, o, took)
		}
	}
	cases := map[string]struct {
		play func(*pool.Table)
		want string
	}{
		"same failure domain": {func(*pool.Table) {}, "near"},
		"failing": {func(t *pool.Table) {
			play(t, "near", pool.Failed, time.Millisecond, 20)
			play(t, "far", pool.OK, 15*time.Millisecond, 20)
		}, "far"},
		"all fail alike": {func(t *pool.Table) {
			play(t, "near", pool.Failed, time.Millisecond, 20)
			play(t, "far", pool.Failed, time.Millisecond, 20)
		}, "near"},
		"slow": {func(t *pool.Table) {
			play(t, "near", pool.OK, 80*time.Millisecond, 30)
			play(t, "far", pool.OK, 15*time.Millisecond, 30)
		}, "far"},
		"down":   {func(t *pool.Table) { t.SetDown(near, true) }, "far"},
		"silent": {func(t *pool.Table) { play(t, "near", pool.TimedOut, 0, 2) }, "far"},
		"busy with other requests": {func(t *pool.Table) {
			for range 8 {
				t.Begin("near")
			}
		}, "far"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := pool.New()
			table.Put(near)
			table.Put(far)
			c.play(table)
			if got, _ := table.Choose(t0, "s", "a", nil); got.ID != c.want {
				t.Errorf("Choose = %s, want %s", got.ID, c.want)
			}
		})
	}
}

// Guards against a data race: the suspect function must get a copy of the server
// while its entry is being replaced. The race detector reports it.
func TestSuspicionDuringChange(t *testing.T) {
	table := pool.New(pool.WithSuspect(func(s pool.Server) {
		if s.ID != "x" {
			t.Errorf("suspect function called for %q", s.ID)
		}
	}))
	table.Put(server("x", 1, 1))
	var both sync.WaitGroup
	both.Go(func() {
		for i := range 500 {
			table.Put(server("x", uint64(i+2), uint64(i+2)))
		}
	})
	both.Go(func() {
		for range 500 {
			table.Begin("x")(time.Now(), pool.Broken, time.Millisecond)
		}
	})
	both.Wait()
}

// Guards against servers that count as gone because their entry was removed, and against
// dead ones that count as silent.
func TestLost(t *testing.T) {
	x := server("x", 1, 1)
	cases := map[string]struct {
		play        func(*pool.Table)
		lost, known bool
	}{
		"up":                   {func(*pool.Table) {}, false, true},
		"silent":               {func(p *pool.Table) { p.RecordSilence(t0, x, pool.TimedOut); p.RecordSilence(t0, x, pool.TimedOut) }, false, true},
		"draining":             {func(p *pool.Table) { p.Put(drain(server("x", 2, 2))) }, false, true},
		"entry removed":        {func(p *pool.Table) { p.Remove(t0, "x", pool.Revision{Number: 2}, false) }, false, false},
		"down":                 {func(p *pool.Table) { p.SetDown(x, true) }, true, true},
		"down, then reached":   {func(p *pool.Table) { p.SetDown(x, true); p.SetDown(x, false) }, false, true},
		"started again":        {func(p *pool.Table) { p.Put(restarted(server("x", 1, 2))) }, true, true},
		"another at its place": {func(p *pool.Table) { p.MarkMisdirected(t0, x) }, true, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := pool.New()
			p.Put(x)
			c.play(p)
			if lost, known := p.Lost(x); lost != c.lost || known != c.known {
				t.Errorf("lost %v, known %v; want %v, %v", lost, known, c.lost, c.known)
			}
		})
	}
}

// Guards against a server that is chosen although its version is another one or not known.
func TestChooseVersion(t *testing.T) {
	table := pool.New()
	for id, version := range map[string]string{"a1": "v1", "a2": "v2", "a3": "", "a4": "v2", "p1": "v3"} {
		s := pool.Server{ID: id, Service: "s", Version: version, Sequence: 1}
		if id == "p1" {
			s.Stage = pool.Prefill
		}
		table.Put(s)
	}
	cases := map[string]struct {
		version  string
		excluded []string
		want     string
		has      bool
	}{
		"one server":         {"v1", nil, "a1", true},
		"one is excluded":    {"v2", []string{"a2"}, "a4", true},
		"all are excluded":   {"v2", []string{"a2", "a4"}, "", false},
		"none has it":        {"v9", nil, "", false},
		"it is not known":    {"", nil, "", false},
		"prefill engine has": {"v3", nil, "", true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, _ := table.ChooseVersion(t0, "s", "a", c.version, c.excluded)
			if has := table.HasVersion(t0, "s", c.version, c.excluded); got.ID != c.want || has != c.has {
				t.Errorf("chose %q, has the version: %v; want %q, %v", got.ID, has, c.want, c.has)
			}
		})
	}
}
