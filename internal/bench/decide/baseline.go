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

// baseline places requests by a simple rule on the last load reports. It grants
// each lease request of its own edge at once and doesn't count granted leases.
type baseline struct {
	mode    string
	rnd     *rand.Rand
	reports map[string]*engine.Report
	names   []string
	leaving map[string]bool
}

func newBaseline(mode string, seed uint64) *baseline {
	return &baseline{
		mode: mode, rnd: rand.New(rand.NewPCG(seed, 3)),
		reports: map[string]*engine.Report{}, leaving: map[string]bool{},
	}
}

// Step implements citronrock.Machine.
func (b *baseline) Step(_ time.Time, e event.Event, out []event.Action) []event.Action {
	switch e := e.(type) {
	case event.Reported:
		if b.reports[e.Engine] == nil {
			b.names = append(b.names, e.Engine)
			slices.Sort(b.names)
		}
		b.reports[e.Engine] = e.Report
	case event.Unreachable:
		delete(b.reports, e.Engine)
		b.names = slices.DeleteFunc(b.names, func(n string) bool { return n == e.Engine })
	case event.Asked:
		return append(out, event.SendGrant{To: e.From, Grant: b.grant(e.Ask)})
	}
	return out
}

// Wake implements citronrock.Machine.
func (b *baseline) Wake() time.Time { return time.Time{} }

func (b *baseline) grant(a *peer.Ask) *peer.Grant {
	prefill := b.pick(a, policy.RolePrefill, func(r *engine.Report) int { return int(r.GetQueue()) })
	decode := b.pick(a, policy.RoleDecode, func(r *engine.Report) int { return -int(r.GetFree()) })
	g := &peer.Grant{Request: a.GetRequest(), Reason: "backend", After: 500}
	if prefill == nil || decode == nil {
		return g
	}
	wait := uint32(1000 * float64(prefill.GetQueue()) / float64(prefill.GetSpeed()))
	run := uint32(1000 * float64(a.GetTokens()) / float64(prefill.GetSpeed()))
	return &peer.Grant{
		Request: a.GetRequest(), Granted: true, Prefill: prefill.GetEngine(), Decode: decode.GetEngine(),
		Pieces: (a.GetTokens()+a.GetOutput()/2)/policy.BlockTokens + 1,
		// The edge starts the prefill at once and the engine queues it, so that the
		// queueing delay only enters the predicted time to first token.
		First: wait + run, Queue: wait, Free: decode.GetFree(),
	}
}

// pick chooses an engine of a role by the rule, nil if there is none.
func (b *baseline) pick(a *peer.Ask, role string, load func(*engine.Report) int) *engine.Report {
	var open []*engine.Report
	for _, n := range b.names {
		if r := b.reports[n]; r.GetRole() == role && !slices.Contains(a.GetAvoid(), n) {
			open = append(open, r)
		}
	}
	if len(open) == 0 {
		return nil
	}
	switch b.mode {
	case ModeRandom:
		return open[b.rnd.IntN(len(open))]
	case ModeTwo:
		one, two := open[b.rnd.IntN(len(open))], open[b.rnd.IntN(len(open))]
		if load(two) < load(one) {
			return two
		}
		return one
	}
	return slices.MinFunc(open, func(x, y *engine.Report) int { return load(x) - load(y) })
}
