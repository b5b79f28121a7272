package decide

import (
	"math/rand/v2"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/wire/engine"
	"citronrock.example/citronrock/internal/wire/peer"
)

// chooser is a baseline: it answers each Ask of its own edge by a simple rule
// over the last reports, without an account of its own.
type chooser struct {
	mode    string
	rnd     *rand.Rand
	reports map[string]*engine.Report
	names   []string
	leaving map[string]bool
}

func newChooser(mode string, seed uint64) *chooser {
	return &chooser{
		mode: mode, rnd: rand.New(rand.NewPCG(seed, 3)),
		reports: map[string]*engine.Report{}, leaving: map[string]bool{},
	}
}

// Step implements citronrock.Machine.
func (c *chooser) Step(_ time.Time, e event.Event, out []event.Action) []event.Action {
	switch e := e.(type) {
	case event.Reported:
		if c.reports[e.Engine] == nil {
			c.names = append(c.names, e.Engine)
			slices.Sort(c.names)
		}
		c.reports[e.Engine] = e.Report
	case event.Unreachable:
		delete(c.reports, e.Engine)
		c.names = slices.DeleteFunc(c.names, func(n string) bool { return n == e.Engine })
	case event.Asked:
		return append(out, event.SendGrant{To: e.From, Grant: c.grant(e.Ask)})
	}
	return out
}

// Wake implements citronrock.Machine.
func (c *chooser) Wake() time.Time { return time.Time{} }

func (c *chooser) grant(a *peer.Ask) *peer.Grant {
	prefill := c.choose(a, policy.RolePrefill, func(r *engine.Report) int { return int(r.GetQueue()) })
	decode := c.choose(a, policy.RoleDecode, func(r *engine.Report) int { return -int(r.GetFree()) })
	g := &peer.Grant{Request: a.GetRequest(), Reason: "backend", After: 500}
	if prefill == nil || decode == nil {
		return g
	}
	wait := uint32(1000 * float64(prefill.GetQueue()) / float64(prefill.GetSpeed()))
	run := uint32(1000 * float64(a.GetTokens()) / float64(prefill.GetSpeed()))
	return &peer.Grant{
		Request: a.GetRequest(), Granted: true, Prefill: prefill.GetEngine(), Decode: decode.GetEngine(),
		Pieces: (a.GetTokens()+a.GetOutput()/2)/policy.BlockTokens + 1,
		// The edge sends the prefill at once and the engine queues it; the wait
		// is in the estimate of the first token only.
		First: wait + run, Queue: wait, Free: decode.GetFree(),
	}
}

// choose applies the rule to the engines of a role.
func (c *chooser) choose(a *peer.Ask, role string, load func(*engine.Report) int) *engine.Report {
	var open []*engine.Report
	for _, n := range c.names {
		if r := c.reports[n]; r.GetRole() == role && !slices.Contains(a.GetAvoid(), n) {
			open = append(open, r)
		}
	}
	if len(open) == 0 {
		return nil
	}
	switch c.mode {
	case ModeRandom:
		return open[c.rnd.IntN(len(open))]
	case ModeTwo:
		one, two := open[c.rnd.IntN(len(open))], open[c.rnd.IntN(len(open))]
		if load(two) < load(one) {
			return two
		}
		return one
	}
	return slices.MinFunc(open, func(x, y *engine.Report) int { return load(x) - load(y) })
}
