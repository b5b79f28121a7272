package policy

import (
	"fmt"
	"net/netip"
)

// MaxCellEngines is the largest number of engines in a cell. It bounds the cost of
// placement, which considers each engine of the cell for each request.
const MaxCellEngines = 16

// maxNameBytes is the length limit of a name.
const maxNameBytes = 63

// validName reports whether a name has 1 to 63 of a-z, 0-9, '.', '_' and '-',
// starting with a letter or a digit. A loop is faster than a regular expression,
// and a document of the planned size has 13,000 names.
func validName(name string) bool {
	for i := range len(name) {
		c := name[i]
		switch {
		case 'a' <= c && c <= 'z', '0' <= c && c <= '9':
		case i > 0 && (c == '.' || c == '_' || c == '-'):
		default:
			return false
		}
	}
	return name != "" && len(name) <= maxNameBytes
}

type validator struct {
	file     string
	problems Problems
}

func (v *validator) reject(what, remedy string) {
	v.problems = append(v.problems, Problem{File: v.file, What: what, Remedy: remedy})
}

func (v *validator) require(ok bool, what, remedy string) {
	if !ok {
		v.reject(what, remedy)
	}
}

// name checks the form of a name and that it is not in seen, and adds it.
func (v *validator) name(kind, name string, seen map[string]bool) {
	if !validName(name) {
		v.reject(fmt.Sprintf("%s name %q is not valid", kind, name),
			"use 1 to 63 of a-z, 0-9, '.', '_' and '-', starting with a letter or a digit")
		return
	}
	if seen[name] {
		v.reject(fmt.Sprintf("%s name %q is used twice", kind, name), "use a unique name")
	}
	seen[name] = true
}

func validate(file string, d *Document) Problems {
	v := &validator{file: file}
	v.require(d.Version > 0, "version is missing", "write version = 1, or one more than the published version")
	v.tenants(d)
	services := v.services(d)
	backends := map[string]bool{}
	v.engines(d, services, backends)
	v.servers(d, services, backends)
	v.requireBackends(d)
	return v.problems
}

func (v *validator) tenants(d *Document) {
	v.require(len(d.Tenants) > 0, "there is no tenant", "add a [[tenant]] with name, rate, burst and open")
	seen := map[string]bool{}
	for _, t := range d.Tenants {
		v.name("tenant", t.Name, seen)
		if t.Rate > 0 && t.Burst >= 1 && t.MaxInFlight >= 1 && t.Weight > 0 {
			continue
		}
		of := fmt.Sprintf("tenant %q: ", t.Name)
		v.require(t.Rate > 0, of+"rate is missing", "write the requests per second, as in rate = 50.0")
		v.require(t.Burst >= 1, of+"burst is missing", "write the size of a burst in requests, as in burst = 100")
		v.require(t.MaxInFlight >= 1, of+"open is missing", "write the limit on concurrent requests, as in open = 200")
		v.require(t.Weight > 0, of+"weight is negative", "write a weight above 0")
	}
}

func (v *validator) services(d *Document) map[string]*Service {
	v.require(len(d.Services) > 0, "there is no service", "add a [[service]]")
	seen := map[string]bool{}
	byName := map[string]*Service{}
	for i := range d.Services {
		s := &d.Services[i]
		v.name("service", s.Name, seen)
		v.service(s)
		byName[s.Name] = s
	}
	return byName
}

func (v *validator) service(s *Service) {
	of := fmt.Sprintf("service %q: ", s.Name)
	v.require(s.LatencyTarget > 0, of+"target first is missing", `write a duration, as in first = "450ms"`)
	v.require(s.WasteWeight >= 0 && s.WasteWeight <= 1, of+"waste is out of range", "write a number from 0 to 1")
	v.require(s.RetryRatio > 0 && s.RetryRatio <= 1, of+"retry is out of range", "write a share above 0, up to 1")
	v.require(s.MaxQueue >= 0, of+"queue is negative", "write a number of requests")
	v.require(!s.Deferrable || s.MaxQueue > 0, of+"a deferrable service needs a queue", "write queue = 200")
	v.require(s.IdempotencyWindow >= 0, of+"window is negative", `write a duration, as in window = "10m"`)
	switch s.Kind {
	case KindModel:
		v.require(s.Model != "", of+"model is missing", `write the model's name, as in model = "lace-12b"`)
		v.require(s.GapTarget > 0, of+"target gap is missing", `write a duration, as in gap = "32ms"`)
	case KindPlain:
		v.require(s.Model == "", of+"a plain service has no model", "remove model")
		v.require(s.TokenBytes == 0, of+"a plain service has no KV cache", "remove cache")
		v.require(!s.AllowOrders, of+"a plain service takes no orders", "remove orders")
		v.require(s.GapTarget == 0, of+"a plain service has no target gap", "remove gap")
		v.require(s.Idempotent || s.IdempotencyWindow > 0, of+"window is missing",
			`a service that is not idempotent needs the time in which callers may retry a call with the same key, as in window = "10m"`)
	default:
		v.reject(of+fmt.Sprintf("kind %q is unknown", s.Kind), `write kind = "model" or kind = "plain"`)
	}
}

