package call_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/core/once"
	"citronrock.example/citronrock/internal/daemon/call"
	"citronrock.example/citronrock/internal/wire/caller"
	"citronrock.example/citronrock/internal/wire/peer"
	"citronrock.example/citronrock/internal/wire/platfm"
	"google.golang.org/protobuf/types/known/durationpb"
)

// Faults of a connection between daemons.
const (
	cutOff      = "cut off"      // nothing is written
	lostRequest = "lost request" // no error, but the request never arrives
	lostAnswer  = "lost answer"  // no error; the request arrives, its answer doesn't
)

// fleet is a set of daemons that share backend servers.
type fleet struct {
	clock   *clock
	back    *backends
	daemons map[string]*call.Handler
	control map[string]*control

	mu      sync.Mutex
	faults  map[string]string // by "from>to"
	oneShot bool              // a fault affects one message only
}

var errLink = errors.New("connection failed")

type link struct {
	*fleet
	from string
}

func (l link) Send(string, *peer.Frame) {}

func (l link) Fetch(context.Context, string, uint64) (*peer.FetchReply, error) { return nil, errLink }

func (l link) Execute(ctx context.Context, to string, r *peer.ExecuteRequest) (*peer.ExecuteReply, bool, error) {
	l.mu.Lock()
	fault := l.faults[l.from+">"+to]
	if l.oneShot {
		delete(l.faults, l.from+">"+to)
	}
	l.mu.Unlock()
	switch fault {
	case cutOff:
		return nil, false, errLink
	case lostRequest:
		<-ctx.Done()
		return nil, true, errLink
	case lostAnswer:
		l.daemons[to].Execute(ctx, l.from, r)
		<-ctx.Done()
		return nil, true, errLink
	}
	return l.daemons[to].Execute(ctx, l.from, r), true, nil
}

// newFleet starts d1 to d5, all alive and listed for longer than the grace period
// after which a home covers its keys.
func newFleet() *fleet {
	f := &fleet{
		clock: newClock(), back: newBackends(), faults: map[string]string{},
		daemons: map[string]*call.Handler{}, control: map[string]*control{},
	}
	for _, n := range all {
		f.startDaemon(n, 1)
	}
	f.list(1, all...)
	f.members(all, all...)
	f.clock.advance(time.Minute)
	return f
}

func (f *fleet) startDaemon(name string, incarnation uint64) {
	f.control[name] = &control{clock: f.clock}
	f.daemons[name] = call.New(
		call.WithName(name, incarnation), call.WithControl(f.control[name]), call.WithClock(f.clock),
		call.WithPeers(link{f, name}), call.WithDialer(f.back.dial), call.WithSeed(1),
	)
	f.do(name, func(c *call.Handler) { c.Publish(document(1)) })
}

func (f *fleet) do(name string, run func(c *call.Handler)) {
	f.control[name].Do(func(time.Time) { run(f.daemons[name]) })
}

func (f *fleet) list(revision uint64, names ...string) {
	l := event.Listed{Revision: revision}
	for _, n := range names {
		l.Instances = append(l.Instances, &platfm.Instance{Name: n, Kind: "daemon", State: "live"})
	}
	for _, n := range names {
		f.do(n, func(c *call.Handler) { c.UpdateList(l) })
	}
}

// members sets the live daemons at each daemon in to.
func (f *fleet) members(to []string, alive ...string) {
	m := map[string]uint64{}
	for _, n := range alive {
		m[n] = 1
	}
	for _, n := range to {
		f.do(n, func(c *call.Handler) { c.UpdateMembers(m) })
	}
}

func (f *fleet) fail(from, to, fault string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults[from+">"+to] = fault
}

func (f *fleet) token(t *testing.T, name string) string {
	t.Helper()
	r, err := f.daemons[name].Token(t.Context(), &caller.TokenRequest{Tenant: "agentschap", Count: 2})
	if err != nil || len(r.Tokens) != 2 {
		t.Fatalf("Token = %v, %v", r, err)
	}
	return r.Tokens[1]
}

// send calls with the order body and a token or a key, as the given client attempt.
func (f *fleet) send(t *testing.T, at, body, token, key string, attempt uint32) (*caller.CallReply, error) {
	r := order("bestelbalie", body)
	r.Head.Token, r.Head.Key, r.Head.Attempt = token, key, attempt
	r.Head.Deadline = durationpb.New(5 * time.Minute) // longer than any test waits
	return f.daemons[at].Call(t.Context(), r)
}

// keyOfD1 returns a key whose home by the first list is d1.
func (f *fleet) keyOfD1() string {
	table := once.New("d1", 1)
	table.UpdateList(f.clock.Now(), 1, all)
	for i := 0; ; i++ {
		c := once.Call{Tenant: "agentschap", Service: "bestelbalie", Key: fmt.Sprintf("key%d", i)}
		if at, _ := table.Homes(c); at == "d1" {
			return c.Key
		}
	}
}
