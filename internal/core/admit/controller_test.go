package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/wire/peer"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func newController() *Controller {
	ctl := New(rand.New(rand.NewPCG(1, 2)))
	ctl.Publish(start, &policy.Document{
		Tenants: []policy.Tenant{
			{Name: "free"}, {Name: "heavy", Weight: 3},
			{Name: "slow", Rate: 2, Burst: 3}, {Name: "few", MaxInFlight: 2},
		},
		Services: []policy.Service{
			{Name: "desk", Kind: policy.KindModel, LatencyTarget: policy.Duration(400 * time.Millisecond), Priority: 1},
			{Name: "drafts", Kind: policy.KindModel, LatencyTarget: policy.Duration(400 * time.Millisecond), Priority: 5, Deferrable: true, MaxQueue: 20},
		},
		Engines: []policy.Engine{
			{Name: "d1", Service: "desk", Cell: "desk1", Role: policy.RoleBoth},
			{Name: "d2", Service: "desk", Cell: "desk2", Role: policy.RoleBoth},
			{Name: "l1", Service: "drafts", Cell: "drafts1", Role: policy.RoleBoth},
		},
	})
	return ctl
}

func request(tenant, service string, priority uint32, left time.Duration) *Request {
	return &Request{
		ID: "r", Tenant: tenant, Service: service, Priority: priority,
		Tokens: 100, Max: 100, Deadline: start.Add(left),
	}
}

// answer sets the statistics of a cell by a reply of its owner: prefill starts
// after wait, and 100 tokens take 50 ms.
func (ctl *Controller) answer(cell string, wait time.Duration) {
	ms := uint32(wait.Milliseconds())
	r := request("free", ctl.cells[cell].service, 5, time.Minute)
	ctl.Answered(start, cell, r, &peer.Grant{Granted: true, Start: ms, First: ms + 50})
}

// refuse makes the owner of the cell of drafts refuse requests for d.
func (ctl *Controller) refuse(d time.Duration) {
	r := request("free", "drafts", 0, time.Minute)
	r.Tokens = 0
	ctl.Answered(start, "drafts1", r, &peer.Grant{After: uint32(d.Milliseconds())})
}

// TestArrive guards the decision for each state of the limits and the statistics.
func TestArrive(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(*Controller)
		request *Request
		state   Next
		reason  citronrock.Reason
		repeat  bool
	}{
		"unknown figures": {nil, request("free", "desk", 1, time.Second), Run, "", false},
		"unknown tenant":  {nil, request("nobody", "desk", 1, time.Second), Refuse, citronrock.ReasonInvalid, false},
		"unknown service": {nil, request("free", "nothing", 1, time.Second), Refuse, citronrock.ReasonInvalid, false},
		"deadline passed": {nil, request("free", "desk", 1, 0), Refuse, citronrock.ReasonDeadline, false},
		"one cell loaded": {func(ctl *Controller) {
			ctl.answer("desk1", time.Second)
			ctl.answer("desk2", 0)
		}, request("free", "desk", 1, time.Second), Run, "", false},
		"all cells loaded": {func(ctl *Controller) {
			ctl.answer("desk1", time.Second)
			ctl.answer("desk2", time.Second)
		}, request("free", "desk", 1, 9*time.Second), Refuse, citronrock.ReasonOverload, true},
		"urgent enough": {func(ctl *Controller) {
			ctl.answer("desk1", 220*time.Millisecond)
			ctl.answer("desk2", 220*time.Millisecond)
		}, request("free", "desk", 1, time.Second), Run, "", false},
		"less urgent is shed first": {func(ctl *Controller) {
			ctl.answer("desk1", 220*time.Millisecond)
			ctl.answer("desk2", 220*time.Millisecond)
		}, request("free", "desk", 3, time.Second), Refuse, citronrock.ReasonOverload, true},
		"deferrable waits": {func(ctl *Controller) {
			ctl.answer("drafts1", time.Second)
		}, request("free", "drafts", 5, time.Minute), Wait, "", false},
		"deferrable too late": {func(ctl *Controller) {
			ctl.answer("drafts1", 5*time.Second)
		}, request("free", "drafts", 5, time.Second), Refuse, citronrock.ReasonOverload, true},
		"refused lately": {func(ctl *Controller) {
			ctl.refuse(time.Second)
		}, request("free", "drafts", 5, time.Minute), Wait, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			ctl := newController()
			if c.prepare != nil {
				c.prepare(ctl)
			}
			v := ctl.Arrive(start, c.request)
			if v.Next != c.state || v.Reason != c.reason || (v.RetryAfter > 0) != c.repeat {
				t.Fatalf("got %+v", v)
			}
		})
	}
}

