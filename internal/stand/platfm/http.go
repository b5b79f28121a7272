package platfm

import (
	"io"
	"net/http"
	"strconv"

	"github.com/pelletier/go-toml/v2"

	"citronrock.example/citronrock/internal/stand/serve"
	wire "citronrock.example/citronrock/internal/wire/platfm"
)

// maxBody is the maximum size of a document in bytes.
const maxBody = 1 << 20

// Fault is the set of injected faults. A POST to /fault changes the fields that its
// JSON body has and returns the result.
type Fault struct {
	// Down fails all reads as unavailable.
	Down bool `json:"down"`
	// Stale freezes what readers see. Later publications become visible when it
	// ends.
	Stale bool `json:"stale"`
	// Lag is the time until a published instance list is visible, in milliseconds.
	Lag int64 `json:"lag"`
	// Silent mutes the connections that are open now, as a partition would. It
	// resets itself.
	Silent bool `json:"silent,omitempty"`
}

// Instance is one entry of the instance list, as the tools write and read it.
type Instance struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"`
	Address string `json:"address"`
	Peer    string `json:"peer,omitempty"`
	Domain  string `json:"domain"`
	State   string `json:"state"`
}

// List is the body of PUT /instances and of the response to GET /instances.
type List struct {
	Revision  uint64     `json:"revision,omitempty"`
	Instances []Instance `json:"instances"`
}

// putDocument publishes the body as the document. Its version is the query parameter
// version, so that a test can publish an invalid document, or else the one in the body.
func (p *Platform) putDocument(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
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
	visible := p.visible.list
	p.mu.Unlock()
	l := List{Revision: visible.Revision}
	for _, n := range visible.Instances {
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

// SetFault replaces the injected faults. Silent takes effect only through /fault.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.Stale && !f.Stale {
		p.visible = state{p.document, p.list}
	}
	p.fault = f
	p.notify()
}
