package load

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
)

// parts is the number of equal parts of a run, to find the worst.
const parts = 10

// Outcome is how a request ended for its caller.
type Outcome string

// Outcomes of requests.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "notrun"
	Unknown  Outcome = "unknown"
	Failed   Outcome = "failed"
	// Wrong is an answer that is not whole, not in order or not the request's own.
	Wrong Outcome = "wrong"
)

// ended is what is known of one request.
type ended struct {
	class   *Class
	outcome Outcome
	why     string
	at      time.Duration
	first   time.Duration
	gap     time.Duration
	tokens  uint32
	repeats int
	replays int
	sum     string
}

func (e *ended) good() bool {
	return e.outcome == Answered && e.first <= e.class.First && (e.class.Gap == 0 || e.gap <= e.class.Gap)
}

// ClassStats are the results of one class.
type ClassStats struct {
	Requests int             `json:"requests"`
	Outcomes map[Outcome]int `json:"outcomes"`
	Good     int             `json:"good"`
	Retries  int             `json:"repeats"`
	Replays  int             `json:"replays"`
	Tokens   uint64          `json:"tokens"`
	// Parts holds the good requests and all requests by tenth of the run, by
	// the time of their arrival.
	Parts [parts][2]int `json:"parts"`
	// First and Gap are times in milliseconds by quantile: 0.5, 0.95, 0.99. Gap
	// is the mean time between the tokens of one request.
	First [3]float64 `json:"first"`
	Gap   [3]float64 `json:"gap"`

	// FirstBins and GapBins are the histograms behind First and Gap: pairs of a
	// value in milliseconds, exact to 1%, and a count, in ascending order.
	FirstBins [][2]float64 `json:"firstbins"`
	GapBins   [][2]float64 `json:"gapbins"`

	first, gap *ddsketch.DDSketch
}

// Result is what a run came to.
type Result struct {
	Seed uint64        `json:"seed"`
	Time time.Duration `json:"time"`
	// Unsent counts arrivals that were left out since too many requests were open.
	Unsent  int                    `json:"unsent"`
	Classes map[string]*ClassStats `json:"classes"`
	// Failures describes the first wrong and failed answers.
	Failures []string `json:"wrongs,omitempty"`
	// Late describes the first requests that were answered and missed a target.
	Late []string `json:"late,omitempty"`
	// AtMostOnce holds the outcomes of calls that may not be repeated, by path and by
	// the hash of path and body that stand-ins count runs by.
	AtMostOnce map[string]map[string]Outcome `json:"-"`

	sent     atomic.Int64
	mu       sync.Mutex
	order    []string
	services map[string]string
}

func newResult(seed uint64, span time.Duration, classes []Class) *Result {
	r := &Result{Seed: seed, Time: span, Classes: map[string]*ClassStats{}, AtMostOnce: map[string]map[string]Outcome{}, services: map[string]string{}}
	for _, c := range classes {
		f := &ClassStats{Outcomes: map[Outcome]int{}}
		f.first, _ = ddsketch.NewDefaultDDSketch(0.01)
		f.gap, _ = ddsketch.NewDefaultDDSketch(0.01)
		r.Classes[c.Name] = f
		r.order = append(r.order, c.Name)
		r.services[c.Name] = c.Service
	}
	return r
}

