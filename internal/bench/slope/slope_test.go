package slope

import (
	"bytes"
	"math"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"citronrock.example/citronrock/internal/conf/policy"
)

// Guards against a simulation that violates an invariant or a limit of control
// cost, or in which a version or the loss of a failure domain takes too long to
// reach all daemons.
func TestRunOfASmallFleet(t *testing.T) {
	f := Run(Case{Seed: 1, Daemons: 12, Domains: 3, Time: 100 * time.Second, Sizes: SizesOf(12)})
	if f.Breaches > 0 || f.Packet > 1200 {
		t.Errorf("%d invariant violations, datagrams of up to %d bytes", f.Breaches, f.Packet)
	}
	if f.Forcemax > LimitForce || f.Lost > 30 || f.In+f.Out > LimitBytes || f.In == 0 || f.Reads == 0 {
		t.Errorf("a limit is exceeded or nothing was measured: %+v", f)
	}
}

// Guards against sizes measured on a document that a daemon would reject.
func TestDocumentIsTheForm(t *testing.T) {
	var d policy.Document
	if err := toml.NewDecoder(bytes.NewReader(Document(35, 9))).DisallowUnknownFields().Decode(&d); err != nil {
		t.Fatal(err)
	}
	if d.Version != 9 || len(d.Tenants) != 1100 || len(d.Engines) != 190 {
		t.Errorf("version %d, %d tenants, %d engines", d.Version, len(d.Tenants), len(d.Engines))
	}
	if n := len(Document(Planned, 9)); n > 1<<20 {
		t.Errorf("the document of the planned fleet has %d bytes, more than 1 MiB", n)
	}
}

// Guards against a wrong intercept or slope in the summary.
func TestFit(t *testing.T) {
	l := fit([]Result{{Daemons: 1, Heap: 5}, {Daemons: 2, Heap: 7}, {Daemons: 4, Heap: 11}}, func(f Result) float64 { return f.Heap })
	if math.Abs(l[0]-3) > 1e-9 || math.Abs(l[1]-2) > 1e-9 {
		t.Errorf("line %v", l)
	}
}