func (v *validator) engines(d *Document, services map[string]*Service, seen map[string]bool) {
	cells := map[string]string{}
	size := map[string]int{}
	for _, e := range d.Engines {
		v.name("backend", e.Name, seen)
		of := fmt.Sprintf("engine %q: ", e.Name)
		v.backend(of, e.Service, KindModel, services, e.Address, e.Domain)
		v.require(e.Role == RolePrefill || e.Role == RoleDecode || e.Role == RoleBoth,
			of+fmt.Sprintf("role %q is unknown", e.Role), `write "prefill", "decode" or "both"`)
		v.require(validName(e.Cell), of+"cell is missing",
			"write the name of the engine's cell, as in cell = \"taalpost-a\"")
		if s, ok := cells[e.Cell]; ok && s != e.Service {
			v.reject(of+fmt.Sprintf("cell %q belongs to service %q", e.Cell, s), "use different cell names for each service")
		}
		cells[e.Cell] = e.Service
		size[e.Cell]++
		if size[e.Cell] == MaxCellEngines+1 {
			v.reject(fmt.Sprintf("cell %q has more than %d engines", e.Cell, MaxCellEngines), "split it into two cells")
		}
	}
	v.requirePhases(d)
}

// requirePhases checks that each cell has engines for both prefill and decode.
func (v *validator) requirePhases(d *Document) {
	type roles struct{ prefill, decode bool }
	have := map[string]*roles{}
	var order []string
	for _, e := range d.Engines {
		r := have[e.Cell]
		if r == nil {
			r = &roles{}
			have[e.Cell] = r
			order = append(order, e.Cell)
		}
		r.prefill = r.prefill || e.Role != RoleDecode
		r.decode = r.decode || e.Role != RolePrefill
	}
	for _, name := range order {
		r := have[name]
		v.require(r.prefill, fmt.Sprintf("cell %q has no engine for prefill", name), `add one of role "prefill" or "both"`)
		v.require(r.decode, fmt.Sprintf("cell %q has no engine for decode", name), `add one of role "decode" or "both"`)
	}
}

func (v *validator) servers(d *Document, services map[string]*Service, seen map[string]bool) {
	for _, s := range d.Servers {
		v.name("backend", s.Name, seen)
		v.backend(fmt.Sprintf("server %q: ", s.Name), s.Service, KindPlain, services, s.Address, s.Domain)
	}
}

func (v *validator) backend(of, service, kind string, services map[string]*Service, addr netip.AddrPort, domain string) {
	s, ok := services[service]
	switch {
	case !ok:
		v.reject(of+fmt.Sprintf("service %q is not defined", service), "add the [[service]] or correct the name")
	case s.Kind != kind:
		v.reject(of+fmt.Sprintf("service %q is of kind %q", service, s.Kind),
			"list engines under services of kind model and servers under services of kind plain")
	}
	v.require(addr.IsValid(), of+"address is missing", `write an IP address and a port, as in address = "10.0.0.7:9000"`)
	v.require(domain != "", of+"domain is missing", `write its failure domain, as in domain = "gent"`)
}

// requireBackends checks that each service has at least one backend server.
func (v *validator) requireBackends(d *Document) {
	have := map[string]bool{}
	for _, e := range d.Engines {
		have[e.Service] = true
	}
	for _, s := range d.Servers {
		have[s.Service] = true
	}
	for _, s := range d.Services {
		v.require(have[s.Name], fmt.Sprintf("service %q has no backend server", s.Name), "add an [[engine]] or a [[server]] for it")
	}
}
