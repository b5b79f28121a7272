package tenant_test

import (
	"testing"
	"time"

	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/tenant"
)

// Guards against a tenant that exceeds its share at one daemon, and against token
// buckets that are refilled by each document.
func TestLimits(t *testing.T) {
	list := func(rate float64, open int) []policy.Tenant {
		return []policy.Tenant{{Name: "a", Rate: rate, Burst: 3, MaxInFlight: open}}
	}
	cases := map[string]struct {
		rate  float64
		open  int
		alive int
		// again publishes the document once more before the last request.
		again    bool
		sent     int
		admitted int
	}{
		"burst":             {rate: 1, open: 100, alive: 1, sent: 5, admitted: 3},
		"open":              {rate: 100, open: 2, alive: 1, sent: 5, admitted: 2},
		"open, seven alive": {rate: 100, open: 7, alive: 7, sent: 5, admitted: 2},
		"published again":   {rate: 1, open: 100, alive: 1, again: true, sent: 5, admitted: 3},
		"no limits":         {sent: 5, alive: 1, admitted: 5},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_800_000_000, 0)
			l := tenant.New()
			l.Members(c.alive)
			l.Publish(list(c.rate, c.open))
			admitted := 0
			for range c.sent {
				if c.again {
					l.Publish(list(c.rate, c.open))
				}
				a := l.Find("a")
				if l.Admit(now, a) == 0 {
					a.Begin()
					admitted++
				}
			}
			if admitted != c.admitted {
				t.Errorf("%d of %d admitted, want %d", admitted, c.sent, c.admitted)
			}
		})
	}
}

// Guards against a rate that is not divided among the daemons that are alive.
func TestRateIsShared(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	l := tenant.New()
	l.Members(4)
	l.Publish([]policy.Tenant{{Name: "a", Rate: 40, Burst: 1}})
	a := l.Find("a")
	if wait := l.Admit(now, a); wait != 0 {
		t.Fatalf("the burst has to wait %v", wait)
	}
	if wait := l.Admit(now, a); wait != 100*time.Millisecond {
		t.Errorf("the next waits %v, want 100ms at a quarter of 40 a second", wait)
	}
}
