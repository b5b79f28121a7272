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

// parts is the number of equal time intervals that goodput is counted in.
const parts = 10

// Outcome is the result of a request as its caller sees it, after all retries.
type Outcome string

// Outcomes of requests. NotRun was certainly not executed, Unknown may have been
// executed, and Failed was executed or rejected with an error.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "notrun"
	Unknown  Outcome = "unknown"
	Failed   Outcome = "failed"
	// Wrong is an answer that is incomplete, out of order or doesn't match the request.
	Wrong Outcome = "wrong"
)

// sample is the measurement of one request.
type sample struct {
	class   *Class
	outcome Outcome
	cause   string
	at      time.Duration
	first   time.Duration
	gap     time.Duration
	tokens  uint32
	retries int
	replays int
	hash    string
}

// good reports whether the answer met the latency targets of its class.
func (s *sample) good() bool {
	return s.outcome == Answered && s.first <= s.class.First && (s.class.Gap == 0 || s.gap <= s.class.Gap)
}

// ClassStats are the statistics of one class.
type ClassStats struct {
	Requests int             `json:"requests"`
	Outcomes map[Outcome]int `json:"outcomes"`
	Good     int             `json:"good"`
	Retries  int             `json:"repeats"`
	Replays  int             `json:"replays"`
	Tokens   uint64          `json:"tokens"`
	// Parts counts the requests that met their targets and all requests, by the
	// tenth of the run in which they arrived.
	Parts [parts][2]int `json:"parts"`
	// First and Gap are the quantiles 0.5, 0.95 and 0.99 in milliseconds of the
	// time to the first token (or the response) and of the mean time between the
	// tokens of a request.
	First [3]float64 `json:"first"`
	Gap   [3]float64 `json:"gap"`

	// FirstBins and GapBins are the histograms of First and Gap: pairs of a value
	// in milliseconds, with a relative error of 1%, and a count, in ascending order.
	FirstBins [][2]float64 `json:"firstbins"`
	GapBins   [][2]float64 `json:"gapbins"`

	first, gap *ddsketch.DDSketch
}

// Result holds the statistics of a run.
type Result struct {
	Seed uint64        `json:"seed"`
	Time time.Duration `json:"time"`
	// Unsent counts the arrivals that were dropped at the limit of requests in flight.
	Unsent  int                    `json:"unsent"`
	Classes map[string]*ClassStats `json:"classes"`
	// Failures describes the first 20 requests that weren't answered correctly.
	Failures []string `json:"wrongs,omitempty"`
	// Late describes the first 20 requests that were answered but missed a target.
	Late []string `json:"late,omitempty"`
	// AtMostOnce holds the outcomes of calls that must not be executed twice, by
	// path and by the hash of path and body under which the stand-ins count runs.
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

func (r *Result) add(s *sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.Classes[s.class.Name]
	f.Requests++
	f.Outcomes[s.outcome]++
	f.Retries += s.retries
	f.Replays += s.replays
	f.Tokens += uint64(s.tokens)
	part := min(parts-1, int(parts*s.at/max(1, r.Time)))
	f.Parts[part][1]++
	if s.good() {
		f.Good++
		f.Parts[part][0]++
	}
	if s.outcome == Answered {
		_ = f.first.Add(s.first.Seconds() * 1000)
		if s.gap > 0 {
			_ = f.gap.Add(s.gap.Seconds() * 1000)
		}
	}
	if s.outcome != Answered && len(r.Failures) < 20 {
		r.Failures = append(r.Failures, fmt.Sprintf("%s at %s: %s: %s", s.class.Name, s.at.Round(time.Millisecond), s.outcome, s.cause))
	}
	if s.outcome == Answered && !s.good() && len(r.Late) < 20 {
		r.Late = append(r.Late, fmt.Sprintf("%s at %s: first after %s of %s, %d tokens with %s of %s between them, %d repeats", s.class.Name,
			s.at.Round(time.Millisecond), s.first.Round(time.Millisecond), s.class.First, s.tokens, s.gap.Round(100*time.Microsecond), s.class.Gap, s.retries))
	}
	if s.class.AtMostOnce {
		if r.AtMostOnce[s.class.Path] == nil {
			r.AtMostOnce[s.class.Path] = map[string]Outcome{}
		}
		r.AtMostOnce[s.class.Path][s.hash] = s.outcome
	}
}

func (r *Result) computeQuantiles() {
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

// ClassNames returns the class names in the order of the workload.
func (r *Result) ClassNames() []string { return r.order }

// Service returns the name of the service that a class is sent to.
func (r *Result) Service(class string) string { return r.services[class] }

// reportProgress calls f each second until the returned function is called, which
// waits for a call in progress.
func (r *Result) reportProgress(report func(sent, completed int)) (stop func()) {
	if report == nil {
		return func() {}
	}
	stopped, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		t := time.NewTicker(time.Second)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				report(int(r.sent.Load()), r.completed())
			case <-stopped:
				return
			}
		}
	}()
	return func() {
		close(stopped)
		<-done
	}
}

func (r *Result) completed() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, f := range r.Classes {
		n += f.Requests
	}
	return n
}

// Goodput returns the requests a second that met their latency targets, over the
// whole run and in its worst tenth, for the named classes or for all if none is named.
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

// Count returns the number of requests of all classes and how many had the outcome o.
func (r *Result) Count(o Outcome) (requests, count int) {
	for _, f := range r.Classes {
		requests += f.Requests
		count += f.Outcomes[o]
	}
	return requests, count
}

// Print writes a table with a row for each class, with times in milliseconds.
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
