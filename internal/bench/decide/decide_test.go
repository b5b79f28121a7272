package decide

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/bench/loads"
)

// Guards against a simulation that isn't reproducible from its seed.
func TestRunsRepeat(t *testing.T) {
	for _, mode := range Modes {
		t.Run(mode, func(t *testing.T) {
			c := Case{Load: loads.Operators()[1], Mode: mode, Rate: 1.5, Faults: true, Seed: 3, Span: 5 * time.Second}
			a, b := Run(c), Run(c)
			if !reflect.DeepEqual(a, b) {
				t.Errorf("two runs differ:\n%+v\n%+v", a, b)
			}
			if a.Done == 0 {
				t.Errorf("no request was completed: %+v", a)
			}
		})
	}
}

// Guards against requests that are counted under no outcome or under two.
func TestOutcomesAddUp(t *testing.T) {
	r := Run(Case{Load: loads.Operators()[0], Mode: ModeCore, Rate: 1, Seed: 1, Span: 5 * time.Second})
	sum := r.Done + r.Refused + r.Failed
	if d := sum - r.Offered; d > 1e-6 || d < -1e-6 {
		t.Errorf("outcomes sum up to %v of %v", sum, r.Offered)
	}
}

// Guards against a recovery time that is computed from the wrong case or the
// wrong seconds.
func TestRecoveries(t *testing.T) {
	seconds := func(each int, first ...int) []int {
		counts := make([]int, 30)
		for i := range counts {
			counts[i] = each
			if i%10 < len(first) {
				counts[i] = first[i%10]
			}
		}
		return counts
	}
	all := []Result{
		{Mode: ModeCore, good: seconds(10)},
		{Mode: ModeTwo, good: seconds(2)},
		{Mode: ModeCore, Faults: true, good: seconds(10, 2, 9)},
		{Mode: ModeTwo, Faults: true, good: seconds(1)},
		{Mode: ModeLeast, Faults: true, good: seconds(1)},
	}
	Recoveries(all)
	if all[2].Recover != 2 || all[2].After[1] != 0.9 || all[3].Recover != -1 || all[4].After != nil {
		t.Errorf("got %+v", all[2:])
	}
}

// Guards against unknown arguments that are ignored, and filters that run other
// cases than asked for.
func TestMainRejectsUnknownCases(t *testing.T) {
	var out strings.Builder
	if err := Main([]string{"--mode", "none"}, &out); err == nil {
		t.Error("no error for a mode that doesn't exist")
	}
	if err := Main([]string{"-m", "two", "-l", "xenho", "-r", "0.7", "-f", "no", "-t", "5"}, &out); err != nil {
		t.Error(err)
	}
	if n := strings.Count(out.String(), "\n"); n != 3 {
		t.Errorf("%d lines, want one of JSON, a head and a row:\n%s", n, out.String())
	}
}
