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

// parsedDocument is the value of a document's item.
type parsedDocument struct {
	parsed *policy.Document
	body   []byte
}

// do runs a step on the control goroutine. It returns false when the control loop
// has ended.
func (g *Group) do(f func(now time.Time, out []view.Output) []view.Output) bool {
	return g.control.Do(func(now time.Time) {
		g.step(func(out []view.Output) []view.Output { return f(now, out) })
	})
}

// step runs the machine, executes its outputs and schedules the next tick. It runs
// on the control goroutine.
func (g *Group) step(f func(out []view.Output) []view.Output) {
	outs := f(g.outputs[:0])
	g.outputs = nil
	for _, o := range outs {
		g.execOutput(o)
	}
	clear(outs)
	g.outputs = outs
	g.refreshStatus()
	if w := g.view.Wake(); !w.Equal(g.nextWake) {
		g.nextWake = w
		g.scheduleWake(w)
	}
}

// scheduleWake replaces the wake time of the timer goroutine.
func (g *Group) scheduleWake(w time.Time) {
	select {
	case <-g.wakeTimes:
	default:
	}
	select {
	case g.wakeTimes <- w:
	default:
	}
}

// timer runs the ticks until the Group is closed.
func (g *Group) timer() {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case w := <-g.wakeTimes:
			t.Reset(time.Until(w))
		case <-t.C:
			ran := g.do(func(now time.Time, out []view.Output) []view.Output {
				// If the timer fired early, the same wake time must be scheduled again.
				g.nextWake = time.Time{}
				return g.view.Tick(now, out)
			})
			if !ran {
				return
			}
		}
	}
}

// execOutput executes an output of the machine without blocking. Packets that
// don't fit the queue are dropped.
func (g *Group) execOutput(o view.Output) {
	switch o := o.(type) {
	case member.Send:
		select {
		case g.packetQueue <- o:
		default:
		}
	case member.Changed:
		g.updateStatus(func(s *Status) { s.Alive = o.Alive })
		g.callbacks.members(o.Alive, o.Running)
	case member.StrikeReceived:
		g.callbacks.strike(o.Strike)
	case member.Replaced:
		g.log.Error("another process runs under this name; stop one of the two", "name", g.settings.Name, "incarnation", o.Incarnation)
		g.updateStatus(func(s *Status) { s.Replaced = o.Incarnation })
	case dissem.Read:
		g.spawn(func() { g.execRead(o) })
	case dissem.Fetch:
		g.spawn(func() { g.execFetch(o) })
	case dissem.Adopted:
		g.adopt(o)
	}
}

func (g *Group) adopt(o dissem.Adopted) {
	g.link.SetVersions(g.view.Dissemination().Current(dissem.Document), g.view.Dissemination().Current(dissem.List))
	switch v := o.Item.Value.(type) {
	case *parsedDocument:
		g.cache.PutDocument(o.Item.Number, v.body)
		g.callbacks.document(v.parsed)
		// Ready reads the status, so that it must be set last.
		g.updateStatus(func(s *Status) { s.Version = o.Item.Number })
	case *view.DaemonList:
		l := v.Value.(event.Listed)
		g.cache.PutList(l.Revision, l.Instances)
		g.link.SetPeers(addresses(l))
		g.callbacks.listed(l)
		g.updateStatus(func(s *Status) { s.Revision = l.Revision })
	}
}

// refreshStatus copies the state of the machine to the status when it has changed.
func (g *Group) refreshStatus() {
	watching, listed := g.view.Dissemination().Watching(), g.view.Members().OnList()
	problem := ""
	if err := g.view.Dissemination().RejectErr(dissem.Document); err != nil {
		problem = err.Error()
	}
	s := g.status.Load()
	if s.Watching == watching && s.Listed == listed && s.Problem == problem {
		return
	}
	g.updateStatus(func(s *Status) { s.Watching, s.Listed, s.Problem = watching, listed, problem })
}

func (g *Group) updateStatus(f func(*Status)) {
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

// daemonList returns the daemons of an instance list.
func daemonList(l event.Listed) *view.DaemonList {
	r := &view.DaemonList{Value: l}
	for _, i := range l.Instances {
		if i.Kind == "daemon" {
			r.Daemons = append(r.Daemons, view.Daemon{Name: i.Name, Domain: i.Domain, Leaving: i.State != "live"})
		}
	}
	return r
}