func (r *Result) add(e *ended) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.Classes[e.class.Name]
	f.Requests++
	f.Outcomes[e.outcome]++
	f.Retries += e.repeats
	f.Replays += e.replays
	f.Tokens += uint64(e.tokens)
	part := min(parts-1, int(parts*e.at/max(1, r.Time)))
	f.Parts[part][1]++
	if e.good() {
		f.Good++
		f.Parts[part][0]++
	}
	if e.outcome == Answered {
		_ = f.first.Add(e.first.Seconds() * 1000)
		if e.gap > 0 {
			_ = f.gap.Add(e.gap.Seconds() * 1000)
		}
	}
	if e.outcome != Answered && len(r.Failures) < 20 {
		r.Failures = append(r.Failures, fmt.Sprintf("%s at %s: %s: %s", e.class.Name, e.at.Round(time.Millisecond), e.outcome, e.why))
	}
	if e.outcome == Answered && !e.good() && len(r.Late) < 20 {
		r.Late = append(r.Late, fmt.Sprintf("%s at %s: first after %s of %s, %d tokens with %s of %s between them, %d repeats", e.class.Name,
			e.at.Round(time.Millisecond), e.first.Round(time.Millisecond), e.class.First, e.tokens, e.gap.Round(100*time.Microsecond), e.class.Gap, e.repeats))
	}
	if e.class.AtMostOnce {
		if r.AtMostOnce[e.class.Path] == nil {
			r.AtMostOnce[e.class.Path] = map[string]Outcome{}
		}
		r.AtMostOnce[e.class.Path][e.sum] = e.outcome
	}
}

func (r *Result) close() {
	for _, f := range r.Classes {
		f.First = quantiles(f.first)
		f.Gap = quantiles(f.gap)
		f.FirstBins = bins(f.first)
		f.GapBins = bins(f.gap)
	}
}

func quantiles(s *ddsketch.DDSketch) (out [3]float64) {
	if v, err := s.GetValuesAtQuantiles([]float64{0.5, 0.95, 0.99}); err == nil {
		copy(out[:], v)
	}
	return out
}

func bins(s *ddsketch.DDSketch) [][2]float64 {
	out := [][2]float64{}
	s.ForEach(func(value, count float64) bool {
		out = append(out, [2]float64{value, count})
		return false
	})
	slices.SortFunc(out, func(a, b [2]float64) int { return cmp.Compare(a[0], b[0]) })
	return out
}

// ClassNames returns the names of the classes in the order of the workload.
func (r *Result) ClassNames() []string { return r.order }

// Service returns the service of a class.
func (r *Result) Service(class string) string { return r.services[class] }

// watch calls f each second until the returned function is called.
func (r *Result) watch(f func(sent, ended int)) (stop func()) {
	if f == nil {
		return func() {}
	}
	over, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		t := time.NewTicker(time.Second)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				f(int(r.sent.Load()), r.ended())
			case <-over:
				return
			}
		}
	}()
	return func() {
		close(over)
		<-done
	}
}

func (r *Result) ended() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, f := range r.Classes {
		n += f.Requests
	}
	return n
}

// Goodput returns the good requests a second, over the run and in the worst
// tenth of it, of the named classes or of all.
func (r *Result) Goodput(classes ...string) (mean, worst float64) {
	if len(classes) == 0 {
		classes = r.order
	}
	var good [parts]int
	for _, c := range classes {
		for i, p := range r.Classes[c].Parts {
			good[i] += p[0]
		}
	}
	total, least := 0, good[0]
	for _, g := range good {
		total += g
		least = min(least, g)
	}
	span := r.Time.Seconds()
	return float64(total) / span, float64(least) / span * parts
}

// Count returns the requests of all classes, and those with the given outcome.
func (r *Result) Count(o Outcome) (requests, count int) {
	for _, f := range r.Classes {
		requests += f.Requests
		count += f.Outcomes[o]
	}
	return requests, count
}

// Print writes a table with a line for each class.
func (r *Result) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "service\tclass\trequests\tanswered\tnotrun\tunknown\tfailed\twrong\trepeats\tgood\tgood/s\tworst/s\tfirst p50\tp99 ms\tgap p50\tp99 ms\t")
	for _, name := range r.order {
		f := r.Classes[name]
		mean, worst := r.Goodput(name)
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.0f\t%.0f\t%.1f\t%.1f\t\n",
			r.services[name], name, f.Requests, f.Outcomes[Answered], f.Outcomes[NotRun], f.Outcomes[Unknown], f.Outcomes[Failed],
			f.Outcomes[Wrong], f.Retries, f.Good, mean, worst, f.First[0], f.First[2], f.Gap[0], f.Gap[2])
	}
	return t.Flush()
}
