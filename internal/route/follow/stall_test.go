package follow_test

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/route/fanout"
	"citronrock.example/citronrock/internal/route/follow"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/hashicorp/go-hclog"
)

// Guards against a reader that is not replaced although the store never answers it: the
// error of a call that was cancelled for that was taken for the end of the follower.
func TestStalledCallsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{doc: document(1)}
		p := &peers{reader: true}
		stalled := new(stalledStore)
		stalled.store = s
		f := follow.Start(stalled, pool.New(), p, hclog.NewNullLogger())
		defer f.Close()
		time.Sleep(time.Second)
		stalled.stalls.Store(true)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if !p.failing.Load() {
			t.Error("the reader has not said that it can't read the store")
		}
		stalled.stalls.Store(false)
		time.Sleep(4 * time.Second)
		synctest.Wait()
		if p.failing.Load() {
			t.Error("the reader has not said that it can read the store again")
		}
	})
}

// stalledStore is a store whose calls are cancelled after a second without a response.
type stalledStore struct {
	*store
	stalls atomic.Bool
}

func (s *stalledStore) Watch(ctx context.Context, after pool.Revision, d time.Duration) (*citronrock.Changes, error) {
	if s.stalls.Load() {
		time.Sleep(time.Second)
		return nil, context.Canceled
	}
	return s.store.Watch(ctx, after, d)
}

// Guards against a snapshot that says it is newer than its configuration: a daemon that
// starts with it would never read the version that is being fetched.
func TestSnapshotIsAsOldAsItsConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{doc: document(1)}
		s.change(citronrock.Changes{Servers: []pool.Server{server()}})
		p := &peers{count: 300}
		f := follow.Start(s, pool.New(), p, hclog.NewNullLogger())
		defer f.Close()
		time.Sleep(6 * time.Second)
		synctest.Wait()
		before := f.Snapshot().Revision
		p.deliver(netip.AddrPort{}, fanout.Update{Base: before.Number, Revision: before.Number + 5, Version: 2})
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		if s := f.Snapshot(); s.Document.Version != 1 || s.Revision != before {
			t.Errorf("version %d at revision %s, want version 1 at %s", s.Document.Version, s.Revision, before)
		}
	})
}
