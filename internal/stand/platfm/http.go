package platfm

import (
	"io"
	"net/http"
	"strconv"

	"github.com/pelletier/go-toml/v2"

	"citronrock.example/citronrock/internal/stand/serve"
	wire "citronrock.example/citronrock/internal/wire/platfm"
)

// largest is the limit of a value in bytes.
const largest = 1 << 20

// Fault is the state of the fault switches, as read and written at /fault. A
// POST changes the switches that its body names.
type Fault struct {
	// Down refuses all reads.
	Down bool `json:"down"`
	// Stale keeps showing what is visible now, also when more is published.
	Stale bool `json:"stale"`
	// Lag is the time until a published list is visible, in milliseconds.
	Lag int64 `json:"lag"`
	// Silent makes the connections that are open now fall silent, once.
	Silent bool `json:"silent,omitempty"`
}

// Instance is one entry of the list in JSON.
type Instance struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"`
	Address string `json:"address"`
	Peer    string `json:"peer,omitempty"`
	Domain  string `json:"domain"`
	State   string `json:"state"`
}

// List is the body of PUT /instances and the answer to GET /instances.
type List struct {
	Revision  uint64     `json:"revision,omitempty"`
	Instances []Instance `json:"instances"`
}

// putDocument publishes the body. The version is that of the document, or the
// query parameter version, so that invalid documents can be published too.
func (p *Platform) putDocument(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, largest))
	if err != nil {
		http.Error(w, "the document must not exceed a megabyte", http.StatusRequestEntityTooLarge)
		return
	}
	var head struct {
		Version uint64 `toml:"version"`
	}
	if q := r.URL.Query().Get("version"); q != "" {
		head.Version, err = strconv.ParseUint(q, 10, 64)
	} else {
		err = toml.Unmarshal(body, &head)
	}
	if err != nil || head.Version == 0 {
		http.Error(w, "the document has no version above 0", http.StatusBadRequest)
		return
	}
	p.PublishDocument(head.Version, body)
	serve.Reply(w, map[string]uint64{"version": head.Version})
}

func (p *Platform) putInstances(w http.ResponseWriter, r *http.Request) {
	var l List
	if !serve.Decode(w, r, &l) {
		return
	}
	list := make([]*wire.Instance, len(l.Instances))
	for i, n := range l.Instances {
		list[i] = &wire.Instance{
			Name: n.Name, Kind: n.Kind, Address: n.Address, Peer: n.Peer, Domain: n.Domain, State: n.State,
		}
	}
	serve.Reply(w, List{Revision: p.PublishInstances(list)})
}

func (p *Platform) getInstances(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	seen := p.seen.list
	p.mu.Unlock()
	l := List{Revision: seen.Revision}
	for _, n := range seen.Instances {
		l.Instances = append(l.Instances, Instance{
			Name: n.Name, Kind: n.Kind, Address: n.Address, Peer: n.Peer, Domain: n.Domain, State: n.State,
		})
	}
	serve.Reply(w, l)
}

func (p *Platform) serveFault(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	f := p.fault
	p.mu.Unlock()
	if !serve.Decode(w, r, &f) {
		return
	}
	if f.Silent && p.server != nil {
		p.server.Silence(r.Context())
	}
	f.Silent = false
	p.SetFault(f)
	serve.Reply(w, f)
}

// SetFault changes the fault switches. Silent works through /fault only.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.Stale && !f.Stale {
		p.seen = state{p.document, p.list}
	}
	p.fault = f
	p.wake()
}
