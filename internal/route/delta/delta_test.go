package delta_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/delta"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// change returns a document that differs from an older one in some routes and services.
func change(random *rand.Rand, d *config.Document) *config.Document {
	var routes []config.Route
	for _, r := range d.Routes {
		switch random.IntN(10) {
		case 0: // removed
		case 1:
			r.Timeout += time.Second
			r.Splits = []config.Split{{Service: fmt.Sprint("s", random.IntN(5)), Weight: 1 + random.IntN(3)}}
			routes = append(routes, r)
		default:
			routes = append(routes, r)
		}
	}
	for range random.IntN(4) {
		routes = append(routes, config.Route{Host: "h", Prefix: fmt.Sprintf("/%d/", random.Uint32()), Model: random.IntN(2) == 0})
	}
	random.Shuffle(len(routes), func(i, j int) { routes[i], routes[j] = routes[j], routes[i] })
	var services []config.Service
	for i := range 5 {
		if random.IntN(5) > 0 {
			services = append(services, config.Service{Name: fmt.Sprint("s", i), Health: fmt.Sprint(random.IntN(2)), Engine: &config.Engine{Slots: random.IntN(2)}})
		}
	}
	return config.New(d.Version+1+random.Uint64N(3), routes, services, config.Limits{Body: random.IntN(3)})
}

// Guards against a daemon whose configuration, patched again and again from different
// versions, is another one than the operator has published.
func TestPatchesGiveThePublishedDocument(t *testing.T) {
	params := gopter.DefaultTestParameters()
	params.MinSuccessfulTests = 300
	params.Rng.Seed(31)
	properties := gopter.NewProperties(params)
	properties.Property("from any version in the log", prop.ForAll(func(seed uint64, steps int) bool {
		random := rand.New(rand.NewPCG(seed, 1))
		var log delta.Log
		all := []*config.Document{config.New(1, nil, nil, config.Limits{})}
		for range 20 {
			all[0] = change(random, all[0])
		}
		for range steps {
			next := change(random, all[len(all)-1])
			log.Add(all[len(all)-1], next)
			all = append(all, next)
		}
		newest := all[len(all)-1]
		for i, d := range all[:len(all)-1] {
			for _, p := range []*delta.Patch{log.Since(d.Version), delta.Diff(d, newest), log.Recent(100)} {
				if p == nil || p.Base > d.Version {
					continue
				}
				body, err := p.Encode()
				if err != nil {
					return false
				}
				if p, err = delta.Decode(body); err != nil {
					return false
				}
				if got, err := p.Apply(d); err != nil || got.Version != newest.Version || got.Digest() != newest.Digest() {
					t.Logf("seed %d, from the %d-th of %d: %v", seed, i, len(all), err)
					return false
				}
			}
			if log.Since(d.Version) == nil {
				t.Logf("seed %d: no patch from the %d-th of %d", seed, i, len(all))
				return false
			}
		}
		return log.Since(newest.Version) == nil
	}, gen.UInt64(), gen.IntRange(1, 12)))
	properties.TestingRun(t)
}

// Guards against a patch that is applied to a configuration it was not made for: the
// daemon would route by a mixture of two.
func TestPatchDoesNotFit(t *testing.T) {
	route := func(prefix string) config.Route { return config.Route{Host: "h", Prefix: prefix} }
	older := config.New(5, []config.Route{route("/a/")}, nil, config.Limits{})
	p := delta.Diff(older, config.New(7, []config.Route{route("/a/"), route("/b/")}, nil, config.Limits{}))
	cases := map[string]struct {
		to   *config.Document
		fits bool
	}{
		"its base":                    {older, true},
		"none":                        {nil, false},
		"an older version":            {config.New(4, older.Routes, nil, config.Limits{}), false},
		"the same version":            {config.New(7, older.Routes, nil, config.Limits{}), false},
		"another content":             {config.New(5, []config.Route{route("/c/")}, nil, config.Limits{}), false},
		"a version in between":        {config.New(6, older.Routes, nil, config.Limits{}), true},
		"other limits, which it sets": {config.New(5, older.Routes, nil, config.Limits{Body: 1}), true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if d, err := p.Apply(c.to); (err == nil) != c.fits {
				t.Errorf("document %v, error %v; want that it fits: %v", d, err, c.fits)
			}
		})
	}
}

// Guards against a patch between documents in which the order of two routes matters, and
// against one to an older version.
func TestNoPatch(t *testing.T) {
	twice := []config.Route{{Name: "x", Host: "h", Prefix: "/a/"}, {Name: "y", Host: "h", Prefix: "/a/"}}
	one, two := config.New(1, twice[:1], nil, config.Limits{}), config.New(2, twice, nil, config.Limits{})
	for name, c := range map[string][2]*config.Document{"two routes of one key": {one, two}, "older": {two, one}, "same": {one, one}, "nothing": {nil, one}} {
		if p := delta.Diff(c[0], c[1]); p != nil {
			t.Errorf("%s: patch %+v, want none", name, p)
		}
	}
}

// Guards against a log that grows with each version, and against a large patch in each
// update.
func TestLogIsBounded(t *testing.T) {
	var log delta.Log
	d := config.New(1, nil, nil, config.Limits{})
	for v := range uint64(200) {
		next := config.New(v+2, []config.Route{{Host: "h", Prefix: fmt.Sprint("/", v)}}, nil, config.Limits{})
		log.Add(d, next)
		d = next
	}
	if log.Since(100) != nil || log.Since(195) == nil {
		t.Errorf("the log reaches back to version 100, or not to 195 of 201")
	}
	if p := log.Recent(6); p == nil || p.Size() > 6 || p.Version != d.Version {
		t.Errorf("patch %+v, want six changes at most", p)
	}
	large := make([]config.Route, 3000)
	for i := range large {
		large[i] = config.Route{Host: "h", Prefix: fmt.Sprint("/", i)}
	}
	log.Add(d, config.New(300, large, nil, config.Limits{}))
	if log.Since(201) != nil || log.Recent(6) != nil {
		t.Error("the log holds a change of thousands of routes")
	}
}

// Guards against a body of a few bytes that takes all memory when it is expanded.
func TestExpandIsBounded(t *testing.T) {
	body := delta.Compress([]byte(strings.Repeat("x", 1<<20)))
	if _, err := delta.Expand(body, 1<<19); !errors.Is(err, delta.ErrTooLarge) {
		t.Errorf("error %v, want that it is too large", err)
	}
	if out, err := delta.Expand(body, 1<<20); err != nil || len(out) != 1<<20 {
		t.Errorf("%d bytes, error %v", len(out), err)
	}
	if _, err := delta.Decode([]byte("no patch")); err == nil {
		t.Error("bytes that are no patch were decoded")
	}
}
