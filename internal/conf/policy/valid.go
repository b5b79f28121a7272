package policy

import (
	"fmt"
	"net/netip"
)

// MaxCellEngines is the largest number of engines in a cell. An owner's placement looks
// at each engine of a cell for each request.
const MaxCellEngines = 16

// maxName is the longest name in bytes.
const maxName = 63

// validName reports whether a name has 1 to 63 of a-z, 0-9, '.', '_' and '-',
// starting with a letter or a digit. It is a loop and not a regular expression
// since a document of the planned size has 13,000 names.
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
	return name != "" && len(name) <= maxName
}

type checker struct {
	file string
	out  Problems
}

func (c *checker) reject(what, remedy string) {
	c.out = append(c.out, Problem{File: c.file, What: what, Remedy: remedy})
}

func (c *checker) require(ok bool, what, remedy string) {
	if !ok {
		c.reject(what, remedy)
	}
}

// name checks the form of a name and that it is new in seen.
func (c *checker) name(kind, name string, seen map[string]bool) {
	if !validName(name) {
		c.reject(fmt.Sprintf("%s name %q is not valid", kind, name),
			"use 1 to 63 of a-z, 0-9, '.', '_' and '-', starting with a letter or a digit")
		return
	}
	if seen[name] {
		c.reject(fmt.Sprintf("%s name %q stands twice", kind, name), "give each a name of its own")
	}
	seen[name] = true
}

func validate(file string, d *Document) Problems {
	c := &checker{file: file}
	c.require(d.Version > 0, "version is missing", "write version = 1, or one more than the published one")
	c.tenants(d)
	services := c.services(d)
	backends := map[string]bool{}
	c.engines(d, services, backends)
	c.servers(d, services, backends)
	c.backed(d)
	return c.out
}

func (c *checker) tenants(d *Document) {
	c.require(len(d.Tenants) > 0, "there is no tenant", "add a [[tenant]] with name, rate, burst and open")
	seen := map[string]bool{}
	for _, t := range d.Tenants {
		c.name("tenant", t.Name, seen)
		if t.Rate > 0 && t.Burst >= 1 && t.MaxInFlight >= 1 && t.Weight > 0 {
			continue
		}
		of := fmt.Sprintf("tenant %q: ", t.Name)
		c.require(t.Rate > 0, of+"rate is missing", "write the requests a second, as in rate = 50.0")
		c.require(t.Burst >= 1, of+"burst is missing", "write the requests allowed at once, as in burst = 100")
		c.require(t.MaxInFlight >= 1, of+"open is missing", "write the open requests allowed, as in open = 200")
		c.require(t.Weight > 0, of+"weight is negative", "write a weight above 0")
	}
}

func (c *checker) services(d *Document) map[string]*Service {
	c.require(len(d.Services) > 0, "there is no service", "add a [[service]]")
	seen := map[string]bool{}
	byName := map[string]*Service{}
	for i := range d.Services {
		s := &d.Services[i]
		c.name("service", s.Name, seen)
		c.service(s)
		byName[s.Name] = s
	}
	return byName
}

