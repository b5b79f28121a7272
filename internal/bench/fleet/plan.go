package fleet

import (
	"fmt"
	"time"

	"citronrock.example/citronrock/internal/conf/policy"
)

// Plan describes the processes of a fleet. Start fills in the addresses.
type Plan struct {
	// Domains are the failure domains, assigned to the daemons in turn.
	Domains  []string
	Daemons  int
	Document policy.Document
	// Engine and Server are additional command-line arguments of the backend stand-ins.
	Engine, Server []string
	// Platform are additional command-line arguments of the platform stand-in.
	Platform []string
}

// milliseconds returns n ms in the document's type.
func milliseconds(n int) policy.Duration { return policy.Duration(time.Duration(n) * time.Millisecond) }

// Agentschap is the fleet of the lace wholesaler: 7 daemons, a cell of 4
// prefill and 6 decode engines of taalpost, 3 servers of bestelbalie.
func Agentschap() Plan {
	p := Plan{Domains: []string{"gent", "mechelen", "hasselt"}, Daemons: 7}
	p.Document = policy.Document{
		Version: 1,
		Tenants: []policy.Tenant{{Name: "agentschap", Rate: 1000, Burst: 2000, MaxInFlight: 4000, Weight: 1}},
		Services: []policy.Service{
			{
				Name: "taalpost", Kind: policy.KindModel, Model: "taal", TokenBytes: 16 << 10, LatencyTarget: milliseconds(3000), GapTarget: milliseconds(40),
				Priority: 5, Idempotent: true, Deferrable: true, MaxQueue: 500, WasteWeight: 0.3, RetryRatio: 0.1,
			},
			{
				Name: "bestelbalie", Kind: policy.KindPlain, LatencyTarget: milliseconds(500),
				Priority: 1, IdempotencyWindow: milliseconds(600000), RetryRatio: 0.1,
			},
		},
	}
	p.engines("taalpost", "gent-1", 4, 6)
	p.servers("bestelbalie", 3)
	return p
}

// XeNho is the fleet of the balance bike lender: 6 daemons, a cell of 3 prefill
// and 4 decode engines of letter-llm, 3 servers of counter-app.
func XeNho() Plan {
	p := Plan{Domains: []string{"thuduc", "binhthanh", "dian"}, Daemons: 6}
	p.Document = policy.Document{
		Version: 1,
		Tenants: []policy.Tenant{{Name: "xenho", Rate: 1000, Burst: 2000, MaxInFlight: 4000, Weight: 1}},
		Services: []policy.Service{
			{
				Name: "letter-llm", Kind: policy.KindModel, Model: "letter", TokenBytes: 16 << 10, LatencyTarget: milliseconds(4000), GapTarget: milliseconds(40),
				Priority: 5, Idempotent: true, Deferrable: true, MaxQueue: 500, WasteWeight: 0.8, RetryRatio: 0.1,
			},
			{
				Name: "counter-app", Kind: policy.KindPlain, LatencyTarget: milliseconds(500),
				Priority: 1, IdempotencyWindow: milliseconds(600000), RetryRatio: 0.1,
			},
		},
	}
	p.engines("letter-llm", "thuduc-1", 3, 4)
	p.servers("counter-app", 3)
	return p
}

func (p *Plan) engines(service, cell string, prefill, decode int) {
	for i := range prefill + decode {
		e := policy.Engine{
			Name: fmt.Sprintf("e%d", i+1), Service: service, Cell: cell, Role: policy.RolePrefill,
			Domain: p.Domains[i%len(p.Domains)], ChecksFencing: true,
		}
		if i >= prefill {
			e.Role = policy.RoleDecode
		}
		p.Document.Engines = append(p.Document.Engines, e)
	}
}

func (p *Plan) servers(service string, n int) {
	for i := range n {
		p.Document.Servers = append(p.Document.Servers, policy.Server{
			Name: fmt.Sprintf("s%d", i+1), Service: service, Domain: p.Domains[i%len(p.Domains)],
		})
	}
}
