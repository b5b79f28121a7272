package delay

import (
	"math"
	"testing"
	"time"
)

// Guards against processor time read from the wrong fields of /proc/PID/stat when
// the program's name contains blanks or parentheses.
func TestParseStat(t *testing.T) {
	const rest = " S 1 2 3 4 5 6 7 8 9 10 150 25 0 0 20 0 12 0 100"
	for name, c := range map[string]struct {
		text string
		want time.Duration
		ok   bool
	}{
		"plain":    {"42 (citronrockd)" + rest, 1750 * time.Millisecond, true},
		"blank":    {"42 (a b)" + rest, 1750 * time.Millisecond, true},
		"brackets": {"42 (a) S (b)" + rest, 1750 * time.Millisecond, true},
		"short":    {"42 (a) S 1 2", 0, false},
		"empty":    {"", 0, false},
		"no name":  {"42", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := parseStat([]byte(c.text))
			if got != c.want || (err == nil) != c.ok {
				t.Errorf("%s, %v, want %s", got, err, c.want)
			}
		})
	}
}

// Guards against a fit that doesn't separate the cost of requests from that of
// tokens.
func TestFit(t *testing.T) {
	const request, token, idle = 400e-6, 30e-6, 0.01
	var cases []cost
	for _, n := range []int64{8, 64, 320} {
		c := cost{Seconds: 10, Requests: 240000 / n, Tokens: 240000}
		c.CPU = request*float64(c.Requests) + token*float64(c.Tokens) + idle*c.Seconds
		cases = append(cases, c)
	}
	r, k := fit(cases, idle)
	if math.Abs(r/request-1) > 1e-6 || math.Abs(k/token-1) > 1e-6 {
		t.Errorf("%g and %g, want %g and %g", r, k, request, token)
	}
}
