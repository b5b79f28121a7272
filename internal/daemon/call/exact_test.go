package call_test

import (
	"context"
	"testing"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/daemon/call"
	"citronrock.example/citronrock/internal/wire/caller"
)

var all = []string{"d1", "d2", "d3", "d4", "d5"}

// result is the outcome of a call made on another goroutine.
type result struct {
	reply *caller.CallReply
	err   error
}

func (f *fleet) checkRuns(t *testing.T, body string, want int) {
	t.Helper()
	f.back.mu.Lock()
	defer f.back.mu.Unlock()
	if got := f.back.runs[body]; got != want {
		t.Errorf("%s ran %d times, want %d", body, got, want)
	}
}

// Guards against a second run when a client retries at another daemon, and
// against a retry that does not get the stored answer.
func TestExactRepeatElsewhere(t *testing.T) {
	f := newFleet()
	for name, c := range map[string]struct{ token, key string }{
		"token": {f.token(t, "d1"), ""},
		"key":   {"", f.keyOfD1()},
	} {
		t.Run(name, func(t *testing.T) {
			for i, at := range []string{"d2", "d3", "d1", "d4"} {
				r, err := f.send(t, at, name, c.token, c.key, uint32(i+1))
				checkKind(t, err, 0)
				if string(r.GetBody()) != "done "+name || r.GetReplay() != (i > 0) {
					t.Errorf("client attempt %d: body %q replay %v", i+1, r.GetBody(), r.GetReplay())
				}
			}
			f.checkRuns(t, name, 1)
		})
	}
}

// Guards against a second run when a retry arrives during the run, also after the
// first client has disconnected.
func TestExactJoin(t *testing.T) {
	f := newFleet()
	f.back.block, f.back.began = make(chan struct{}), make(chan string, 2)
	key := f.keyOfD1()
	ctx, leave := context.WithCancel(t.Context())
	done := make(chan result, 2)
	go func() {
		r := order("bestelbalie", "o1")
		r.Head.Key, r.Head.Attempt = key, 1
		reply, err := f.daemons["d1"].Call(ctx, r)
		done <- result{reply, err}
	}()
	<-f.back.began
	leave()
	go func() {
		reply, err := f.send(t, "d2", "o1", "", key, 2)
		done <- result{reply, err}
	}()
	close(f.back.block)
	for range 2 {
		r := <-done
		checkKind(t, r.err, 0)
		if string(r.reply.GetBody()) != "done o1" {
			t.Errorf("body %q", r.reply.GetBody())
		}
	}
	f.checkRuns(t, "o1", 1)
}

// Guards against a second run, a late answer, or a wrong "not run" after the
// daemon that issued the token of a call has died.
func TestExactFirstDaemonDied(t *testing.T) {
	f := newFleet()
	token, unused := f.token(t, "d1"), f.token(t, "d1")
	f.back.began = make(chan string, 2)
	f.back.block = make(chan struct{})
	f.fail("d2", "d1", lostAnswer)
	slow := document(2)
	slow.Services[0].LatencyTarget = policy.Duration(time.Minute) // the reply timeout is too long for a second message
	f.do("d2", func(c *call.Handler) { c.Publish(slow) })
	done := make(chan result, 1)
	go func() {
		reply, err := f.send(t, "d2", "o1", token, "", 1)
		done <- result{reply, err}
	}()
	<-f.back.began
	f.members([]string{"d2", "d3"}, "d2", "d3", "d4", "d5")
	close(f.back.block)
	select {
	case r := <-done:
		checkKind(t, r.err, citronrock.Unknown)
	case <-time.After(20 * time.Second):
		t.Fatal("no answer though the daemon is known to be gone")
	}
	_, err := f.send(t, "d3", "o1", token, "", 2)
	checkKind(t, err, citronrock.Unknown)
	_, err = f.send(t, "d3", "o2", unused, "", 1)
	if reason, after := checkKind(t, err, citronrock.NotRun); reason != citronrock.ReasonHome || after <= 0 {
		t.Errorf("reason %s after %v, want home with a Retry-After delay", reason, after)
	}
	f.checkRuns(t, "o1", 1)
	f.startDaemon("d1", 2)
	f.do("d3", func(c *call.Handler) { c.UpdateMembers(map[string]uint64{"d1": 2, "d2": 1, "d3": 1}) })
	_, err = f.send(t, "d1", "o1", token, "", 3)
	checkKind(t, err, citronrock.Unknown)
	_, err = f.send(t, "d3", "o1", token, "", 4)
	if _, after := checkKind(t, err, citronrock.Unknown); after != 0 {
		t.Errorf("Retry-After delay %v for a token whose issuer was replaced, want none", after)
	}
	_, err = f.send(t, "d1", "o2", f.token(t, "d3"), "", 1)
	checkKind(t, err, 0)
	f.checkRuns(t, "o1", 1)
}

// Guards against a home that starts calls with keys on a membership from before a
// process pause, and against calls with tokens that a pause blocks.
func TestExactPaused(t *testing.T) {
	f := newFleet()
	key, token := f.keyOfD1(), f.token(t, "d1")
	f.do("d1", func(c *call.Handler) { c.Paused(time.Second) })
	_, err := f.send(t, "d2", "o1", "", key, 1)
	if _, after := checkKind(t, err, citronrock.NotRun); after <= 0 {
		t.Error("not run without a Retry-After delay")
	}
	_, err = f.send(t, "d2", "o2", token, "", 1)
	checkKind(t, err, 0)
	f.members([]string{"d1"}, all...)
	_, err = f.send(t, "d2", "o1", "", key, 1)
	checkKind(t, err, 0)
	f.checkRuns(t, "o1", 1)
}

