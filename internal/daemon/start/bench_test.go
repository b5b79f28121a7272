package start_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"citronrock.example/citronrock/internal/daemon/admin"
	"citronrock.example/citronrock/internal/wire/caller"
)

func (f *fleet) status(i int) admin.Status {
	f.t.Helper()
	resp, err := f.client.Get("http://" + f.admins[i] + "/status")
	f.must(err)
	defer func() { _ = resp.Body.Close() }()
	var s admin.Status
	f.must(json.NewDecoder(resp.Body).Decode(&s))
	return s
}

// logStatus logs the status of each daemon, to diagnose failures that depend on
// timing.
func (f *fleet) logStatus() {
	for i := range f.daemons {
		s := f.status(i)
		f.t.Logf("%s: ready %t, members %v, cells %v, engines %+v", s.Name, s.Ready, s.Members, s.Cells, s.Engines)
	}
}

// BenchmarkControlBytes reports the control bytes per generate request between its
// edge daemon and the owner of its cell, by the length of the prompt.
// docs/CAPACITY.md computes the traffic of frames from it.
func BenchmarkControlBytes(b *testing.B) {
	for _, pieces := range []int{0, 1, 8} {
		b.Run(fmt.Sprintf("pieces=%d", pieces), func(b *testing.B) {
			f := newFleet(b, 2)
			edge := 0
			if f.status(0).Cells[0].Owner == "d1" {
				edge = 1
			}
			// Requests are sequential, so that no frame carries two of them.
			prompt := strings.Repeat("x", 8000*pieces+100)
			send := func(i int) {
				_, _, err := f.generate(context.Background(), edge, &caller.GenerateRequest{
					Head: head("taalpost"), Prompt: fmt.Sprintf("%06d%s", i, prompt), Max: 2,
				}, nil)
				f.must(err)
			}
			send(0)
			before := f.status(edge)
			n := 0
			for b.Loop() {
				n++
				send(n)
			}
			after := f.status(edge)
			b.ReportMetric(float64(after.In-before.In)/float64(n), "in-B/req")
			b.ReportMetric(float64(after.Out-before.Out)/float64(n), "out-B/req")
		})
	}
}
