package delay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// Lengths of prompts and answers in tokens.
const (
	shortPrompt   = 200
	latencyOutput = 40
	cpuPrompt     = 2000
)

// outputs are the answer lengths in tokens of the streaming cases, from whose
// processor time the cost of a request and of a token is fitted.
var outputs = []int{8, 64, 320}

// meter runs the cases one after another and keeps their results.
type meter struct {
	set            Settings
	direct, daemon path
	pid            int
	out            io.Writer
	latencies      []latency
	costs          []cost
}

func (m *meter) runCases(ctx context.Context) error {
	type step struct {
		name string
		run  func(context.Context, string) error
	}
	steps := []step{
		{"generate", m.streamLatency}, {"stock", m.callLatency(stockService)}, {"order", m.callLatency(orderService)}, {"idle", m.idle},
	}
	for _, n := range outputs {
		steps = append(steps, step{fmt.Sprintf("stream-%d", n), m.streamCost(n)})
	}
	steps = append(steps, step{"stock-busy", m.callCost(stockService)}, step{"order-busy", m.callCost(orderService)})
	// A new owner waits 3 s before it first uses an engine that doesn't check
	// fencing tokens. This request takes the wait out of the cases.
	if _, err := generate(ctx, m.daemon, "first", shortPrompt, 1); err != nil {
		return err
	}
	known := false
	for _, s := range steps {
		if m.set.Case != "" && m.set.Case != s.name {
			continue
		}
		known = true
		if err := s.run(ctx, s.name); err != nil {
			return fmt.Errorf("case %s: %w", s.name, err)
		}
	}
	if !known {
		return fmt.Errorf("unknown case %q", m.set.Case)
	}
	return m.printTables()
}

// streamLatency compares streams sent directly and through the daemon.
func (m *meter) streamLatency(ctx context.Context, name string) error {
	return m.compare(ctx, name, streamWorkers, func(ctx context.Context, p path, id string) (sample, error) {
		return generate(ctx, p, id, shortPrompt, latencyOutput)
	})
}

func (m *meter) callLatency(service string) func(context.Context, string) error {
	return func(ctx context.Context, name string) error {
		return m.compare(ctx, name, callWorkers, func(ctx context.Context, p path, id string) (sample, error) {
			return call(ctx, p, service, id)
		})
	}
}

// Concurrent requests in the latency cases. Streams mostly wait for tokens, so
// that more of them can run.
const (
	streamWorkers = 16
	callWorkers   = 4
)

func (m *meter) compare(ctx context.Context, name string, workers int, send func(context.Context, path, string) (sample, error)) error {
	var mu sync.Mutex
	var samples [2][]sample
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(workers)
	r := rand.New(rand.NewPCG(m.set.Seed, 0))
	// The first requests aren't measured: they open connections and fill caches.
	warm := m.set.Requests / 10
	for i := range warm + m.set.Requests {
		first := r.IntN(2)
		group.Go(func() error {
			for _, way := range []int{first, 1 - first} {
				s, err := send(ctx, []path{m.direct, m.daemon}[way], fmt.Sprintf("%s-%d-%d-%d", name, m.set.Seed, i, way))
				if err != nil {
					return err
				}
				if i < warm {
					continue
				}
				mu.Lock()
				samples[way] = append(samples[way], s)
				mu.Unlock()
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	l := latency{Case: name, Seed: m.set.Seed, Requests: m.set.Requests}
	l.First.Direct, l.First.Daemon = quantiles(samples[0], firsts), quantiles(samples[1], firsts)
	l.Gap.Direct, l.Gap.Daemon = quantiles(samples[0], gaps), quantiles(samples[1], gaps)
	m.latencies = append(m.latencies, l)
	return m.writeJSON(l)
}

func firsts(s sample) []time.Duration { return []time.Duration{s.first} }
func gaps(s sample) []time.Duration   { return s.gaps }

// quantiles returns the 0.5 and 0.99 quantiles in milliseconds.
func quantiles(of []sample, pick func(sample) []time.Duration) (out [2]float64) {
	var all []time.Duration
	for _, s := range of {
		all = append(all, pick(s)...)
	}
	if len(all) == 0 {
		return out
	}
	slices.Sort(all)
	for i, q := range []float64{0.5, 0.99} {
		out[i] = all[int(q*float64(len(all)-1))].Seconds() * 1000
	}
	return out
}

// idle measures the processor time of a daemon without requests.
func (m *meter) idle(ctx context.Context, name string) error {
	return m.cost(ctx, name, func(ctx context.Context, _ *cost) error {
		select {
		case <-time.After(m.set.Time):
		case <-ctx.Done():
		}
		return ctx.Err()
	})
}

// streamCost measures the processor time of a constant number of concurrent
// streams.
func (m *meter) streamCost(output int) func(context.Context, string) error {
	return func(ctx context.Context, name string) error {
		return m.cost(ctx, name, func(ctx context.Context, c *cost) error {
			return m.closedLoop(ctx, m.set.Streams, c, func(ctx context.Context, id string) (sample, error) {
				return generate(ctx, m.daemon, name+id, cpuPrompt, output)
			})
		})
	}
}

// busyCalls is the number of concurrent calls in the cases of processor time.
const busyCalls = 8

func (m *meter) callCost(service string) func(context.Context, string) error {
	return func(ctx context.Context, name string) error {
		return m.cost(ctx, name, func(ctx context.Context, c *cost) error {
			return m.closedLoop(ctx, busyCalls, c, func(ctx context.Context, id string) (sample, error) {
				return call(ctx, m.daemon, service, name+id)
			})
		})
	}
}

// closedLoop generates a closed-loop load for the time of a case: each loop sends
// its next request when the last one is answered. The starts of the loops are
// spread over the first tenth of the time.
func (m *meter) closedLoop(ctx context.Context, loops int, c *cost, send func(context.Context, string) (sample, error)) error {
	var requests, tokens atomic.Int64
	var mu sync.Mutex
	var all []sample
	end := time.Now().Add(m.set.Time)
	group, ctx := errgroup.WithContext(ctx)
	for i := range loops {
		group.Go(func() error {
			time.Sleep(m.set.Time / 10 * time.Duration(i) / time.Duration(loops))
			for n := 0; time.Now().Before(end); n++ {
				s, err := send(ctx, fmt.Sprintf("-%d-%d-%d", m.set.Seed, i, n))
				if err != nil {
					return err
				}
				requests.Add(1)
				tokens.Add(int64(s.tokens))
				mu.Lock()
				all = append(all, s)
				mu.Unlock()
			}
			return nil
		})
	}
	err := group.Wait()
	c.Requests, c.Tokens = requests.Load(), tokens.Load()
	c.First, c.Gap = quantiles(all, firsts), quantiles(all, gaps)
	return err
}
