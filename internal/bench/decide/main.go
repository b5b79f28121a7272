package decide

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// options are the command-line options of the benchmark.
type options struct {
	seed    uint64
	seconds int
	mode    string
	load    string
	rate    float64
	fault   string
	jobs    int
}

// Main runs the cases that the arguments select. It writes one line of JSON for
// each case and then a table, and returns an error if no case matches.
func Main(args []string, out io.Writer) error {
	o := options{seed: 1, seconds: 200, jobs: max(1, runtime.NumCPU()/3)}
	p := flaggy.NewParser("bench")
	p.Description = "Measures the decisions of the core against baselines, in injected time."
	p.UInt64(&o.seed, "s", "seed", "Seed of arrivals, losses and random choices")
	p.Int(&o.seconds, "t", "seconds", "Measured time of each case")
	p.String(&o.mode, "m", "mode", "Modes to run, separated by commas: "+strings.Join(Modes, ","))
	p.String(&o.load, "l", "load", "Load to run")
	p.Float64(&o.rate, "r", "rate", "Multiple of the capacity to run")
	p.String(&o.fault, "f", "faults", "Run only with faults (yes) or without (no)")
	p.Int(&o.jobs, "j", "jobs", "Cases to run at once")
	if err := p.ParseArgs(args); err != nil {
		return eris.Wrap(err, "read the arguments; run bench --help for the list")
	}
	cases := o.filter(Cases(o.seed, time.Duration(o.seconds)*time.Second))
	if len(cases) == 0 {
		return eris.New("no case matches the arguments; run bench --help for the list")
	}
	results := runAll(cases, o.jobs)
	Recoveries(results)
	enc := json.NewEncoder(out)
	for _, r := range results {
		if err := enc.Encode(r); err != nil {
			return eris.Wrap(err, "write the results")
		}
	}
	return Table(out, results)
}

func (o options) filter(all []Case) []Case {
	var kept []Case
	for _, c := range all {
		switch {
		case o.mode != "" && !strings.Contains(","+o.mode+",", ","+c.Mode+","):
		case o.load != "" && o.load != c.Load.Name:
		case o.rate != 0 && o.rate != c.Rate:
		case o.fault == "yes" && !c.Faults, o.fault == "no" && c.Faults:
		default:
			kept = append(kept, c)
		}
	}
	return kept
}

// runAll runs up to jobs cases concurrently and returns the results in the order
// of the cases.
func runAll(cases []Case, jobs int) []Result {
	results := make([]Result, len(cases))
	var g errgroup.Group
	g.SetLimit(max(jobs, 1))
	for i, c := range cases {
		g.Go(func() error {
			results[i] = Run(c)
			return nil
		})
	}
	_ = g.Wait()
	return results
}

// Table prints one row for each result. Rates are per second, Wasted and Busy in
// percent. It returns an error of the writer.
func Table(out io.Writer, results []Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "load\trate\tfaults\tmode\toffered/s\tgoodput/s\tworst/s\tlate/s\tslow/s\trefused/s\tfailed/s\twasted %\tbusy %\tfirst ms 50\t95\trecover s\t")
	for _, r := range results {
		recovered := "-"
		if r.Faults {
			recovered = fmt.Sprint(r.Recover)
		}
		fmt.Fprintf(w, "%s\t%.1f\t%v\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t%.0f\t%s\t\n",
			r.Load, r.Rate, r.Faults, r.Mode, r.Offered, r.Goodput, r.Worst, r.Late, r.Slow, r.Refused, r.Failed, 100*r.Wasted, 100*r.Busy, r.Median, r.High, recovered)
	}
	return w.Flush()
}
