package config

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a hash of the content, without the version. It doesn't depend on the
// order of routes, services and tenants.
func (d *Document) Digest() uint64 {
	d.digestOnce.Do(func() {
		h := new(hash)
		h.numbers(int64(d.Limits.Header), int64(d.Limits.Body), int64(d.Limits.HeaderWait), int64(d.Limits.Idle))
		sum := h.sum()
		for i := range d.Routes {
			sum += d.Routes[i].hash(h)
		}
		for _, s := range d.Services {
			sum += s.hash(h)
		}
		for i := range d.Tenants {
			sum += d.Tenants[i].hash(h)
		}
		if d.KeysRequired {
			h.texts("keys")
			sum += h.sum()
		}
		d.digest = sum
	})
	return d.digest
}

// Equal reports whether two routes are the same.
func (r *Route) Equal(o *Route) bool {
	return r.Name == o.Name && r.Host == o.Host && r.Prefix == o.Prefix && r.Kind == o.Kind && r.Timeout == o.Timeout &&
		r.Target == o.Target && r.Gap == o.Gap && r.Rank == o.Rank && r.Attempts == o.Attempts && r.Resume == o.Resume &&
		r.Model == o.Model && r.Anonymous == o.Anonymous && slices.Equal(r.Splits, o.Splits)
}

// Equal reports whether two services are the same.
func (s Service) Equal(o Service) bool {
	if (s.Engine == nil) != (o.Engine == nil) || s.Engine != nil && *s.Engine != *o.Engine {
		return false
	}
	return s.Name == o.Name && s.Health == o.Health
}

// hash is a buffer for the fields of one part of a document.
type hash struct{ bytes []byte }

func (h *hash) numbers(all ...int64) {
	for _, n := range all {
		h.bytes = binary.AppendVarint(h.bytes, n)
	}
}

func (h *hash) texts(all ...string) {
	for _, s := range all {
		h.numbers(int64(len(s)))
		h.bytes = append(h.bytes, s...)
	}
}

// sum returns the hash of the fields and empties the buffer.
func (h *hash) sum() uint64 {
	defer func() { h.bytes = h.bytes[:0] }()
	return xxhash.Sum64(h.bytes)
}

func flag(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

func (r *Route) hash(h *hash) uint64 {
	h.texts("route", r.Name, r.Host, r.Prefix)
	h.numbers(int64(r.Kind), int64(r.Timeout), int64(r.Target), int64(r.Gap), int64(r.Rank), int64(r.Attempts), flag(r.Resume), flag(r.Model))
	for _, s := range r.Splits {
		h.texts(s.Service)
		h.numbers(int64(s.Weight))
	}
	if r.Anonymous { // daemons of an earlier version don't know the field
		h.texts("anonymous")
	}
	return h.sum()
}

func (t *Tenant) hash(h *hash) uint64 {
	h.texts("tenant", t.Name)
	h.numbers(int64(t.Rank), flag(t.HasRank), int64(math.Float64bits(t.Rate)), int64(math.Float64bits(t.Burst)), int64(t.Unit), int64(t.PlainTokens))
	for _, k := range t.Keys {
		h.texts(string(k[:]))
	}
	return h.sum()
}

func (s Service) hash(h *hash) uint64 {
	h.texts("service", s.Name, s.Health)
	if e := s.Engine; e != nil {
		h.numbers(int64(e.Slots), int64(e.Tokens), int64(e.Stride), int64(e.Handle), int64(e.Switch))
	}
	return h.sum()
}
