package probe_test

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/front/proxy"
	"citronrock.example/citronrock/internal/route/pool"
	"citronrock.example/citronrock/internal/route/probe"
	"github.com/hashicorp/go-hclog"
)

var errRefused = errors.New("connection refused")

// Guards against a crashed server that gets requests until its entry expires,
// against one that stays unhealthy after it is back, and against requests to
// another server at its address.
func TestSuspect(t *testing.T) {
	cases := map[string]struct {
		refused  int32
		replaced bool
		down     bool
		usable   bool
	}{
		"sound":         {0, false, false, true},
		"back in time":  {4, false, false, true},
		"still away":    {1000, false, true, true},
		"another there": {4, true, false, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := pool.Server{ID: "x", Service: "s", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Sequence: 1}
				table := pool.New()
				table.Put(s)
				var dials atomic.Int32
				dial := func(context.Context, netip.AddrPort) error {
					if dials.Add(1) <= c.refused {
						return errRefused
					}
					return nil
				}
				isSame := func(context.Context, pool.Server) (bool, error) { return !c.replaced, nil }
				p := probe.New(table, isSame, hclog.NewNullLogger(), probe.WithDial(dial))
				defer p.Close()
				p.Check(s)
				p.Check(s)
				synctest.Wait()
				if got := table.IsUnhealthy(time.Now(), "x"); got != (c.refused > 0) {
					t.Errorf("unhealthy at once: %v", got)
				}
				time.Sleep(3 * time.Second)
				synctest.Wait()
				_, usable := table.Get(time.Now(), "x")
				if got := table.IsUnhealthy(time.Now(), "x"); got != c.down || usable != c.usable {
					t.Errorf("unhealthy after 3 s: %v, usable: %v; want %v, %v", got, usable, c.down, c.usable)
				}
			})
		})
	}
}

// Guards against a server that crashes while a check for an earlier failure is
// running. It was not checked again, and its crash not counted.
func TestSuspectWhileChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := pool.Server{ID: "x", Service: "s", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Sequence: 1}
		table := pool.New()
		table.Put(s)
		var dials, down atomic.Int32
		dial := func(context.Context, netip.AddrPort) error {
			if dials.Add(1) == 1 {
				time.Sleep(100 * time.Millisecond)
				return nil
			}
			return errRefused
		}
		isSame := func(context.Context, pool.Server) (bool, error) { return true, nil }
		p := probe.New(table, isSame, hclog.NewNullLogger(), probe.WithDial(dial), probe.WithDown(func(pool.Server) { down.Add(1) }))
		defer p.Close()
		p.Check(s)
		time.Sleep(50 * time.Millisecond)
		p.Check(s)
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		if !table.IsUnhealthy(time.Now(), "x") || down.Load() != 1 {
			t.Errorf("unhealthy: %v, found down %d times, want once", table.IsUnhealthy(time.Now(), "x"), down.Load())
		}
	})
}

// Guards against a server that is excluded for half a minute because its limit left no
// room for the check of its identity.
func TestVerifyLimitedServer(t *testing.T) {
	cases := map[string]struct {
		err    error
		usable bool
	}{
		"no room":   {&proxy.SendError{Fault: event.FaultUnsent, Limited: true, Err: errRefused}, true},
		"no answer": {errRefused, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := pool.Server{ID: "x", Service: "s", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Sequence: 1}
				table := pool.New()
				table.Put(s)
				p := probe.New(table, func(context.Context, pool.Server) (bool, error) { return false, c.err }, hclog.NewNullLogger())
				defer p.Close()
				p.VerifyIdentity(s)
				synctest.Wait()
				if _, usable := table.Get(time.Now(), "x"); usable != c.usable {
					t.Errorf("usable: %v, want %v", usable, c.usable)
				}
			})
		})
	}
}
