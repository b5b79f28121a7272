package demo

import (
	"testing"

	"citronrock.example/citronrock/internal/bench/load"
)

// Guards against a demo that passes although a call was executed twice, was answered
// without being executed, or was executed but reported as not run.
func TestMatch(t *testing.T) {
	cases := map[string]struct {
		outcome load.Outcome
		runs    int
		ok      bool
	}{
		"answered":         {load.Answered, 1, true},
		"answered, lost":   {load.Answered, 0, false},
		"answered, double": {load.Answered, 2, false},
		"not run":          {load.NotRun, 0, true},
		"not run, but ran": {load.NotRun, 1, false},
		"unknown, ran":     {load.Unknown, 1, true},
		"unknown, not run": {load.Unknown, 0, true},
		"unknown, double":  {load.Unknown, 2, false},
		"failed":           {load.Failed, 1, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			err := CheckRuns(map[string]load.Outcome{"x": c.outcome}, map[string]int{"x": c.runs})
			if (err == nil) != c.ok {
				t.Fatalf("error %v", err)
			}
		})
	}
}
