// Package procs measures goodput and wasted prefill of real processes under the
// workloads of both operators, through daemons and through a round robin router,
// to show that the figures of the decisions bench carry over.
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

// settling bounds the time in which engines must be free after the last answer.
const settling = 15 * time.Second

// repeats is how often a caller comes back after a refusal.
const repeats = 2

// Settings are the properties of a measurement.
type Settings struct {
	Bin, Work string
	Seed      uint64
	// Time is the time of arrivals in each case.
	Time time.Duration
	// Load names the only workload to run, empty for both.
	Load string
}

// Defaults returns the settings of script/bench --processes.
func Defaults() Settings {
	return Settings{Bin: "bin", Work: "out/procs", Seed: 1, Time: 12 * time.Second}
}

// workload is the traffic of one operator with its fleet.
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

// rates are the multiples of the capacity.
var rates = []float64{0.7, 1, 2}

// Case is the outcome of one case, as printed in a JSON line.
type Case struct {
	Load string `json:"load"`
	// Mode is "daemons" or "robin".
	Mode string  `json:"mode"`
	Rate float64 `json:"rate"`
	Seed uint64  `json:"seed"`
	// Offered, Goodput and Worst are requests of models a second; Worst is the
	// worst tenth of the run.
	Offered float64 `json:"offered"`
	Goodput float64 `json:"goodput"`
	Worst   float64 `json:"worst"`
	// Plain is the share of good calls to plain services.
	Plain  float64 `json:"plain"`
	NotRun int     `json:"notrun"`
	Other  int     `json:"other"`
	// Wasted is the share of prefill tokens whose result was not used.
	Wasted float64 `json:"wasted"`
	Double int     `json:"double"`
}

// Run measures all cases. It prints a JSON line for each and a table at the end,
// and returns an error when engines hold memory afterwards or calls ran twice.
func Run(ctx context.Context, set Settings, w io.Writer) error {
	var all []Case
	out := json.NewEncoder(w)
	for _, l := range workloads() {
		if set.Load != "" && set.Load != l.name {
			continue
		}
		for _, direct := range []bool{false, true} {
			for _, rate := range rates {
				c, err := one(ctx, set, l, direct, rate)
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
		return eris.Errorf("load %q is unknown; write agentschap or xenho", set.Load)
	}
	return table(w, all)
}

// one runs a case in a fleet of its own, so that caches start cold in each.
func one(ctx context.Context, set Settings, l workload, direct bool, rate float64) (Case, error) {
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
		s.Seed, s.Time, s.Classes, s.Retries = set.Seed, set.Time, l.classes, repeats
		s.Rate = c.Rate * Capacity(l.plan, l.classes)
	})
	if err != nil {
		return err
	}
	if err := demo.WaitIdle(ctx, f, settling); err != nil {
		return err
	}
	total, err := f.Total(ctx)
	if err != nil {
		return err
	}
	c.count(l.classes, result)
	c.Double = int(total.Double)
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

// count sums the figures of the classes by the kind of their service.
func (c *Case) count(classes []load.Class, result *load.Result) {
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

// Capacity returns the arrivals a second at which all prefill engines are busy
// when no prefix is cached. Cached prefixes raise the true capacity.
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
			// The mean of a log-normal distribution, its bounds left out.
			tokens += c.Weight * c.Prompt.Median * math.Exp(c.Prompt.Sigma*c.Prompt.Sigma/2)
		}
	}
	speed := float64(engine.Defaults().Speed)
	return float64(engines) * speed * weights / tokens
}

func table(out io.Writer, all []Case) error {
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
