package call_test

import (
	"testing"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/wire/platfm"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/types/known/durationpb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a second run of a non-idempotent call, and against giving up on a
// call that is safe to retry.
func TestCallFaults(t *testing.T) {
	cases := map[string]struct {
		service string
		faults  []event.Fault
		want    citronrock.Kind
		sent    int
	}{
		"answered":           {"bestelbalie", nil, 0, 1},
		"unsent, then ok":    {"bestelbalie", []event.Fault{event.FaultUnsent}, 0, 2},
		"refused, then ok":   {"bestelbalie", []event.Fault{event.FaultRefused}, 0, 2},
		"broken":             {"bestelbalie", []event.Fault{event.FaultBroken}, citronrock.Unknown, 1},
		"stalled":            {"bestelbalie", []event.Fault{event.FaultStalled}, citronrock.Unknown, 1},
		"stalled idempotent": {"stock", []event.Fault{event.FaultStalled}, 0, 2},
		"failed":             {"stock", []event.Fault{event.FaultFailed}, citronrock.Failed, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBackends()
			for _, s := range []string{"b1", "b2", "s1"} {
				b.faults[s] = c.faults
			}
			if len(c.faults) > 0 && c.want == 0 && c.service == "bestelbalie" {
				b.faults["b2"] = nil
				b.faults["b1"] = c.faults
			}
			d, _ := newDaemon(b)
			reply, err := d.Call(t.Context(), order(c.service, "o1"))
			checkKind(t, err, c.want)
			if c.want == 0 && string(reply.GetBody()) != "done o1" {
				t.Errorf("body %q, want %q", reply.GetBody(), "done o1")
			}
			if len(b.sent) > c.sent {
				t.Errorf("%d attempts, want at most %d", len(b.sent), c.sent)
			}
			for i, r := range b.sent {
				if fresh := c.service == "bestelbalie" || i > 0; r.NewConn != fresh || r.Attempt != uint32(i+1) {
					t.Errorf("attempt %d: fresh %v number %d", i+1, r.NewConn, r.Attempt)
				}
			}
		})
	}
}

// Guards against unbounded retries when a service is down: 60 calls may cause 60
// attempts, a budget of 10 retries and a share of 0.1 retries per call.
func TestCallRetryBudget(t *testing.T) {
	b := newBackends()
	for range 500 {
		b.faults["s1"] = append(b.faults["s1"], event.FaultUnsent)
	}
	d, _ := newDaemon(b)
	for range 60 {
		_, err := d.Call(t.Context(), order("stock", "o"))
		if _, after := checkKind(t, err, citronrock.NotRun); after <= 0 {
			t.Error("not run without a Retry-After delay")
		}
	}
	if n := len(b.sent); n > 60+10+6 {
		t.Errorf("%d attempts for 60 calls, want at most 76", n)
	}
}

// Guards against accepting invalid calls, and calls at a draining or stopped daemon.
func TestCallRefused(t *testing.T) {
	b := newBackends()
	d, ctl := newDaemon(b)
	late := order("bestelbalie", "o")
	late.Head.Deadline = durationpb.New(-time.Second)
	stranger := order("bestelbalie", "o")
	stranger.Head.Tenant = "nobody"
	path := order("bestelbalie", "o")
	path.Path = "book"
	cases := map[string]struct {
		run  func() error
		want citronrock.Reason
	}{
		"late":           {func() error { _, err := d.Call(t.Context(), late); return err }, citronrock.ReasonDeadline},
		"unknown tenant": {func() error { _, err := d.Call(t.Context(), stranger); return err }, citronrock.ReasonInvalid},
		"path":           {func() error { _, err := d.Call(t.Context(), path); return err }, citronrock.ReasonInvalid},
		"service":        {func() error { _, err := d.Call(t.Context(), order("none", "o")); return err }, citronrock.ReasonInvalid},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if reason, _ := checkKind(t, c.run(), citronrock.NotRun); reason != c.want {
				t.Errorf("reason %s, want %s", reason, c.want)
			}
		})
	}
	ctl.Do(func(time.Time) { d.Drain() })
	_, err := d.Call(t.Context(), order("stock", "o"))
	if reason, _ := checkKind(t, err, citronrock.NotRun); reason != citronrock.ReasonDrain {
		t.Errorf("reason %s, want drain", reason)
	}
	ctl.ended = true
	_, err = d.Call(t.Context(), order("stock", "o"))
	checkKind(t, err, citronrock.NotRun)
	if len(b.sent) != 0 {
		t.Errorf("%d attempts for refused calls", len(b.sent))
	}
}

