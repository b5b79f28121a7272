package delta

import "citronrock.example/citronrock/internal/route/config"

// diffTenants adds to the patch what differs in the tenants of two documents.
func (p *Patch) diffTenants(older, newer *config.Document) {
	for i := range newer.Tenants {
		t := &newer.Tenants[i]
		if old := older.Tenant(t.Name); old == nil || !old.Equal(t) {
			p.Tenants = append(p.Tenants, *t)
		}
	}
	for i := range older.Tenants {
		if name := older.Tenants[i].Name; newer.Tenant(name) == nil {
			p.Dropped = append(p.Dropped, name)
		}
	}
}

// tenants returns the options with the tenants of a document after the patch.
func (p *Patch) tenants(d *config.Document) []config.Option {
	if !p.KeysRequired {
		return nil
	}
	changed := p.changedTenants()
	out := make([]config.Tenant, 0, len(d.Tenants)+len(p.Tenants))
	for i := range d.Tenants {
		if !changed[d.Tenants[i].Name] {
			out = append(out, d.Tenants[i])
		}
	}
	return []config.Option{config.WithTenants(append(out, p.Tenants...))}
}

// changedTenants returns the names of the tenants that the patch changes.
func (p *Patch) changedTenants() map[string]bool {
	out := make(map[string]bool, len(p.Tenants)+len(p.Dropped))
	for i := range p.Tenants {
		out[p.Tenants[i].Name] = true
	}
	for _, name := range p.Dropped {
		out[name] = true
	}
	return out
}

// mergeTenants adds to out what p and then next change in the tenants.
func (p *Patch) mergeTenants(next, out *Patch) {
	changed := next.changedTenants()
	for i := range p.Tenants {
		if !changed[p.Tenants[i].Name] {
			out.Tenants = append(out.Tenants, p.Tenants[i])
		}
	}
	for _, name := range p.Dropped {
		if !changed[name] {
			out.Dropped = append(out.Dropped, name)
		}
	}
	out.Tenants = append(out.Tenants, next.Tenants...)
	out.Dropped = append(out.Dropped, next.Dropped...)
}
