package policy

// FindTenant returns the tenant with that name, or nil.
func (d *Document) FindTenant(name string) *Tenant {
	for i := range d.Tenants {
		if d.Tenants[i].Name == name {
			return &d.Tenants[i]
		}
	}
	return nil
}

// FindService returns the service with that name, or nil.
func (d *Document) FindService(name string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}

// FindEngine returns the engine with that name, or nil.
func (d *Document) FindEngine(name string) *Engine {
	for i := range d.Engines {
		if d.Engines[i].Name == name {
			return &d.Engines[i]
		}
	}
	return nil
}
