package policy_test

import (
	"fmt"
	"strings"
	"testing"

	"citronrock.example/citronrock/internal/conf/policy"
)

// plannedDocument returns the TOML of a document of the planned size: 11,000
// tenants, 19 services and 1,900 engines.
func plannedDocument() []byte {
	var s strings.Builder
	s.WriteString("version = 1\n")
	for i := range 11_000 {
		fmt.Fprintf(&s, "[[tenant]]\nname = \"a%05d\"\nrate = 10.0\nburst = 20\nopen = 40\n", i)
	}
	for i := range 19 {
		fmt.Fprintf(&s, "[[service]]\nname = \"s%d\"\nkind = \"model\"\nmodel = \"m%d\"\nfirst = \"450ms\"\ngap = \"32ms\"\npriority = 1\nidempotent = true\n", i, i)
	}
	for i := range 1900 {
		role := policy.RoleDecode
		if i/19%3 == 0 {
			role = policy.RolePrefill
		}
		fmt.Fprintf(&s, "[[engine]]\nname = \"e%d\"\nservice = \"s%d\"\ncell = \"c%d-%d\"\nrole = %q\naddress = \"10.%d.%d.1:9000\"\ndomain = \"d%d\"\n",
			i, i%19, i%19, i/19/6, role, i/200, i%200, i%6)
	}
	return []byte(s.String())
}

// BenchmarkParse measures the time to parse a document of the planned size, which
// each daemon spends on each new version.
func BenchmarkParse(b *testing.B) {
	body := plannedDocument()
	for b.Loop() {
		if _, err := policy.Parse("planned", body); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(body)), "B/document")
}
