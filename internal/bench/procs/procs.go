// Package procs measures goodput and wasted prefill of real processes under the
// workloads of both operators, through daemons and through a round-robin router, to
// show that the results of the simulations in bench/decide hold for real processes.
package procs

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"citronrock.example/citronrock/internal/bench/demo"
	"citronrock.example/citronrock/internal/bench/fleet"
	"citronrock.example/citronrock/internal/bench/load"
	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/stand/engine"
)

// idleTimeout bounds the time in which engines must be free after the last answer.
const idleTimeout = 15 * time.Second

// retries is how often a caller retries a refused or broken request.
const retries = 2

// Settings are the properties of a measurement.
type Settings struct {
	Bin, Work string
	Seed      uint64
	// Time is the period in which requests arrive, in each case.
	Time time.Duration
	// Load is the name of the workload to run; an empty one runs both.
	Load string
}

// Defaults returns the settings of script/bench --processes.
func Defaults() Settings {
	return Settings{Bin: "bin", Work: "out/procs", Seed: 1, Time: 12 * time.Second}
}

// workload is one operator's fleet with its request classes.
type workload struct {
	name    string
	plan    fleet.Plan
	classes []load.Class
}

func workloads() []workload {
	return []workload{
		{"agentschap", fleet.Agentschap(), load.Agentschap()},
		{"xenho", fleet.XeNho(), load.XeNho()},
	}
}

// loadFactors are the offered loads as multiples of Capacity.
var loadFactors = []float64{0.7, 1, 2}

// Case is the result of one workload, mode and load factor, printed as a JSON line.
type Case struct {
	Load string `json:"load"`
	// Mode is "daemons" or "robin".
	Mode string  `json:"mode"`
	Rate float64 `json:"rate"`
	Seed uint64  `json:"seed"`
	// Offered, Goodput and Worst are rates of model requests a second; Worst is the
	// goodput in the worst tenth of the run.
	Offered float64 `json:"offered"`
	Goodput float64 `json:"goodput"`
	Worst   float64 `json:"worst"`
	// Plain is the share of calls to plain services that met their latency target.
	Plain  float64 `json:"plain"`
	NotRun int     `json:"notrun"`
	Other  int     `json:"other"`
	// Wasted is the share of prefilled tokens whose KV cache was not used.
	Wasted float64 `json:"wasted"`
	Double int     `json:"double"`
}

// Run measures all cases. It prints a JSON line for each and a table at the end. It
// returns an error if the workload is unknown, engines still hold memory after a case
// or the executions of at-most-once calls contradict their outcomes.
func Run(ctx context.Context, set Settings, w io.Writer) error {
	var all []Case
	out := json.NewEncoder(w)
	for _, l := range workloads() {
		if set.Load != "" && set.Load != l.name {
			continue
		}
		for _, direct := range []bool{false, true} {
			for _, rate := range loadFactors {
				c, err := runCase(ctx, set, l, direct, rate)
				if err != nil {
					return eris.Wrapf(err, "%s at %g", l.name, rate)
				}
				all = append(all, c)
				if err := out.Encode(c); err != nil {
					return err
				}
			}
		}
	}
	if len(all) == 0 {
		return eris.Errorf("unknown load %q, want agentschap or xenho", set.Load)
	}
	return printTable(w, all)
}

// runCase runs a case in a fleet of its own, so that caches start cold in each.
func runCase(ctx context.Context, set Settings, l workload, direct bool, rate float64) (Case, error) {
	c := Case{Load: l.name, Mode: "daemons", Rate: rate, Seed: set.Seed}
	if direct {
		c.Mode = "robin"
	}
	f, err := fleet.Start(ctx, func(s *fleet.Settings) {
		s.Bin, s.Direct, s.Plan = set.Bin, direct, l.plan
		s.Work = fmt.Sprintf("%s/%s-%s-%g", set.Work, l.name, c.Mode, rate)
	})
	if f == nil {
		return c, err
	}
	if err == nil {
		err = measure(ctx, set, l, f, &c)
	}
	if stop := f.Close(); err == nil {
		err = stop
	}
	return c, err
}

func measure(ctx context.Context, set Settings, l workload, f *fleet.Fleet, c *Case) error {
	result, err := load.Run(ctx, f.Callers(), func(s *load.Settings) {
		s.Seed, s.Time, s.Classes, s.Retries = set.Seed, set.Time, l.classes, retries
		s.Rate = c.Rate * Capacity(l.plan, l.classes)
	})
	if err != nil {
		return err
	}
	if err := demo.WaitIdle(ctx, f, idleTimeout); err != nil {
		return err
	}
	total, err := f.Total(ctx)
	if err != nil {
		return err
	}
	c.addClasses(l.classes, result)
	c.Double = int(total.Duplicates)
	if total.Computed > 0 {
		c.Wasted = max(0, float64(total.Computed)-float64(total.Used)) / float64(total.Computed)
	}
	for path, calls := range result.AtMostOnce {
		runs, err := f.Runs(ctx, path)
		if err != nil {
			return err
		}
		if err := demo.CheckRuns(calls, runs); err != nil {
			return eris.Wrapf(err, "path %s", path)
		}
	}
	return nil
}

// addClasses adds up the statistics of the classes by the kind of their service.
func (c *Case) addClasses(classes []load.Class, result *load.Result) {
	var models []string
	plain, good := 0, 0
	for _, class := range classes {
		f := result.Classes[class.Name]
		if class.Path != "" {
			plain += f.Requests
			good += f.Good
			continue
		}
		models = append(models, class.Name)
		c.Offered += float64(f.Requests) / result.Time.Seconds()
		c.NotRun += f.Outcomes[load.NotRun]
		c.Other += f.Requests - f.Outcomes[load.NotRun] - f.Outcomes[load.Answered]
	}
	c.Goodput, c.Worst = result.Goodput(models...)
	if plain > 0 {
		c.Plain = float64(good) / float64(plain)
	}
}

// Capacity returns the arrivals a second that saturate the prefill engines if no
// prefix is cached. Cached prefixes raise the actual capacity.
func Capacity(p fleet.Plan, classes []load.Class) float64 {
	engines := 0
	for _, e := range p.Document.Engines {
		if e.Role == policy.RolePrefill {
			engines++
		}
	}
	tokens, weights := 0.0, 0.0
	for _, c := range classes {
		weights += c.Weight
		if c.Path == "" {
			// The mean of the log-normal distribution without its clamping.
			tokens += c.Weight * c.Prompt.Median * math.Exp(c.Prompt.Sigma*c.Prompt.Sigma/2)
		}
	}
	speed := float64(engine.Defaults().PrefillRate)
	return float64(engines) * speed * weights / tokens
}

func printTable(out io.Writer, all []Case) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join([]string{
		"load", "mode", "rate", "offered/s", "good/s", "worst/s", "plain good", "notrun", "other", "wasted", "double",
	}, "\t"))
	for _, c := range all {
		fmt.Fprintf(w, "%s\t%s\t%.1f\t%.2f\t%.2f\t%.2f\t%.1f%%\t%d\t%d\t%.2f%%\t%d\n",
			c.Load, c.Mode, c.Rate, c.Offered, c.Goodput, c.Worst, 100*c.Plain, c.NotRun, c.Other, 100*c.Wasted, c.Double)
	}
	return w.Flush()
}
