// Package load implements "citronrock load".
package load

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"citronrock.example/citronrock/internal/bench/load"
	"citronrock.example/citronrock/internal/cli/deps"
	"citronrock.example/citronrock/internal/cli/flags"
	"citronrock.example/citronrock/internal/cli/table"
)

const usage = "citronrock load [TRACE] --caller ADDRESS[,ADDRESS...] [--workload NAME] [--rate N] [--time T] [--count N] [--open N] [--seed N] [--repeats N] [--remote] [--json] [--out FILE] [--plot FILE]"

const help = `Send load to daemons and check the answers.

The load is an open loop: requests are sent at the times of a recorded trace, or at
random with a mean rate and the mix of a named workload, whether or not earlier ones were
answered. Answers are compared with those that the stand-in engines and servers give.
Load goes to loopback addresses only, unless --remote is given. The exit code is 1 when
an answer was wrong or no request was answered.

examples:
  citronrock load --caller 127.0.0.1:7001 --workload agentschap --rate 20 --time 15s
  citronrock load trace.jsonl --caller 127.0.0.1:7001,127.0.0.1:7002 --json
  citronrock load --caller 127.0.0.1:7001 --out report.json --plot first.png`

// Limits of a run.
const (
	maxTime  = time.Hour
	maxCount = 10_000_000 // requests
	maxOpen  = 100_000    // requests in flight
	maxRate  = 100_000    // requests per second
)

var workloads = map[string]func() []load.Class{"agentschap": load.Agentschap, "xenho": load.XeNho}

// Options holds the streams and the parsed flags of the command.
type Options struct {
	deps                       *deps.Factory
	daemons                    []string
	trace, workload, out, plot string
	rate                       float64
	duration                   time.Duration
	count, open, seed, repeats int
	remote, json               bool
}

// New parses the arguments of the command. Unknown flags, values out of range and
// addresses that need --remote give a *deps.UsageError; --help gives flags.ErrHelp.
func New(f *deps.Factory, args []string) (*Options, error) {
	o := &Options{
		deps: f, workload: "agentschap", rate: 20, duration: 10 * time.Second,
		count: 100_000, open: 2000, seed: 1, repeats: 3,
	}
	var callers string
	set := flags.New(usage, help)
	set.String(&callers, "caller", "ADDRESS", "addresses at which daemons accept callers, or CITRONROCK_CALLER")
	set.String(&o.workload, "workload", "NAME", "agentschap or xenho (default agentschap)")
	set.Float(&o.rate, "rate", "N", "mean arrivals per second (default 20); ignored with a trace")
	set.Duration(&o.duration, "time", "TIME", "how long requests arrive, up to 1h (default 10s)")
	set.Int(&o.count, "count", "N", "maximum number of arrivals (default 100000)")
	set.Int(&o.open, "open", "N", "maximum number of requests in flight (default 2000)")
	set.Int(&o.seed, "seed", "N", "seed of the random numbers (default 1)")
	set.Int(&o.repeats, "repeats", "N", "maximum retries of a request that was not answered (default 3)")
	set.Bool(&o.remote, "remote", "allow addresses that are not loopback addresses")
	set.Bool(&o.json, "json", "print the report as JSON")
	set.String(&o.out, "out", "FILE", "write the report as JSON to a file")
	set.String(&o.plot, "plot", "FILE", "write a plot of the times to first token as PNG to a file")
	set.Positional(&o.trace, "TRACE", false)
	if err := set.Parse(args, f.Out); err != nil {
		return nil, err
	}
	if err := o.check(); err != nil {
		return nil, &deps.UsageError{Usage: usage, Problem: err.Error()}
	}
	addrs, err := f.Addresses("caller", callers, "CITRONROCK_CALLER")
	if err != nil {
		return nil, err
	}
	return o, o.setDaemons(addrs)
}

func (o *Options) check() error {
	switch {
	case workloads[o.workload] == nil:
		return fmt.Errorf("unknown workload %q; the workloads are agentschap and xenho", o.workload)
	case !(o.rate > 0 && o.rate <= maxRate):
		return fmt.Errorf("rate %g is out of range; give a number above 0, up to %d", o.rate, maxRate)
	case o.duration <= 0 || o.duration > maxTime:
		return fmt.Errorf("time %s is out of range; give a time above 0, up to %s", o.duration, maxTime)
	case o.count < 1 || o.count > maxCount:
		return fmt.Errorf("count %d is out of range; give a number from 1 to %d", o.count, maxCount)
	case o.open < 1 || o.open > maxOpen:
		return fmt.Errorf("open %d is out of range; give a number from 1 to %d", o.open, maxOpen)
	case o.seed < 0:
		return fmt.Errorf("seed %d is negative; give 0 or a larger number", o.seed)
	case o.repeats < 0 || o.repeats > 100:
		return fmt.Errorf("repeats %d is out of range; give a number from 0 to 100", o.repeats)
	}
	return nil
}

