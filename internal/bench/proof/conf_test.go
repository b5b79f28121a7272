package proof

import (
	"context"
	"sync"
	"testing"
	"time"
)

// inForce tells whether all named daemons use the version.
func (r *rig) inForce(version uint64, names []string) bool {
	for _, n := range names {
		if s, err := r.f.Status(r.ctx, n); err != nil || s.Version != version {
			return false
		}
	}
	return true
}

// publish publishes the document with another limit as the given version.
func (r *rig) publish(version uint64) {
	r.t.Helper()
	d := r.f.Document()
	d.Version = version
	d.Tenants = append(d.Tenants[:0:0], d.Tenants...)
	d.Tenants[0].Rate = 1000 + float64(version)
	r.must(r.f.Publish(r.ctx, d))
}

// watchVersions reports each daemon whose version goes back. The function that
// it returns ends the watch.
func (r *rig) watchVersions() func() {
	ctx, stop := context.WithCancel(r.ctx)
	var group sync.WaitGroup
	group.Go(func() {
		last := map[string]uint64{}
		for ctx.Err() == nil {
			for _, d := range r.f.Daemons() {
				s, err := r.f.Status(ctx, d.Name)
				if err != nil {
					continue
				}
				if s.Version < last[d.Name] {
					r.t.Errorf("%s went back from version %d to %d", d.Name, last[d.Name], s.Version)
				}
				last[d.Name] = s.Version
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	end := func() {
		stop()
		group.Wait()
	}
	r.t.Cleanup(end)
	return end
}

// Guards against a document that takes longer than the stated time to be in
// force, also when a watcher has died, and against an invalid one that is used.
func TestDocumentChange(t *testing.T) {
	r := newRig(t, 7)
	end := r.watchVersions()
	names := r.others()
	r.publish(2)
	took := r.within(spreading, "version 2", func() bool { return r.inForce(2, names) })
	// Of the two daemons in a failure domain each holds a watch.
	r.must(r.f.Kill("d2"))
	names = r.others("d2")
	r.publish(3)
	lost := r.within(spreading, "version 3 without a watcher", func() bool { return r.inForce(3, names) })
	before := r.f.Document()
	r.must(r.f.PublishRaw(r.ctx, 4, []byte("version = 4\nnonsense = 1\n")))
	r.within(spreading, "a report of the invalid document", func() bool {
		n := 0
		for _, d := range names {
			if r.status(d).Problem != "" {
				n++
			}
		}
		return n > 0
	})
	time.Sleep(2 * time.Second)
	if !r.inForce(3, names) {
		t.Error("an invalid document replaced version 3")
	}
	r.load(15, 20, 2*time.Second, 0, names).whole()
	before.Version = 5
	r.must(r.f.Publish(r.ctx, before))
	after := r.within(spreading, "version 5 after the invalid one", func() bool { return r.inForce(5, names) })
	end()
	t.Logf("in force on all: %s; with a dead watcher %s; after an invalid document %s",
		took.Round(time.Millisecond), lost.Round(time.Millisecond), after.Round(time.Millisecond))
}

// Guards against daemons that go back to an older document when the platform is
// down or stale, and against fresh daemons that need the platform to be current.
func TestPlatformStaleAndDown(t *testing.T) {
	r := newRig(t, 3)
	end := r.watchVersions()
	names := r.others()
	old := r.f.Document()
	r.publish(2)
	r.within(spreading, "version 2", func() bool { return r.inForce(2, names) })
	r.must(r.f.Announce(r.ctx, "d4", "gent"))
	r.must(r.f.Announce(r.ctx, "d5", "mechelen"))
	r.within(10*time.Second, "the list with all daemons", func() bool {
		for _, n := range names {
			if r.status(n).Revision < 3 {
				return false
			}
		}
		return true
	})
	// The platform shows the older document again, and nothing newer.
	r.must(r.f.Publish(r.ctx, old))
	r.must(r.f.Fault(r.ctx, "platform", `{"stale":true}`))
	bg := r.load(14, 10, 8*time.Second, 0, names)
	r.must(r.f.Launch(r.ctx, "d4"))
	r.within(spreading, "version 2 at a daemon started beside a stale platform", func() bool { return r.inForce(2, []string{"d4"}) })
	r.must(r.f.Fault(r.ctx, "platform", `{"down":true}`))
	r.must(r.f.Launch(r.ctx, "d5"))
	r.within(spreading, "version 2 at a daemon started without the platform", func() bool { return r.inForce(2, []string{"d5"}) })
	bg.whole()
	if !r.inForce(2, r.others()) {
		t.Error("not all daemons use version 2")
	}
	end()
}
