package start

import (
	"time"

	"citronrock.example/citronrock/internal/daemon/admin"
)

// Status implements admin.Source. It waits for the control goroutine.
func (d *Daemon) Status() admin.Status {
	now := time.Now()
	peers := d.peers.Status()
	s := admin.Status{
		Name: d.settings.Name, Domain: d.settings.Domain, Incarnation: d.incarnation,
		Ready: d.Ready(), Draining: d.draining.Load(), Started: d.started,
		Version: peers.Version, Revision: peers.Revision, Problem: peers.Problem,
		Members: []admin.Member{}, Cells: []admin.Cell{}, Engines: []admin.Engine{}, Requests: []admin.Request{},
		Memory: memory(), In: peers.In, Out: peers.Out,
	}
	for name, incarnation := range peers.Alive {
		s.Members = append(s.Members, admin.Member{Name: name, Incarnation: incarnation, State: "alive"})
	}
	for _, r := range d.exec.Requests() {
		s.Requests = append(s.Requests, admin.Request{
			ID: r.ID, Tenant: r.Tenant, Service: r.Service, Age: now.Sub(r.Started),
		})
	}
	d.loop.Do(func(time.Time) { d.addOwned(&s) })
	return s
}

// addOwned adds the cells, and the engines that this daemon owns. It runs on the
// control goroutine.
func (d *Daemon) addOwned(s *admin.Status) {
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
