package decide

import (
	"math"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/bench/fakes"
)

// Result is the result of a case. Offered, Goodput, Done, Late, Slow, Refused,
// Failed and Worst are requests per second; Rate is a multiple of Capacity.
type Result struct {
	Load   string  `json:"load"`
	Mode   string  `json:"mode"`
	Rate   float64 `json:"rate"`
	Faults bool    `json:"faults"`
	Seed   uint64  `json:"seed"`

	Offered float64 `json:"offered"`
	// Goodput counts the requests that met both latency targets: the time to first
	// token, missed by Late, and the mean time between tokens, missed by Slow.
	Goodput float64 `json:"goodput"`
	Done    float64 `json:"done"`
	Late    float64 `json:"late"`
	Slow    float64 `json:"slow"`
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
	// Worst is the goodput of the worst tenth of the run.
	Worst float64 `json:"worst"`
	// Wasted is the share of prefill time whose result was never decoded.
	Wasted float64 `json:"wasted"`
	// Busy is the utilization of the prefill engines, from 0 to 1.
	Busy float64 `json:"busy"`
	// Median and High are the 50th and 95th percentiles of the time to first token
	// of completed requests in milliseconds.
	Median float64 `json:"median"`
	High   float64 `json:"high"`
	// After is the goodput as a share of that without faults, for each second
	// since the last fault.
	After []float64 `json:"after,omitempty"`
	// Recover is the time in seconds from a fault to full goodput, or -1 if that
	// isn't reached before the next fault.
	Recover float64 `json:"recover"`
	// good counts the requests that met both targets, by second of arrival.
	good []int
}

// tenths is the number of parts of the run that Worst compares.
const tenths = 10

func (f *fleet) result(work fakes.Work) Result {
	c := f.c
	r := Result{Load: c.Load.Name, Mode: c.Mode, Rate: c.Rate, Faults: c.Faults, Seed: c.Seed}
	each := 1 / c.Span.Seconds()
	parts := make([]float64, tenths)
	var firsts []time.Duration
	for _, q := range f.records {
		if q.At < warmup {
			continue
		}
		r.Offered += each
		good := f.count(&r, q, each)
		if q.answered && q.kind == 0 {
			firsts = append(firsts, q.first-q.At)
		}
		if good {
			r.Goodput += each
			parts[min(tenths-1, int((q.At-warmup)*tenths/c.Span))] += tenths * each
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

// count adds a request to its outcome's rate and reports whether it met both
// targets.
func (f *fleet) count(r *Result, q *request, each float64) bool {
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

// bySecond counts the requests that met both targets for each second of arrival
// since the start of the run.
func (f *fleet) bySecond() []int {
	counts := make([]int, int((warmup+f.c.Span)/time.Second))
	for _, q := range f.records {
		var none Result
		if at := int(q.At / time.Second); at < len(counts) && f.count(&none, q, 1) {
			counts[at]++
		}
	}
	return counts
}

// fullGoodput is the share of the goodput without faults that counts as recovered.
const fullGoodput = 0.95

// Recoveries compares each case with faults to the one with the same arrivals and
// without faults. It sets After, and Recover to the time after which the goodput
// stays full until the next fault.
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
		for s := len(r.After) - 1; s >= 0 && r.After[s] >= fullGoodput; s-- {
			r.Recover = float64(s)
		}
	}
}

// shares divides the counts with faults by those without, summed by the seconds
// since the last fault. Faults happen at the end of the warm-up and then every
// faultEvery.
func shares(with, without []int) []float64 {
	n := int(faultEvery / time.Second)
	out := make([]float64, n)
	for s := range out {
		got, want := 0, 0
		for at := int(warmup/time.Second) + s; at < len(with); at += n {
			got += with[at]
			want += without[at]
		}
		out[s] = math.Round(1000*float64(got)/float64(max(want, 1))) / 1000
	}
	return out
}