// Guards against a second run on the other side of a network partition, and
// against a side that runs no calls at all.
func TestExactFleetSplit(t *testing.T) {
	f := newFleet()
	left, right := []string{"d1", "d3", "d4"}, []string{"d2", "d5"}
	for _, l := range left {
		for _, r := range right {
			f.fail(l, r, cutOff)
			f.fail(r, l, cutOff)
		}
	}
	f.members(left, left...)
	f.members(right, right...)
	f.list(2, right...)
	f.clock.advance(time.Minute)
	key := f.keyOfD1()
	_, err := f.send(t, "d3", "o1", "", key, 1)
	checkKind(t, err, 0)
	_, err = f.send(t, "d2", "o1", "", key, 2)
	checkKind(t, err, citronrock.Unknown)
	f.checkRuns(t, "o1", 1)
	for at, issuer := range map[string]string{"d3": "d4", "d5": "d2"} {
		_, err = f.send(t, at, "at "+at, f.token(t, issuer), "", 1)
		checkKind(t, err, 0)
	}
	across := f.token(t, "d1")
	_, err = f.send(t, "d2", "o2", across, "", 1)
	checkKind(t, err, citronrock.NotRun)
	_, err = f.send(t, "d2", "o2", across, "", 2)
	checkKind(t, err, citronrock.Unknown)
	_, err = f.send(t, "d4", "o2", across, "", 3)
	checkKind(t, err, 0)
	f.checkRuns(t, "o2", 1)
}

// Guards against a second run or a wrong "not run" when a connection between
// daemons loses messages without failing.
func TestExactSilentConnection(t *testing.T) {
	cases := map[string]struct {
		fault string
		token bool
		want  citronrock.Kind
		runs  int
	}{
		"token, request lost": {lostRequest, true, 0, 1},
		"token, answer lost":  {lostAnswer, true, 0, 1},
		"key, request lost":   {lostRequest, false, citronrock.Unknown, 0},
		"key, answer lost":    {lostAnswer, false, 0, 1},
		"key, cut off":        {cutOff, false, 0, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet()
			f.oneShot = true
			f.fail("d2", "d1", c.fault)
			var token, key string
			if c.token {
				token = f.token(t, "d1")
			} else {
				key = f.keyOfD1()
			}
			_, err := f.send(t, "d2", "o1", token, key, 1)
			checkKind(t, err, c.want)
			f.checkRuns(t, "o1", c.runs)
		})
	}
}

// Guards against "not run" for a retry of a call that may have run already, and
// against stored answers that a draining daemon no longer returns.
func TestExactDrain(t *testing.T) {
	f := newFleet()
	key, token := f.keyOfD1(), f.token(t, "d1")
	_, err := f.send(t, "d2", "o1", "", key, 1)
	checkKind(t, err, 0)
	f.do("d1", func(c *call.Handler) { c.Drain() })
	_, err = f.send(t, "d1", "o1", "", key, 2)
	checkKind(t, err, citronrock.Unknown)
	_, err = f.send(t, "d1", "o2", "", "other", 1)
	checkKind(t, err, citronrock.NotRun)
	r, err := f.send(t, "d2", "o1", "", key, 2)
	checkKind(t, err, 0)
	if !r.GetReplay() {
		t.Error("the stored answer is not marked as replayed")
	}
	_, err = f.send(t, "d2", "o2", token, "", 1)
	checkKind(t, err, citronrock.NotRun)
	f.checkRuns(t, "o1", 1)
	f.checkRuns(t, "o2", 0)
}

// Guards against a stored answer that can't be found after the home of its key
// changes.
func TestExactFormerHome(t *testing.T) {
	f := newFleet()
	key := f.keyOfD1()
	_, err := f.send(t, "d2", "o1", "", key, 1)
	checkKind(t, err, 0)
	f.list(2, "d2", "d3", "d4", "d5")
	r, err := f.send(t, "d3", "o1", "", key, 2)
	checkKind(t, err, 0)
	if !r.GetReplay() {
		t.Error("the stored answer is not marked as replayed")
	}
	f.checkRuns(t, "o1", 1)
}

// Guards against a call that can't run any more after its backend refused it, and
// against a retry that runs again after its backend gave no answer.
func TestExactBackendFaults(t *testing.T) {
	f := newFleet()
	token := f.token(t, "d1")
	for range 20 {
		f.back.faults["b1"] = append(f.back.faults["b1"], event.FaultRefused)
		f.back.faults["b2"] = append(f.back.faults["b2"], event.FaultRefused)
	}
	_, err := f.send(t, "d2", "o1", token, "", 1)
	checkKind(t, err, citronrock.NotRun)
	f.back.faults = map[string][]event.Fault{"b1": {event.FaultBroken}, "b2": {event.FaultBroken}}
	for attempt := range uint32(3) {
		_, err = f.send(t, "d3", "o1", token, "", attempt)
		checkKind(t, err, citronrock.Unknown)
	}
	f.checkRuns(t, "o1", 1)
}

// Guards against "not run" while an earlier message of the same client attempt
// may still arrive at the executing daemon.
func TestExactRefusedAfterSilence(t *testing.T) {
	f := newFleet()
	token := f.token(t, "d1")
	f.oneShot = true
	f.fail("d2", "d1", lostRequest)
	f.do("d1", func(c *call.Handler) { c.Drain() })
	_, err := f.send(t, "d2", "o1", token, "", 1)
	checkKind(t, err, citronrock.Unknown)
}