// TestNoDocument guards against admission before any document is known.
func TestNoDocument(t *testing.T) {
	v := New(rand.New(rand.NewPCG(1, 2))).Arrive(start, request("free", "desk", 1, time.Second))
	if v.Next != Refuse || v.Reason != citronrock.ReasonConfig || v.RetryAfter == 0 {
		t.Fatalf("got %+v", v)
	}
}

// TestRate guards the tenant's rate, its burst, and the share of one daemon.
func TestRate(t *testing.T) {
	for name, c := range map[string]struct{ alive, want int }{
		"alone": {1, 3 + 2*10}, "of two": {2, 3 + 10},
	} {
		t.Run(name, func(t *testing.T) {
			ctl := newController()
			ctl.Members(c.alive)
			admitted := 0
			for ms := range 10_001 {
				v := ctl.Arrive(start.Add(time.Duration(ms)*time.Millisecond), request("slow", "desk", 1, time.Hour))
				if v.Next == Run {
					admitted++
				} else if v.Reason != citronrock.ReasonLimit || v.RetryAfter == 0 {
					t.Fatalf("got %+v", v)
				}
			}
			if admitted < c.want-1 || admitted > c.want+1 {
				t.Fatalf("admitted %d, want %d", admitted, c.want)
			}
		})
	}
}

// TestOpen guards the tenant's limit of requests in flight, which Release frees.
func TestOpen(t *testing.T) {
	ctl := newController()
	a, b, c := request("few", "desk", 1, time.Second), request("few", "desk", 1, time.Second), request("few", "desk", 1, time.Second)
	ctl.Arrive(start, a)
	ctl.Arrive(start, b)
	if v := ctl.Arrive(start, c); v.Reason != citronrock.ReasonLimit {
		t.Fatalf("third request in flight: %+v", v)
	}
	ctl.Release(a)
	if v := ctl.Arrive(start, c); v.Next != Run {
		t.Fatalf("after a release: %+v", v)
	}
}

// queued fills the queue of drafts while the owner of its cell refuses requests
// for a second.
func queued(t *testing.T, ctl *Controller, rs ...*Request) {
	t.Helper()
	ctl.refuse(time.Second)
	for _, r := range rs {
		if v := ctl.Arrive(start, r); v.Next != Wait {
			t.Fatalf("%+v: %+v", r, v)
		}
	}
}

// TestOrder guards the order of the queue: priority, then deadline.
func TestOrder(t *testing.T) {
	ctl := newController()
	late, soon := request("free", "drafts", 5, time.Minute), request("free", "drafts", 5, 30*time.Second)
	urgent := request("free", "drafts", 4, time.Hour)
	queued(t, ctl, late, soon, urgent)
	if r, ok := ctl.Dequeue(start); ok {
		t.Fatalf("%+v ran while the owner refuses requests", r)
	}
	for i, want := range []*Request{urgent, soon, late} {
		if r, ok := ctl.Dequeue(start.Add(2 * time.Second)); !ok || r != want {
			t.Fatalf("place %d: %+v", i, r)
		}
	}
}

// TestTimelyFirst guards against head-of-line blocking: requests that are queued
// behind ones that already miss their target, until they miss theirs as well.
func TestTimelyFirst(t *testing.T) {
	ctl := newController()
	late, timely := request("free", "drafts", 5, 30*time.Second), request("free", "drafts", 5, time.Minute)
	queued(t, ctl, late)
	if v := ctl.Arrive(start.Add(900*time.Millisecond), timely); v.Next != Wait {
		t.Fatalf("%+v", v)
	}
	for i, want := range []*Request{timely, late} {
		if r, ok := ctl.Dequeue(start.Add(1100 * time.Millisecond)); !ok || r != want {
			t.Fatalf("place %d: %+v", i, r)
		}
	}
}

// TestLeave guards against a queued request that runs after its caller has gone.
func TestLeave(t *testing.T) {
	ctl := newController()
	r := request("free", "drafts", 5, time.Minute)
	queued(t, ctl, r)
	ctl.Release(r)
	if n, ok := ctl.Dequeue(start.Add(2 * time.Second)); ok || ctl.Queued() != 0 {
		t.Fatalf("next %+v, %d wait", n, ctl.Queued())
	}
}

// TestFair guards the shares of two tenants with weights 1 and 3 that both have
// queued requests.
func TestFair(t *testing.T) {
	ctl := newController()
	var all []*Request
	for i := range 20 {
		tenant := "free"
		if i >= 10 {
			tenant = "heavy"
		}
		all = append(all, request(tenant, "drafts", 5, time.Minute+time.Duration(i)))
	}
	queued(t, ctl, all...)
	heavy := 0
	for range 12 {
		r, ok := ctl.Dequeue(start.Add(2 * time.Second))
		if !ok {
			t.Fatal("queue is stuck")
		}
		if r.Tenant == "heavy" {
			heavy++
		}
	}
	if heavy != 9 {
		t.Fatalf("the tenant of weight 3 got %d of 12", heavy)
	}
}