// Guards against a tenant that exceeds its limits of calls in flight or of rate.
func TestCallTenantLimits(t *testing.T) {
	b := newBackends()
	b.block, b.began = make(chan struct{}), make(chan string, 10)
	d, ctl := newDaemon(b)
	done := make(chan error, 10)
	for range 10 {
		go func() { _, err := d.Call(t.Context(), order("stock", "o")); done <- err }()
	}
	for range 10 {
		<-b.began
	}
	_, err := d.Call(t.Context(), order("stock", "o"))
	if reason, after := checkKind(t, err, citronrock.NotRun); reason != citronrock.ReasonLimit || after <= 0 {
		t.Errorf("reason %s after %v, want limit with a Retry-After delay", reason, after)
	}
	close(b.block)
	for range 10 {
		checkKind(t, <-done, 0)
	}
	b.began = nil
	ran := 0
	for range 200 {
		if _, err := d.Call(t.Context(), order("stock", "o")); err == nil {
			ran++
		}
	}
	if ran != 90 {
		t.Errorf("%d calls in one instant after 10, want 90 by the burst of 100", ran)
	}
	ctl.clock.advance(10 * time.Millisecond)
	_, err = d.Call(t.Context(), order("stock", "o"))
	checkKind(t, err, 0)
}

// Guards against new attempts at a server that the platform lists as leaving.
func TestCallLeavingServer(t *testing.T) {
	b := newBackends()
	d, ctl := newDaemon(b)
	list := func(revision uint64, state string) {
		ctl.Do(func(time.Time) {
			d.UpdateList(event.Listed{Revision: revision, Instances: []*platfm.Instance{
				{Name: "s1", Kind: "plain", State: state},
			}})
		})
	}
	list(1, "live")
	_, err := d.Call(t.Context(), order("stock", "o"))
	checkKind(t, err, 0)
	list(2, "leaving")
	_, err = d.Call(t.Context(), order("stock", "o"))
	checkKind(t, err, citronrock.NotRun)
	if len(b.sent) != 1 {
		t.Errorf("%d attempts, want 1", len(b.sent))
	}
}

// Guards against attempts at a server that is down, and against a refusal without
// a Retry-After delay when no other server is usable.
func TestCallServerDown(t *testing.T) {
	b := newBackends()
	b.faults["b1"] = []event.Fault{event.FaultUnsent, event.FaultUnsent, event.FaultUnsent}
	b.faults["b2"] = b.faults["b1"]
	d, ctl := newDaemon(b)
	for range 2 {
		_, err := d.Call(t.Context(), order("bestelbalie", "o1"))
		checkKind(t, err, citronrock.NotRun)
	}
	sent := len(b.sent)
	_, err := d.Call(t.Context(), order("bestelbalie", "o2"))
	reason, after := checkKind(t, err, citronrock.NotRun)
	if reason != citronrock.ReasonOverload || after <= 0 || len(b.sent) != sent {
		t.Errorf("reason %s after %v with %d more attempts", reason, after, len(b.sent)-sent)
	}
	ctl.clock.advance(after)
	_, err = d.Call(t.Context(), order("bestelbalie", "o3"))
	checkKind(t, err, 0)
}