func (c *checker) service(s *Service) {
	of := fmt.Sprintf("service %q: ", s.Name)
	c.require(s.LatencyTarget > 0, of+"target first is missing", `write a time, as in first = "450ms"`)
	c.require(s.WasteWeight >= 0 && s.WasteWeight <= 1, of+"waste is out of range", "write a number from 0 to 1")
	c.require(s.RetryRatio > 0 && s.RetryRatio <= 1, of+"retry is out of range", "write a share above 0, up to 1")
	c.require(s.MaxQueue >= 0, of+"queue is negative", "write a number of requests")
	c.require(!s.Deferrable || s.MaxQueue > 0, of+"a deferrable service needs a queue", "write queue = 200")
	c.require(s.IdempotencyWindow >= 0, of+"window is negative", `write a time, as in window = "10m"`)
	switch s.Kind {
	case KindModel:
		c.require(s.Model != "", of+"model is missing", `write the model's name, as in model = "lace-12b"`)
		c.require(s.GapTarget > 0, of+"target gap is missing", `write a time, as in gap = "32ms"`)
	case KindPlain:
		c.require(s.Model == "", of+"a plain service has no model", "remove model")
		c.require(s.TokenBytes == 0, of+"a plain service has no KV cache", "remove cache")
		c.require(!s.AllowOrders, of+"a plain service takes no orders", "remove orders")
		c.require(s.GapTarget == 0, of+"a plain service has no target gap", "remove gap")
		c.require(s.Idempotent || s.IdempotencyWindow > 0, of+"window is missing",
			`a service whose calls may not be repeated needs the time in which callers repeat, as in window = "10m"`)
	default:
		c.reject(of+fmt.Sprintf("kind %q is unknown", s.Kind), `write kind = "model" or kind = "plain"`)
	}
}

func (c *checker) engines(d *Document, services map[string]*Service, seen map[string]bool) {
	cells := map[string]string{}
	size := map[string]int{}
	for _, e := range d.Engines {
		c.name("backend", e.Name, seen)
		of := fmt.Sprintf("engine %q: ", e.Name)
		c.backend(of, e.Service, KindModel, services, e.Address, e.Domain)
		c.require(e.Role == RolePrefill || e.Role == RoleDecode || e.Role == RoleBoth,
			of+fmt.Sprintf("role %q is unknown", e.Role), `write "prefill", "decode" or "both"`)
		c.require(validName(e.Cell), of+"cell is missing",
			"write the name of its group, as in cell = \"taalpost-a\"")
		if s, ok := cells[e.Cell]; ok && s != e.Service {
			c.reject(of+fmt.Sprintf("cell %q belongs to service %q", e.Cell, s), "give the cells of each service other names")
		}
		cells[e.Cell] = e.Service
		size[e.Cell]++
		if size[e.Cell] == MaxCellEngines+1 {
			c.reject(fmt.Sprintf("cell %q has more than %d engines", e.Cell, MaxCellEngines), "split it into two cells")
		}
	}
	c.cells(d)
}

// cells checks that each cell can run a request from prefill to decode.
func (c *checker) cells(d *Document) {
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
		c.require(r.prefill, fmt.Sprintf("cell %q has no engine for prefill", name), `add one of role "prefill" or "both"`)
		c.require(r.decode, fmt.Sprintf("cell %q has no engine for decode", name), `add one of role "decode" or "both"`)
	}
}

func (c *checker) servers(d *Document, services map[string]*Service, seen map[string]bool) {
	for _, s := range d.Servers {
		c.name("backend", s.Name, seen)
		c.backend(fmt.Sprintf("server %q: ", s.Name), s.Service, KindPlain, services, s.Address, s.Domain)
	}
}

func (c *checker) backend(of, service, kind string, services map[string]*Service, addr netip.AddrPort, domain string) {
	s, ok := services[service]
	switch {
	case !ok:
		c.reject(of+fmt.Sprintf("service %q is not defined", service), "add the [[service]] or correct the name")
	case s.Kind != kind:
		c.reject(of+fmt.Sprintf("service %q is of kind %q", service, s.Kind),
			"list engines under services of kind model and servers under services of kind plain")
	}
	c.require(addr.IsValid(), of+"address is missing", `write an IP address and a port, as in address = "10.0.0.7:9000"`)
	c.require(domain != "", of+"domain is missing", `write its failure domain, as in domain = "gent"`)
}

func (c *checker) backed(d *Document) {
	have := map[string]bool{}
	for _, e := range d.Engines {
		have[e.Service] = true
	}
	for _, s := range d.Servers {
		have[s.Service] = true
	}
	for _, s := range d.Services {
		c.require(have[s.Name], fmt.Sprintf("service %q has no backend server", s.Name), "add an [[engine]] or a [[server]] for it")
	}
}