// TestFull guards the bounds of the queue, and that a full one sheds the least
// urgent request.
func TestFull(t *testing.T) {
	ctl := newController()
	var all []*Request
	for i := range 20 {
		all = append(all, request("free", "drafts", 5, time.Minute+time.Duration(i)))
	}
	queued(t, ctl, all...)
	if v := ctl.Arrive(start, request("free", "drafts", 5, time.Hour)); v.Next != Refuse || v.RetryAfter == 0 {
		t.Fatalf("a full queue took an equal request: %+v", v)
	}
	if v := ctl.Arrive(start, request("free", "drafts", 4, time.Hour)); v.Next != Wait {
		t.Fatalf("a full queue refused a more urgent request: %+v", v)
	}
	r, v, ok := ctl.Shed(start)
	if !ok || r != all[19] || v.RetryAfter == 0 || ctl.Queued() != 20 {
		t.Fatalf("shed %+v %+v, %d wait", r, v, ctl.Queued())
	}
	huge := request("free", "drafts", 3, time.Hour)
	huge.Tokens = maxTenantBytes/bytesPerToken + 1
	if v := ctl.Arrive(start, huge); v.Next != Refuse {
		t.Fatalf("more bytes than a tenant may queue: %+v", v)
	}
}

// TestExpires guards against a request that stays queued although it can no longer
// meet its deadline.
func TestExpires(t *testing.T) {
	ctl := newController()
	ctl.answer("drafts1", 0)
	soon := request("free", "drafts", 5, 5*time.Second)
	queued(t, ctl, soon, request("free", "drafts", 5, time.Minute))
	ctl.refuse(time.Minute)
	if _, _, ok := ctl.Shed(start.Add(4900 * time.Millisecond)); ok {
		t.Fatal("shed before its time")
	}
	r, v, ok := ctl.Shed(start.Add(4960 * time.Millisecond))
	if !ok || r != soon || v.RetryAfter == 0 {
		t.Fatalf("shed %+v %+v", r, v)
	}
}

// TestRetryAfter guards against refused callers that all retry at the same moment: the
// retries of 100 requests with prefills of 50 ms on two engines are spread over
// more than two seconds.
func TestRetryAfter(t *testing.T) {
	ctl := newController()
	ctl.answer("desk1", time.Second)
	ctl.answer("desk2", time.Second)
	var last time.Duration
	slots := map[int64]int{}
	for range 100 {
		v := ctl.Arrive(start, request("free", "desk", 1, time.Minute))
		last = max(last, v.RetryAfter)
		slots[v.RetryAfter.Milliseconds()/100]++
	}
	for at, n := range slots {
		if n > 12 {
			t.Errorf("%d retry within 100 ms at %d00 ms", n, at)
		}
	}
	if last < 2*time.Second {
		t.Errorf("the last one retries after %v", last)
	}
}

// TestWindow guards against the release of the whole queue at the end of an
// overload.
func TestWindow(t *testing.T) {
	ctl := newController()
	for range 10 {
		ctl.refuse(time.Second)
	}
	queued(t, ctl, request("free", "drafts", 5, time.Minute), request("free", "drafts", 5, time.Minute))
	now := start.Add(2 * time.Second)
	r, ok := ctl.Dequeue(now)
	if !ok {
		t.Fatal("queue is stuck")
	}
	ctl.Sent("drafts1", r)
	if _, ok := ctl.Dequeue(now); ok {
		t.Fatal("second request before the reply to the first")
	}
}

// TestChoose guards the choice of the cell: the home of the first KV block unless
// it is overloaded, and a cell whose owner does not reply only when no other is
// left.
func TestChoose(t *testing.T) {
	none := func(string) bool { return false }
	ctl := newController()
	r := request("free", "desk", 1, time.Second)
	ctl.Arrive(start, r)
	r.Piece = 77
	home := ctl.Choose(start, r, none)
	for range 20 {
		if c := ctl.Choose(start, r, none); c != home {
			t.Fatalf("%s, the home is %s", c, home)
		}
	}
	ctl.answer(home, time.Second)
	if c := ctl.Choose(start, r, none); c == home {
		t.Fatal("the home was chosen though it is overloaded")
	}
	ctl = newController()
	ctl.Arrive(start, r)
	ctl.TimedOut(start, home, r)
	if c := ctl.Choose(start, r, none); c == home {
		t.Fatal("the home was chosen though its owner does not reply")
	}
	if c := ctl.Choose(start, r, func(c string) bool { return c != home }); c != home {
		t.Fatalf("%q, only the cell whose owner does not reply is left", c)
	}
}
