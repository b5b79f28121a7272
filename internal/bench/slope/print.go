package slope

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"
)

// Limits of the cost of membership and dissemination for each daemon of the
// planned fleet.
const (
	LimitCore  = 1.3  // percent of a core
	LimitHeap  = 32e3 // kilobytes
	LimitBytes = 15e3 // bytes a second
	LimitForce = 18.0 // seconds until a version is in force at all daemons
)

// Report runs a simulation of length d for each size, and the measurements over
// loopback and of the parts. It writes one line of JSON for each and then a table
// of the simulations, and returns an error of a measurement or the writer.
func Report(w io.Writer, seed uint64, sizes []int, d time.Duration) error {
	var all []Result
	for _, n := range sizes {
		f := Run(Case{Seed: seed, Daemons: n, Domains: domains(n), Time: d, Sizes: SizesOf(n)})
		all = append(all, f)
		if err := line(w, f); err != nil {
			return err
		}
	}
	for _, n := range []int{8, 24} {
		r, err := RunReal(n, 6, 10*time.Second)
		if err != nil {
			return err
		}
		if err := line(w, r); err != nil {
			return err
		}
	}
	parts, err := Parts(Planned)
	if err != nil {
		return err
	}
	for _, p := range parts {
		if err := line(w, p); err != nil {
			return err
		}
	}
	table(w, all)
	return nil
}

// domains returns the number of failure domains of a fleet of n daemons.
func domains(n int) int {
	if n < 12 {
		return 2
	}
	return 6
}

func line(w io.Writer, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s\n", raw)
	return err
}

func table(w io.Writer, all []Result) {
	fmt.Fprintf(w, "\n%d cores\n", runtime.NumCPU())
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "daemons\tcore %\theap KB\tin B/s\tout B/s\tbusiest B/s\twatcher B/s\treads/s\tforce s\tmax s\tloss s\tloss force s\tloss B/s\t")
	for _, f := range all {
		fmt.Fprintf(t, "%d\t%.4f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t\n", f.Daemons, f.Core, f.Heap,
			f.In, f.Out, f.Busiest, f.Watcher, f.Reads, f.Force, f.Forcemax, f.Lost, f.Lostforce, f.Lostpeak)
	}
	_ = t.Flush()
	if len(all) > 1 {
		core := fit(all, func(f Result) float64 { return f.Core })
		mem := fit(all, func(f Result) float64 { return f.Heap })
		net := fit(all, func(f Result) float64 { return f.In + f.Out })
		fmt.Fprintf(w, "\ncore %%   = %.5f + %.7f n\nheap KB  = %.1f + %.3f n\nbytes/s  = %.1f + %.3f n\n",
			core[0], core[1], mem[0], mem[1], net[0], net[1])
	}
}

// fit returns the intercept and the slope of the least-squares line of a result
// over the number of daemons.
func fit(all []Result, y func(Result) float64) [2]float64 {
	var n, sx, sy, sxx, sxy float64
	for _, f := range all {
		x := float64(f.Daemons)
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+y(f), sxx+x*x, sxy+x*y(f)
	}
	b := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return [2]float64{(sy - b*sx) / n, b}
}
