package slope

import (
	"bytes"
	"math"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"citronrock.example/citronrock/internal/conf/policy"
)

// Guards against a report whose runs breach what must hold, or that misses a
// version or a lost failure domain.
func TestRunOfASmallFleet(t *testing.T) {
	f := Run(Case{Seed: 1, Daemons: 12, Domains: 3, Time: 100 * time.Second, Sizes: SizesOf(12)})
	if f.Breaches > 0 || f.Packet > 1200 {
		t.Errorf("%d breaches, packets of %d bytes", f.Breaches, f.Packet)
	}
	if f.Forcemax > LimitForce || f.Lost > 30 || f.In+f.Out > LimitBytes || f.In == 0 || f.Reads == 0 {
		t.Errorf("figures: %+v", f)
	}
}

// Guards against sizes taken from a document that no daemon would accept.
func TestDocumentIsTheForm(t *testing.T) {
	var d policy.Document
	if err := toml.NewDecoder(bytes.NewReader(Document(35, 9))).DisallowUnknownFields().Decode(&d); err != nil {
		t.Fatal(err)
	}
	if d.Version != 9 || len(d.Tenants) != 1100 || len(d.Engines) != 190 {
		t.Errorf("version %d, %d tenants, %d engines", d.Version, len(d.Tenants), len(d.Engines))
	}
	if n := len(Document(Planned, 9)); n > 1<<20 {
		t.Errorf("the document of the planned size has %d bytes", n)
	}
}

func TestFit(t *testing.T) {
	l := fit([]Figures{{Daemons: 1, Heap: 5}, {Daemons: 2, Heap: 7}, {Daemons: 4, Heap: 11}}, func(f Figures) float64 { return f.Heap })
	if math.Abs(l[0]-3) > 1e-9 || math.Abs(l[1]-2) > 1e-9 {
		t.Errorf("line %v", l)
	}
}
