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
	// Time and Count bound the arrivals, whichever is reached first.
	Time  time.Duration
	Count int
	// MaxInFlight bounds the requests in flight; arrivals beyond it are not sent.
	MaxInFlight int
	// Retries is how often a caller retries a request that was not run or whose
	// connection or stream broke.
	Retries int
	// Trace replaces the arrivals drawn from Classes, Rate and Time.
	Trace *Trace
	// Progress is called each second with the number of requests that were sent
	// and completed so far.
	Progress func(sent, completed int)
}

// Option changes one or more settings.
type Option func(*Settings)

// Run sends the load to the daemons at the given addresses (host:port) and
// waits for all answers. It stops early and returns ctx.Err() with the results so
// far when ctx is cancelled. Invalid settings are an error without a result.
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
		return nil, eris.New("load needs at least one daemon and one class, a rate above 0 and at least one request in flight")
	}
	g := newGenerator(daemons, set)
	defer g.closeIdle()
	result := newResult(set.Seed, set.Time, set.Classes)
	next := set.arrivals()
	defer result.reportProgress(set.Progress)()
	slots := make(chan struct{}, set.MaxInFlight)
	var group sync.WaitGroup
	start := time.Now()
	for range set.Count {
		a, ok := next()
		if !ok || a.at > set.Time || !sleepUntil(ctx, start.Add(a.at)) {
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			result.Unsent++
			continue
		}
		result.sent.Add(1)
		group.Go(func() {
			defer func() { <-slots }()
			result.add(g.send(ctx, &a))
		})
	}
	group.Wait()
	result.computeQuantiles()
	return result, ctx.Err()
}

// arrivals returns an iterator over the arrivals; its second result is false
// after the last one.
func (s *Settings) arrivals() func() (arrival, bool) {
	if s.Trace != nil {
		return s.Trace.arrivals(s.Seed)
	}
	p := newWorkload(s.Seed, s.Classes, s.Rate)
	return func() (arrival, bool) { return p.next(), true }
}

// generator holds one client for each daemon.
type generator struct {
	set       Settings
	clients   []caller.RouterClient
	closeIdle func()
}

func newGenerator(daemons []string, set Settings) *generator {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	t := &http.Transport{
		Protocols: protocols,
		// Detects connections to daemons that are paused or partitioned off.
		HTTP2: &http.HTTP2Config{SendPingTimeout: 2 * time.Second, PingTimeout: 3 * time.Second},
	}
	g := &generator{set: set, closeIdle: t.CloseIdleConnections}
	for _, d := range daemons {
		g.clients = append(g.clients, caller.NewRouterClient(&http.Client{Transport: t}, "http://"+d))
	}
	return g
}

// sleepUntil returns false if ctx ended first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
