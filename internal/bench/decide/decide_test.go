package decide

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/bench/loads"
)

// Guards against figures that differ from run to run.
func TestRunsRepeat(t *testing.T) {
	for _, mode := range Modes {
		t.Run(mode, func(t *testing.T) {
			c := Case{Load: loads.Operators()[1], Mode: mode, Rate: 1.5, Faults: true, Seed: 3, Span: 5 * time.Second}
			a, b := Run(c), Run(c)
			if !reflect.DeepEqual(a, b) {
				t.Errorf("two runs differ:\n%+v\n%+v", a, b)
			}
			if a.Done == 0 {
				t.Errorf("nothing was done: %+v", a)
			}
		})
	}
}

// Guards against outcomes that are lost or counted twice.
func TestOutcomesAddUp(t *testing.T) {
	r := Run(Case{Load: loads.Operators()[0], Mode: ModeCore, Rate: 1, Seed: 1, Span: 5 * time.Second})
	sum := r.Done + r.Refused + r.Failed
	if d := sum - r.Offered; d > 1e-6 || d < -1e-6 {
		t.Errorf("outcomes sum up to %v of %v", sum, r.Offered)
	}
}

// Guards against a recovery time that is taken from the wrong case.
func TestRecoveries(t *testing.T) {
	all := []Result{
		{Load: "a", Mode: ModeCore, Rate: 1, Goodput: 10},
		{Load: "a", Mode: ModeTwo, Rate: 1, Goodput: 1},
		{Load: "a", Mode: ModeCore, Rate: 1, Faults: true, After: []float64{2, 9, 10, 9.6}},
		{Load: "a", Mode: ModeTwo, Rate: 1, Faults: true, After: []float64{2, 2, 2, 0}},
	}
	Recoveries(all)
	if all[2].Recover != 2 || all[3].Recover != -1 {
		t.Errorf("recoveries are %v and %v, want 2 and -1", all[2].Recover, all[3].Recover)
	}
}

// Guards against arguments that silently run something else.
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
