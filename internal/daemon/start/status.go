package start

import (
	"time"

	"citronrock.example/citronrock/internal/daemon/admin"
)

// Status implements admin.Source.
func (d *Daemon) Status() admin.Status {
	now := time.Now()
	g := d.group.Status()
	s := admin.Status{
		Name: d.settings.Name, Domain: d.settings.Domain, Incarnation: d.number,
		Ready: d.Ready(), Draining: d.drain.Load(), Started: d.started,
		Version: g.Version, Revision: g.Revision, Problem: g.Problem,
		Members: []admin.Member{}, Cells: []admin.Cell{}, Engines: []admin.Engine{}, Requests: []admin.Request{},
		Memory: memory(), In: g.In, Out: g.Out,
	}
	for name, number := range g.Alive {
		s.Members = append(s.Members, admin.Member{Name: name, Incarnation: number, State: "alive"})
	}
	for _, r := range d.exec.Requests() {
		s.Requests = append(s.Requests, admin.Request{
			ID: r.ID, Tenant: r.Tenant, Service: r.Service, Age: now.Sub(r.Started),
		})
	}
	d.loop.Do(func(time.Time) { d.owned(&s) })
	return s
}

// owned adds the cells and the engines that this daemon accounts for. It runs on
// the control goroutine.
func (d *Daemon) owned(s *admin.Status) {
	for _, c := range d.cell.Status().Cells {
		s.Cells = append(s.Cells, admin.Cell{Name: c.Name, Owner: c.Owner, Leases: c.Grants})
		for _, e := range c.Engines {
			s.Engines = append(s.Engines, admin.Engine{
				Name: e.Name, Cell: c.Name, Role: e.Role, State: e.State,
				Pieces: e.Pieces, Free: e.Free, Busy: uint32(e.Runs), Queue: e.Queue,
			})
		}
	}
}
