package tenant_test

import (
	"fmt"
	"runtime"
	"testing"

	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/tenant"
)

// planned is the number of client accounts that the router is designed for.
const planned = 11_000

func accounts(n int) []policy.Tenant {
	list := make([]policy.Tenant, n)
	for i := range list {
		list[i] = policy.Tenant{Name: fmt.Sprintf("account-%05d", i), Rate: 10, Burst: 20, MaxInFlight: 40, Weight: 1}
	}
	return list
}

// BenchmarkPublish measures the time to apply a document by the number of client
// accounts, and the memory for their limits.
func BenchmarkPublish(b *testing.B) {
	for _, n := range []int{100, 1000, planned} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			list := accounts(n)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			l := tenant.New()
			l.Publish(list)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				l.Publish(list)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/account")
			runtime.KeepAlive(l)
		})
	}
}
