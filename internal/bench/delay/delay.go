// Package delay measures what a daemon adds to the latency of requests and what
// processor time it takes, against the same requests sent to the stand-ins.
package delay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"citronrock.example/citronrock/internal/bench/direct"
	"citronrock.example/citronrock/internal/bench/fleet"
	"citronrock.example/citronrock/internal/conf/policy"
)

// Settings are the properties of a measurement.
type Settings struct {
	Bin, Work string
	Seed      uint64
	// Requests is the number of requests in each case of latency, for each path.
	Requests int
	// Time is the length of each case of processor time.
	Time time.Duration
	// Streams is the number of concurrent streams in the cases of processor time.
	Streams int
	// Gap is the time between the tokens of a stream.
	Gap time.Duration
	// Case limits the run to the case of that name.
	Case string
}

// Defaults returns the settings of script/latency: 240 streams at 32 ms make
// about 7,500 tokens a second, a daemon's share at the target size.
func Defaults() Settings {
	return Settings{
		Bin: "bin", Work: "out/latency", Seed: 1, Requests: 400,
		Time: 10 * time.Second, Streams: 240, Gap: 32 * time.Millisecond,
	}
}

// Names of the measured services.
const (
	tenant = "agentschap"
	model  = "taalpost"
	desk   = "bestelbalie"
	stock  = "voorraad"
)

// Run starts one daemon with stand-ins, measures all cases and prints a line of
// JSON for each, a table and the slopes.
func Run(ctx context.Context, set Settings, w io.Writer) error {
	f, err := fleet.Start(ctx, func(s *fleet.Settings) {
		s.Bin, s.Work, s.Plan = set.Bin, set.Work, plan(set.Gap)
	})
	if f == nil {
		return err
	}
	if err == nil {
		err = measure(ctx, f, set, w)
	}
	return errors.Join(err, f.Close())
}

// plan is one daemon with engines and servers that are never short of capacity.
func plan(gap time.Duration) fleet.Plan {
	p := fleet.Plan{Domains: []string{"gent"}, Daemons: 1}
	ms := func(n int) policy.Duration { return policy.Duration(time.Duration(n) * time.Millisecond) }
	p.Document = policy.Document{
		Version: 1,
		Tenants: []policy.Tenant{{Name: tenant, Rate: 1e6, Burst: 1e6, MaxInFlight: 100000, Weight: 1}},
		Services: []policy.Service{
			{
				Name: model, Kind: policy.KindModel, Model: "taal", LatencyTarget: ms(10000), GapTarget: ms(200),
				Priority: 5, Idempotent: true, Deferrable: true, MaxQueue: 5000, WasteWeight: 0.3, RetryRatio: 0.1,
			},
			{Name: desk, Kind: policy.KindPlain, LatencyTarget: ms(1000), Priority: 1, IdempotencyWindow: ms(600000), RetryRatio: 0.1},
			{Name: stock, Kind: policy.KindPlain, LatencyTarget: ms(1000), Priority: 1, Idempotent: true, IdempotencyWindow: ms(600000), RetryRatio: 0.1},
		},
	}
	for i := range 8 {
		role := policy.RoleDecode
		if i < 2 {
			role = policy.RolePrefill
		}
		// Without checks of fencing numbers, engines also take orders that no
		// owner has numbered.
		p.Document.Engines = append(p.Document.Engines, policy.Engine{
			Name: fmt.Sprintf("e%d", i+1), Service: model, Cell: "gent-1", Role: role, Domain: "gent",
		})
	}
	for i, service := range []string{desk, desk, stock, stock} {
		p.Document.Servers = append(p.Document.Servers, policy.Server{
			Name: fmt.Sprintf("s%d", i+1), Service: service, Domain: "gent",
		})
	}
	p.Engine = []string{
		"--gap", gap.String(), "--growth", "0", "--slots", "100", "--pieces", "1000",
		"--speed", "2000000", "--link", "1099511627776",
	}
	p.Server = []string{"--latency", "1ms", "--growth", "0", "--places", "1000"}
	return p
}

func measure(ctx context.Context, f *fleet.Fleet, set Settings, w io.Writer) error {
	doc := f.Document()
	r, err := direct.New(&doc)
	if err != nil {
		return err
	}
	defer func() { _ = r.Close() }()
	pid, ok := f.Pids()[f.Daemons()[0].Name]
	if !ok {
		return eris.New("the daemon does not run")
	}
	d := dial(f.Callers()[0])
	defer d.idle()
	m := &meter{set: set, direct: r, daemon: d, pid: pid, out: w}
	return m.all(ctx)
}
