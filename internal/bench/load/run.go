package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"citronrock.example/citronrock/internal/wire/caller"
)

// Settings are the properties of a run.
type Settings struct {
	Seed    uint64
	Classes []Class
	// Rate is the mean number of arrivals a second.
	Rate float64
	// Time and Count bound the arrivals.
	Time  time.Duration
	Count int
	// MaxInFlight bounds the requests that are open at a time.
	MaxInFlight int
	// Retries is how often a caller sends a request again that was not run or
	// was broken off.
	Retries int
	// Trace replaces the arrivals drawn from Classes, Rate and Time.
	Trace *Trace
	// Progress is called each second with the requests sent and ended so far.
	Progress func(sent, ended int)
}

// Option changes one or more settings.
type Option func(*Settings)

// Run sends the load to the daemons at the given addresses (host:port) and
// waits for all answers. It ends early when ctx ends.
func Run(ctx context.Context, daemons []string, options ...Option) (*Result, error) {
	set := Settings{
		Seed: 1, Classes: Agentschap(), Rate: 20, Time: 10 * time.Second, Count: 1 << 20, MaxInFlight: 2000,
	}
	for _, o := range options {
		o(&set)
	}
	if set.Trace != nil {
		set.Classes, set.Time = set.Trace.classes, min(set.Time, set.Trace.span())
	}
	if len(daemons) == 0 || set.Rate <= 0 || len(set.Classes) == 0 || set.MaxInFlight <= 0 {
		return nil, eris.New("a load needs daemons, a rate above 0, classes and at least one open request")
	}
	g := dial(daemons, set)
	defer g.idle()
	result := newResult(set.Seed, set.Time, set.Classes)
	next := set.arrivals()
	defer result.watch(set.Progress)()
	places := make(chan struct{}, set.MaxInFlight)
	var group sync.WaitGroup
	start := time.Now()
	for range set.Count {
		a, ok := next()
		if !ok || a.at > set.Time || !until(ctx, start.Add(a.at)) {
			break
		}
		select {
		case places <- struct{}{}:
		default:
			result.Unsent++
			continue
		}
		result.sent.Add(1)
		group.Go(func() {
			defer func() { <-places }()
			result.add(g.send(ctx, &a))
		})
	}
	group.Wait()
	result.close()
	return result, ctx.Err()
}

// arrivals returns a function that gives the arrivals one by one, until its
// second result is false.
func (s *Settings) arrivals() func() (arrival, bool) {
	if s.Trace != nil {
		return s.Trace.arrivals(s.Seed)
	}
	p := newPlan(s.Seed, s.Classes, s.Rate)
	return func() (arrival, bool) { return p.next(), true }
}

// generator holds one client for each daemon.
type generator struct {
	set     Settings
	clients []caller.RouterClient
	idle    func()
}

func dial(daemons []string, set Settings) *generator {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	t := &http.Transport{
		Protocols: protocols,
		// Ends connections to daemons that were paused or cut off.
		HTTP2: &http.HTTP2Config{SendPingTimeout: 2 * time.Second, PingTimeout: 3 * time.Second},
	}
	g := &generator{set: set, idle: t.CloseIdleConnections}
	for _, d := range daemons {
		g.clients = append(g.clients, caller.NewRouterClient(&http.Client{Transport: t}, "http://"+d))
	}
	return g
}

func until(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
