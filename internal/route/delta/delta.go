// Package delta describes how one version of the configuration differs from an older
// one. Most versions change a few routes of thousands, so that a patch is a few hundred
// bytes where the document has hundreds of kilobytes.
package delta

import (
	"slices"

	"citronrock.example/citronrock/internal/route/config"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// maxPatchBytes bounds the decoded form of a patch.
const maxPatchBytes = 8 << 20

// Key identifies a route within a document.
type Key struct {
	Host   string `cbor:"1,keyasint"`
	Prefix string `cbor:"2,keyasint"`
}

// Patch is what has to be changed in a document of version Base, or of any version between
// it and Version, to get the document of Version.
type Patch struct {
	Base    uint64 `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	// Digest is that of the resulting document.
	Digest uint64 `cbor:"3,keyasint"`
	// Routes were added or changed, Removed are gone.
	Routes  []config.Route `cbor:"4,keyasint,omitempty"`
	Removed []Key          `cbor:"5,keyasint,omitempty"`
	// Services and Gone are the same for services.
	Services []config.Service `cbor:"6,keyasint,omitempty"`
	Gone     []string         `cbor:"7,keyasint,omitempty"`
	Limits   config.Limits    `cbor:"8,keyasint"`
	// Tenants were added or changed, Dropped names those that are gone. KeysRequired is
	// that of the resulting document.
	Tenants      []config.Tenant `cbor:"9,keyasint,omitempty"`
	Dropped      []string        `cbor:"10,keyasint,omitempty"`
	KeysRequired bool            `cbor:"11,keyasint,omitempty"`
}

// Size returns the number of changes.
func (p *Patch) Size() int {
	return len(p.Routes) + len(p.Removed) + len(p.Services) + len(p.Gone) + len(p.Tenants) + len(p.Dropped)
}

func keyOf(r *config.Route) Key { return Key{r.Host, r.Prefix} }

// index returns the routes by key, or false if two have the same one: patches can't
// describe the order of such routes.
func index(d *config.Document) (map[Key]*config.Route, bool) {
	out := make(map[Key]*config.Route, len(d.Routes))
	for i := range d.Routes {
		out[keyOf(&d.Routes[i])] = &d.Routes[i]
	}
	return out, len(out) == len(d.Routes)
}

// Diff returns the patch from an older document to a newer one. It returns nil if there
// is none.
func Diff(older, newer *config.Document) *Patch {
	if older == nil || newer == nil || older.Version >= newer.Version {
		return nil
	}
	before, ok := index(older)
	if !ok {
		return nil
	}
	after, ok := index(newer)
	if !ok {
		return nil
	}
	p := &Patch{Base: older.Version, Version: newer.Version, Digest: newer.Digest(), Limits: newer.Limits, KeysRequired: newer.KeysRequired}
	p.diffTenants(older, newer)
	for i := range newer.Routes {
		r := &newer.Routes[i]
		if old := before[keyOf(r)]; old == nil || !old.Equal(r) {
			p.Routes = append(p.Routes, *r)
		}
	}
	for i := range older.Routes {
		if key := keyOf(&older.Routes[i]); after[key] == nil {
			p.Removed = append(p.Removed, key)
		}
	}
	for name, s := range newer.Services {
		if old, ok := older.Services[name]; !ok || !old.Equal(s) {
			p.Services = append(p.Services, s)
		}
	}
	for name := range older.Services {
		if _, ok := newer.Services[name]; !ok {
			p.Gone = append(p.Gone, name)
		}
	}
	return p
}

// Apply returns the document that the patch makes of an older one. It fails if the patch
// doesn't fit that version, or if the result isn't the document that was compared.
func (p *Patch) Apply(d *config.Document) (*config.Document, error) {
	if d == nil || d.Version < p.Base || d.Version >= p.Version {
		return nil, eris.Errorf("patch from version %d to %d doesn't fit the configuration in force", p.Base, p.Version)
	}
	changed := make(map[Key]int, len(p.Routes)+len(p.Removed))
	for _, key := range p.Removed {
		changed[key] = -1
	}
	for i := range p.Routes {
		changed[keyOf(&p.Routes[i])] = i
	}
	routes := make([]config.Route, 0, len(d.Routes)+len(p.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		to, ok := changed[keyOf(r)]
		switch {
		case !ok:
			routes = append(routes, *r)
		case to >= 0:
			routes = append(routes, p.Routes[to])
		}
		delete(changed, keyOf(r))
	}
	for i := range p.Routes {
		if to, ok := changed[keyOf(&p.Routes[i])]; ok && to == i {
			routes = append(routes, p.Routes[i])
		}
	}
	out := config.New(p.Version, routes, services(d, p), p.Limits, p.tenants(d)...)
	if out.Digest() != p.Digest {
		return nil, eris.Errorf("patch from version %d to %d was made for another configuration", p.Base, p.Version)
	}
	return out, nil
}

// services returns the services of a document after a patch.
func services(d *config.Document, p *Patch) []config.Service {
	var out []config.Service
	for name, s := range d.Services {
		replaced := slices.ContainsFunc(p.Services, func(c config.Service) bool { return c.Name == name })
		if !replaced && !slices.Contains(p.Gone, name) {
			out = append(out, s)
		}
	}
	return append(out, p.Services...)
}

// merge returns the patch that has the effect of p and then of next. Both must follow
// each other: next.Base is p.Version or lies between p.Base and it.
func (p *Patch) merge(next *Patch) *Patch {
	out := &Patch{Base: p.Base, Version: next.Version, Digest: next.Digest, Limits: next.Limits, KeysRequired: next.KeysRequired,
		Routes: slices.Clone(next.Routes), Removed: slices.Clone(next.Removed),
		Services: slices.Clone(next.Services), Gone: slices.Clone(next.Gone)}
	known := make(map[Key]bool, next.Size())
	for i := range next.Routes {
		known[keyOf(&next.Routes[i])] = true
	}
	for _, key := range next.Removed {
		known[key] = true
	}
	for i := range p.Routes {
		if !known[keyOf(&p.Routes[i])] {
			out.Routes = append(out.Routes, p.Routes[i])
		}
	}
	for _, key := range p.Removed {
		if !known[key] {
			out.Removed = append(out.Removed, key)
		}
	}
	for _, s := range p.Services {
		if !slices.Contains(next.Gone, s.Name) && !slices.ContainsFunc(next.Services, func(c config.Service) bool { return c.Name == s.Name }) {
			out.Services = append(out.Services, s)
		}
	}
	for _, name := range p.Gone {
		if !slices.Contains(next.Gone, name) && !slices.ContainsFunc(next.Services, func(c config.Service) bool { return c.Name == name }) {
			out.Gone = append(out.Gone, name)
		}
	}
	p.mergeTenants(next, out)
	return out
}

// Encode returns the compressed form of a patch.
func (p *Patch) Encode() ([]byte, error) {
	body, err := cbor.Marshal(p)
	if err != nil {
		return nil, eris.Wrap(err, "cannot encode a patch of the configuration")
	}
	return Compress(body), nil
}

// Decode decodes the compressed form of a patch.
func Decode(body []byte) (*Patch, error) {
	plain, err := Expand(body, maxPatchBytes)
	if err != nil {
		return nil, eris.Wrap(err, "cannot expand a patch of the configuration")
	}
	p := new(Patch)
	if err := cbor.Unmarshal(plain, p); err != nil {
		return nil, eris.Wrap(err, "cannot decode a patch of the configuration")
	}
	return p, nil
}
