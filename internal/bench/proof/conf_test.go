package proof

import (
	"context"
	"sync"
	"testing"
	"time"
)

// allUse reports whether all named daemons use this version of the document.
func (r *rig) allUse(version uint64, names []string) bool {
	for _, n := range names {
		if s, err := r.f.Status(r.ctx, n); err != nil || s.Version != version {
			return false
		}
	}
	return true
}

// publish publishes the document with a changed rate limit as the given version.
func (r *rig) publish(version uint64) {
	r.t.Helper()
	d := r.f.Document()
	d.Version = version
	d.Tenants = append(d.Tenants[:0:0], d.Tenants...)
	d.Tenants[0].Rate = 1000 + float64(version)
	r.must(r.f.Publish(r.ctx, d))
}

// watchVersions fails the test for each daemon that goes back to an older version of
// the document. The returned function ends the watch.
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
					r.t.Errorf("%s reverted from version %d to %d", d.Name, last[d.Name], s.Version)
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

// Guards against a document that is not used by all daemons within publishTimeout,
// also after the death of a daemon that watched the platform, and against the use of
// an invalid document.
func TestDocumentChange(t *testing.T) {
	r := newRig(t, 7)
	end := r.watchVersions()
	names := r.daemonsExcept()
	r.publish(2)
	took := r.await(publishTimeout, "version 2", func() bool { return r.allUse(2, names) })
	// Both daemons of a failure domain watch the platform, so d2 is a watcher.
	r.must(r.f.Kill("d2"))
	names = r.daemonsExcept("d2")
	r.publish(3)
	lost := r.await(publishTimeout, "version 3 without a watcher", func() bool { return r.allUse(3, names) })
	before := r.f.Document()
	r.must(r.f.PublishRaw(r.ctx, 4, []byte("version = 4\nnonsense = 1\n")))
	r.await(publishTimeout, "a report of the invalid document", func() bool {
		n := 0
		for _, d := range names {
			if r.status(d).Problem != "" {
				n++
			}
		}
		return n > 0
	})
	time.Sleep(2 * time.Second)
	if !r.allUse(3, names) {
		t.Error("an invalid document replaced version 3")
	}
	r.startLoad(15, 20, 2*time.Second, 0, names).mustSucceed()
	before.Version = 5
	r.must(r.f.Publish(r.ctx, before))
	after := r.await(publishTimeout, "version 5 after the invalid one", func() bool { return r.allUse(5, names) })
	end()
	t.Logf("in force on all: %s; with a dead watcher %s; after an invalid document %s",
		took.Round(time.Millisecond), lost.Round(time.Millisecond), after.Round(time.Millisecond))
}

// Guards against daemons that revert to an older document when the platform is down
// or stale, and against new daemons that depend on the platform for the newest
// document instead of their peers.
func TestPlatformStaleAndDown(t *testing.T) {
	r := newRig(t, 3)
	end := r.watchVersions()
	names := r.daemonsExcept()
	old := r.f.Document()
	r.publish(2)
	r.await(publishTimeout, "version 2", func() bool { return r.allUse(2, names) })
	r.must(r.f.Announce(r.ctx, "d4", "gent"))
	r.must(r.f.Announce(r.ctx, "d5", "mechelen"))
	r.await(10*time.Second, "the list with all daemons", func() bool {
		for _, n := range names {
			if r.status(n).Revision < 3 {
				return false
			}
		}
		return true
	})
	// The platform serves the older document again, and nothing newer.
	r.must(r.f.Publish(r.ctx, old))
	r.must(r.f.Fault(r.ctx, "platform", `{"stale":true}`))
	bg := r.startLoad(14, 10, 8*time.Second, 0, names)
	r.must(r.f.Launch(r.ctx, "d4"))
	r.await(publishTimeout, "version 2 at a daemon started beside a stale platform", func() bool { return r.allUse(2, []string{"d4"}) })
	r.must(r.f.Fault(r.ctx, "platform", `{"down":true}`))
	r.must(r.f.Launch(r.ctx, "d5"))
	r.await(publishTimeout, "version 2 at a daemon started without the platform", func() bool { return r.allUse(2, []string{"d5"}) })
	bg.mustSucceed()
	if !r.allUse(2, r.daemonsExcept()) {
		t.Error("not all daemons use version 2")
	}
	end()
}
