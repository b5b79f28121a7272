package decide

import (
	"math"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/bench/fakes"
)

// Result holds the figures of a case. Times are in milliseconds, rates a second.
type Result struct {
	Load   string  `json:"load"`
	Mode   string  `json:"mode"`
	Rate   float64 `json:"rate"`
	Faults bool    `json:"faults"`
	Seed   uint64  `json:"seed"`

	Offered float64 `json:"offered"`
	// Goodput counts the requests that met both targets.
	Goodput float64 `json:"goodput"`
	Done    float64 `json:"done"`
	Late    float64 `json:"late"`
	Slow    float64 `json:"slow"`
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
	// Worst is the goodput of the worst tenth of the run.
	Worst float64 `json:"worst"`
	// Wasted is the share of prefill work without use.
	Wasted float64 `json:"wasted"`
	// Busy is the share of the prefill engines' time that was worked.
	Busy float64 `json:"busy"`
	// Median and High are the first-token times of completed requests at 50 and
	// at 95 of 100.
	Median float64 `json:"median"`
	High   float64 `json:"high"`
	// After is the share of the goodput without faults that is reached, by the
	// second since the last fault.
	After []float64 `json:"after,omitempty"`
	// Recover is the time in seconds from a fault to full goodput, -1 when that is
	// not reached before the next fault.
	Recover float64 `json:"recover"`
	// good counts the requests that met both targets by the second.
	good []int
}

// tenths is the number of parts that the worst is taken of.
const tenths = 10

func (f *fleet) figures(work fakes.Work) Result {
	c := f.c
	r := Result{Load: c.Load.Name, Mode: c.Mode, Rate: c.Rate, Faults: c.Faults, Seed: c.Seed}
	each := 1 / c.Span.Seconds()
	parts := make([]float64, tenths)
	var firsts []time.Duration
	for _, q := range f.records {
		if q.At < warm {
			continue
		}
		r.Offered += each
		good := f.count(&r, q, each)
		if q.answered && q.kind == 0 {
			firsts = append(firsts, q.first-q.At)
		}
		if good {
			r.Goodput += each
			parts[min(tenths-1, int((q.At-warm)*tenths/c.Span))] += tenths * each
		}
	}
	r.Worst = slices.Min(parts)
	if work.Total > 0 {
		r.Wasted = work.Wasted.Seconds() / work.Total.Seconds()
	}
	r.Busy = work.Total.Seconds() * each / float64(c.Load.Prefill)
	slices.Sort(firsts)
	if n := len(firsts); n > 0 {
		r.Median, r.High = millis(firsts[n/2]), millis(firsts[n*95/100])
	}
	r.good = f.bySecond()
	return r
}

func millis(d time.Duration) float64 { return math.Round(d.Seconds() * 1000) }

// count sorts a request by its outcome and reports whether it met its targets.
func (f *fleet) count(r *Result, q *record, each float64) bool {
	switch {
	case !q.answered || q.kind > 1:
		r.Failed += each
		return false
	case q.kind == 1:
		r.Refused += each
		return false
	}
	r.Done += each
	late := q.first-q.At > f.c.Load.First
	slow := q.tokens > 1 && (q.last-q.first)/time.Duration(q.tokens-1) > f.c.Load.Gap
	if late {
		r.Late += each
	}
	if slow {
		r.Slow += each
	}
	return !late && !slow
}

// bySecond returns the requests that met both targets by the second of arrival,
// from the start of the run.
func (f *fleet) bySecond() []int {
	counts := make([]int, int((warm+f.c.Span)/time.Second))
	for _, q := range f.records {
		var none Result
		if at := int(q.At / time.Second); at < len(counts) && f.count(&none, q, 1) {
			counts[at]++
		}
	}
	return counts
}

// full is the share of the goodput without faults that counts as full.
const full = 0.95

// Recoveries compares the cases with faults with the same arrivals without. It
// fills in the share of the goodput by the second since the last fault, and the
// time until it is full and stays so.
func Recoveries(all []Result) {
	type key struct {
		load, mode string
		rate       float64
		seed       uint64
	}
	base := map[key][]int{}
	for _, r := range all {
		if !r.Faults {
			base[key{r.Load, r.Mode, r.Rate, r.Seed}] = r.good
		}
	}
	for i := range all {
		r := &all[i]
		good := base[key{r.Load, r.Mode, r.Rate, r.Seed}]
		if !r.Faults || good == nil {
			continue
		}
		r.After = shares(r.good, good)
		r.Recover = -1
		for s := len(r.After) - 1; s >= 0 && r.After[s] >= full; s-- {
			r.Recover = float64(s)
		}
	}
}

// shares sums the counts by the second after each fault. Faults happen at the
// end of the warm-up and then at equal intervals.
func shares(with, without []int) []float64 {
	n := int(faultEvery / time.Second)
	out := make([]float64, n)
	for s := range out {
		got, want := 0, 0
		for at := int(warm/time.Second) + s; at < len(with); at += n {
			got += with[at]
			want += without[at]
		}
		out[s] = math.Round(1000*float64(got)/float64(max(want, 1))) / 1000
	}
	return out
}