// setDaemons sets the target addresses. It rejects those that are not loopback addresses
// unless --remote is given, so that a mistyped address puts no load on another machine.
func (o *Options) setDaemons(addrs []netip.AddrPort) error {
	for _, a := range addrs {
		if !o.remote && !a.Addr().Unmap().IsLoopback() {
			return &deps.UsageError{
				Usage:   usage,
				Problem: fmt.Sprintf("%s is not a loopback address; give --remote to send load there", a),
			}
		}
		o.daemons = append(o.daemons, a.String())
	}
	return nil
}

// Run sends the load and prints the report, also when ctx ends before all load was sent.
// It fails when an answer was wrong or no request was answered.
func Run(ctx context.Context, o *Options) error {
	trace, err := o.readTrace()
	if err != nil {
		return err
	}
	result, err := load.Run(ctx, o.daemons, func(s *load.Settings) {
		s.Seed, s.Classes, s.Rate, s.Time = uint64(o.seed), workloads[o.workload](), o.rate, o.duration
		s.Count, s.MaxInFlight, s.Retries, s.Trace = o.count, o.open, o.repeats, trace
		s.Progress = func(sent, ended int) {
			fmt.Fprintf(o.deps.Err, "%d requests sent, %d ended\n", sent, ended)
		}
	})
	if result == nil {
		return err
	}
	return errors.Join(err, o.report(result), checkResult(result))
}

func (o *Options) readTrace() (*load.Trace, error) {
	if o.trace == "" {
		return nil, nil
	}
	in, err := os.Open(o.trace)
	if err != nil {
		return nil, fmt.Errorf("can't read the trace: %w; check its path and permissions", err)
	}
	defer func() { _ = in.Close() }()
	t, err := load.ReadTrace(in)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", o.trace, err)
	}
	return t, nil
}

func (o *Options) report(r *load.Result) error {
	if o.out != "" {
		if err := writeReport(o.out, r); err != nil {
			return err
		}
	}
	if o.plot != "" {
		if err := plotFirstToken(o.plot, r); err != nil {
			return fmt.Errorf("can't write the plot: %w", err)
		}
	}
	for _, line := range r.Failures {
		fmt.Fprintln(o.deps.Err, line)
	}
	if o.json {
		return table.JSON(o.deps.Out, r)
	}
	return o.print(r)
}

func writeReport(file string, r *load.Result) error {
	f, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("can't write the report: %w; give a file in a writable directory", err)
	}
	return errors.Join(table.JSON(f, r), f.Close())
}

func (o *Options) print(r *load.Result) error {
	t := table.New("class", "service", "requests", "answered", "notrun", "unknown", "failed", "wrong",
		"repeats", "good", "good/s", "worst/s", "first p50", "first p99", "gap p50", "gap p99")
	for _, name := range r.ClassNames() {
		f := r.Classes[name]
		mean, worst := r.Goodput(name)
		t.Add(name, r.Service(name), f.Requests, f.Outcomes[load.Answered], f.Outcomes[load.NotRun],
			f.Outcomes[load.Unknown], f.Outcomes[load.Failed], f.Outcomes[load.Wrong], f.Retries, f.Good,
			fmt.Sprintf("%.2f", mean), fmt.Sprintf("%.2f", worst), millis(f.First[0]), millis(f.First[2]),
			millis(f.Gap[0]), millis(f.Gap[2]))
	}
	if err := t.Print(o.deps.Out, o.deps.Terminal); err != nil {
		return err
	}
	if r.Unsent > 0 {
		fmt.Fprintf(o.deps.Err, "%d arrivals were not sent since %d requests, the maximum, were in flight\n", r.Unsent, o.open)
	}
	return nil
}

func millis(v float64) string { return fmt.Sprintf("%.1fms", v) }

func checkResult(r *load.Result) error {
	requests, answered := r.Count(load.Answered)
	_, wrong := r.Count(load.Wrong)
	switch {
	case wrong > 0:
		return fmt.Errorf("%d of %d answers were wrong; see the lines above", wrong, requests)
	case answered == 0:
		return fmt.Errorf("none of %d requests was answered; check the addresses, the tenant and the services", requests)
	}
	return nil
}
