package config

import (
	"crypto/sha256"
	"slices"
)

// Unit is what the allowance of a tenant counts.
type Unit uint8

// Units of allowances.
const (
	// Requests counts each request as one.
	Requests Unit = iota
	// Tokens counts a request by the tokens that it states.
	Tokens
)

// KeyHash is the hash of an API key: the first bytes of its SHA-256. Documents hold no
// keys, so that none reaches other daemons, logs or status pages.
type KeyHash [16]byte

// HashKey returns the hash of an API key.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(sum[:len(KeyHash{})])
}

// Tenant is a client account.
type Tenant struct {
	Name string    `cbor:"1,keyasint"`
	Keys []KeyHash `cbor:"2,keyasint,omitempty"`
	// Rank is the priority, 0 the highest. It replaces that of the route if HasRank is set.
	Rank    int  `cbor:"3,keyasint,omitempty"`
	HasRank bool `cbor:"4,keyasint,omitempty"`
	// Rate is the allowance in units a second over all daemons, and Burst what may be used
	// beyond it at once. A Rate of zero means no limit.
	Rate  float64 `cbor:"5,keyasint,omitempty"`
	Burst float64 `cbor:"6,keyasint,omitempty"`
	Unit  Unit    `cbor:"7,keyasint,omitempty"`
	// PlainTokens is what a request counts that states no tokens, if Unit is Tokens.
	PlainTokens int `cbor:"8,keyasint,omitempty"`
}

// Cost returns what a request that states a number of tokens counts in units.
func (t *Tenant) Cost(tokens int) float64 {
	switch {
	case t.Unit == Requests:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return float64(t.PlainTokens)
}

// Equal reports whether two tenants are the same.
func (t *Tenant) Equal(o *Tenant) bool {
	return t.Name == o.Name && t.Rank == o.Rank && t.HasRank == o.HasRank && t.Rate == o.Rate && t.Burst == o.Burst &&
		t.Unit == o.Unit && t.PlainTokens == o.PlainTokens && slices.Equal(t.Keys, o.Keys)
}

// Option sets an optional part of a document.
type Option func(*Document)

// WithTenants sets the tenants. Requests have to carry a key of one of them, also if the
// list is empty.
func WithTenants(tenants []Tenant) Option {
	return func(d *Document) { d.Tenants, d.KeysRequired = tenants, true }
}

// Authenticate returns the tenant that holds the API key of a request, or false if it has
// no key, more than one, or one that no tenant holds. Keys are looked up by their hash, so
// that the time of the look-up tells nothing about other keys.
func (d *Document) Authenticate(keys []string) (*Tenant, bool) {
	if len(keys) != 1 || keys[0] == "" {
		return nil, false
	}
	t := d.tenantByKey[HashKey(keys[0])]
	return t, t != nil
}

// Tenant returns the tenant of a name, nil if there is none.
func (d *Document) Tenant(name string) *Tenant { return d.tenantByName[name] }

// indexTenants indexes the tenants by key and name. A key that two tenants have names
// neither: it would give one the rights of the other.
func (d *Document) indexTenants() {
	d.tenantByName = make(map[string]*Tenant, len(d.Tenants))
	d.tenantByKey = make(map[KeyHash]*Tenant, len(d.Tenants))
	for i := range d.Tenants {
		t := &d.Tenants[i]
		d.tenantByName[t.Name] = t
		for _, k := range t.Keys {
			if other, ok := d.tenantByKey[k]; ok && other != t {
				d.tenantByKey[k] = nil
				continue
			}
			d.tenantByKey[k] = t
		}
	}
}
