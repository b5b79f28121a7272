package call_test

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/daemon/call"
	"citronrock.example/citronrock/internal/wire/caller"
	"google.golang.org/protobuf/types/known/durationpb"
)

// clock is advanced by the tests.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func newClock() *clock { return &clock{now: time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)} }

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// control stands in for the control goroutine: it runs functions one at a time.
type control struct {
	clock *clock
	mu    sync.Mutex
	ended bool
}

func (c *control) Do(f func(now time.Time)) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	f(c.clock.Now())
	return true
}

// backends counts the runs of calls by body over all servers of a service.
type backends struct {
	mu     sync.Mutex
	runs   map[string]int
	sent   []citronrock.PlainRequest
	faults map[string][]event.Fault // by server, each fault for one attempt
	block  chan struct{}            // when set, runs wait for it
	began  chan string              // when set, gets the body of each run
}

func newBackends() *backends {
	return &backends{runs: map[string]int{}, faults: map[string][]event.Fault{}}
}

func (b *backends) dial(_ policy.Service, s policy.Server) citronrock.Plain {
	return plainFunc(func(ctx context.Context, r citronrock.PlainRequest) citronrock.PlainReply {
		return b.send(ctx, s.Name, r)
	})
}

type plainFunc func(ctx context.Context, r citronrock.PlainRequest) citronrock.PlainReply

func (f plainFunc) Send(ctx context.Context, r citronrock.PlainRequest) citronrock.PlainReply {
	return f(ctx, r)
}

func (b *backends) send(ctx context.Context, name string, r citronrock.PlainRequest) citronrock.PlainReply {
	fault, hold, began := b.take(name, r)
	if began != nil {
		began <- string(r.Body)
	}
	if hold != nil {
		select {
		case <-hold:
		case <-ctx.Done():
			return citronrock.PlainReply{Fault: event.FaultStalled}
		}
	}
	if fault != event.FaultNone {
		return citronrock.PlainReply{Fault: fault}
	}
	return citronrock.PlainReply{Status: 200, Body: []byte("done " + string(r.Body))}
}

func (b *backends) take(name string, r citronrock.PlainRequest) (event.Fault, chan struct{}, chan string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent = append(b.sent, r)
	fault := event.FaultNone
	if f := b.faults[name]; len(f) > 0 {
		fault, b.faults[name] = f[0], f[1:]
	}
	if fault != event.FaultUnsent && fault != event.FaultRefused {
		b.runs[string(r.Body)]++
	}
	return fault, b.block, b.began
}

func document(version uint64) *policy.Document {
	address := netip.MustParseAddrPort("127.0.0.1:1")
	return &policy.Document{
		Version: version,
		Tenants: []policy.Tenant{{Name: "agentschap", Rate: 1000, Burst: 100, MaxInFlight: 10}},
		Services: []policy.Service{
			{Name: "bestelbalie", Kind: policy.KindPlain, LatencyTarget: policy.Duration(50 * time.Millisecond), IdempotencyWindow: policy.Duration(time.Minute)},
			{Name: "stock", Kind: policy.KindPlain, LatencyTarget: policy.Duration(50 * time.Millisecond), Idempotent: true},
		},
		Servers: []policy.Server{
			{Name: "b1", Service: "bestelbalie", Address: address},
			{Name: "b2", Service: "bestelbalie", Address: address},
			{Name: "s1", Service: "stock", Address: address},
		},
	}
}

// newDaemon returns the handler of a single daemon with a document.
func newDaemon(b *backends) (*call.Handler, *control) {
	ck := newClock()
	ctl := &control{clock: ck}
	c := call.New(
		call.WithName("d1", 1), call.WithControl(ctl), call.WithClock(ck),
		call.WithDialer(b.dial), call.WithSeed(1),
	)
	ctl.Do(func(time.Time) { c.Publish(document(1)) })
	return c, ctl
}

func order(service, body string) *caller.CallRequest {
	return &caller.CallRequest{
		Head: &caller.Head{Tenant: "agentschap", Service: service, Deadline: durationpb.New(2 * time.Second)},
		Path: "/book", Body: []byte(body),
	}
}

// checkKind compares the kind of an error, where 0 means no error, and returns its
// reason and Retry-After delay.
func checkKind(t *testing.T, err error, want citronrock.Kind) (citronrock.Reason, time.Duration) {
	t.Helper()
	if err == nil {
		if want != 0 {
			t.Errorf("no error, want kind %v", want)
		}
		return "", 0
	}
	var e *citronrock.Error
	if !errors.As(err, &e) || e.Kind != want {
		t.Errorf("error %v, want kind %v", err, want)
		return "", 0
	}
	return e.Reason, e.RetryAfter
}
