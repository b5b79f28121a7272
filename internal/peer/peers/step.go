package peers

import (
	"net/netip"
	"time"

	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/peer/dissem"
	"citronrock.example/citronrock/internal/peer/member"
	"citronrock.example/citronrock/internal/peer/view"
)

// document is the value of a document's item.
type document struct {
	parsed *policy.Document
	body   []byte
}

// do runs a step on the control goroutine.
func (g *Group) do(f func(now time.Time, out []view.Output) []view.Output) bool {
	return g.control.Do(func(now time.Time) {
		g.step(func(out []view.Output) []view.Output { return f(now, out) })
	})
}

// step runs the machine, carries out what it asks for and plans the next tick.
func (g *Group) step(f func(out []view.Output) []view.Output) {
	outs := f(g.outs[:0])
	g.outs = nil
	for _, o := range outs {
		g.carry(o)
	}
	clear(outs)
	g.outs = outs
	g.note()
	if w := g.view.Wake(); !w.Equal(g.wake) {
		g.wake = w
		g.plan(w)
	}
}

// plan hands the newest wake time to the timer.
func (g *Group) plan(w time.Time) {
	select {
	case <-g.wakes:
	default:
	}
	select {
	case g.wakes <- w:
	default:
	}
}

// timer runs the ticks.
func (g *Group) timer() {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case w := <-g.wakes:
			t.Reset(time.Until(w))
		case <-t.C:
			ran := g.do(func(now time.Time, out []view.Output) []view.Output {
				// The same wake time has to be planned again when the timer was early.
				g.wake = time.Time{}
				return g.view.Tick(now, out)
			})
			if !ran {
				return
			}
		}
	}
}

// carry carries an output out. It never blocks.
func (g *Group) carry(o view.Output) {
	switch o := o.(type) {
	case member.Send:
		select {
		case g.packets <- o:
		default:
		}
	case member.Changed:
		g.update(func(s *Status) { s.Alive = o.Alive })
		g.on.members(o.Alive, o.Running)
	case member.StrikeReceived:
		g.on.strike(o.Strike)
	case member.Replaced:
		g.log.Error("another process runs under this name; stop one of the two", "name", g.set.Name, "incarnation", o.Incarnation)
		g.update(func(s *Status) { s.Replaced = o.Incarnation })
	case dissem.Read:
		g.goes(func() { g.read(o) })
	case dissem.Fetch:
		g.goes(func() { g.ask(o) })
	case dissem.Adopted:
		g.took(o)
	}
}

func (g *Group) took(o dissem.Adopted) {
	g.link.SetVersions(g.view.Dissemination().Current(dissem.Document), g.view.Dissemination().Current(dissem.List))
	switch v := o.Item.Value.(type) {
	case *document:
		g.store.PutDocument(o.Item.Number, v.body)
		g.on.document(v.parsed)
		// Readiness follows from the status, so that it must come last.
		g.update(func(s *Status) { s.Version = o.Item.Number })
	case *view.DaemonList:
		l := v.Value.(event.Listed)
		g.store.PutList(l.Revision, l.Instances)
		g.link.SetPeers(addresses(l))
		g.on.listed(l)
		g.update(func(s *Status) { s.Revision = l.Revision })
	}
}

// note keeps the status current.
func (g *Group) note() {
	watching, listed := g.view.Dissemination().Watching(), g.view.Members().OnList()
	problem := ""
	if err := g.view.Dissemination().RejectErr(dissem.Document); err != nil {
		problem = err.Error()
	}
	s := g.status.Load()
	if s.Watching == watching && s.Listed == listed && s.Problem == problem {
		return
	}
	g.update(func(s *Status) { s.Watching, s.Listed, s.Problem = watching, listed, problem })
}

func (g *Group) update(f func(*Status)) {
	s := *g.status.Load()
	f(&s)
	g.status.Store(&s)
}

func addresses(l event.Listed) map[string]netip.AddrPort {
	addrs := map[string]netip.AddrPort{}
	for _, i := range l.Instances {
		if i.Kind != "daemon" {
			continue
		}
		if at, err := netip.ParseAddrPort(i.Peer); err == nil {
			addrs[i.Name] = at
		}
	}
	return addrs
}

// roster returns the daemons of a list.
func roster(l event.Listed) *view.DaemonList {
	r := &view.DaemonList{Value: l}
	for _, i := range l.Instances {
		if i.Kind == "daemon" {
			r.Daemons = append(r.Daemons, view.Daemon{Name: i.Name, Domain: i.Domain, Leaving: i.State != "live"})
		}
	}
	return r
}
