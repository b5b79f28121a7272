package start

import (
	"net/netip"
	"sync"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/back/engine"
	"citronrock.example/citronrock/internal/conf/policy"
)

// engines holds the clients of all engines in the document.
type engines struct {
	name        string
	incarnation uint64

	mu      sync.RWMutex
	clients map[string]*client
}

type client struct {
	*engine.Client
	addr netip.AddrPort
}

// publish creates clients for engines that are new or have a new address, and closes
// those of removed ones.
func (e *engines) publish(d *policy.Document) {
	e.mu.Lock()
	defer e.mu.Unlock()
	keep := make(map[string]bool, len(d.Engines))
	for _, en := range d.Engines {
		keep[en.Name] = true
		if c := e.clients[en.Name]; c != nil {
			if c.addr == en.Address {
				continue
			}
			c.Close()
		}
		e.clients[en.Name] = &client{
			Client: engine.New(en.Name, en.Address, engine.WithOrigin(e.name, e.incarnation)),
			addr:   en.Address,
		}
	}
	for name, c := range e.clients {
		if !keep[name] {
			c.Close()
			delete(e.clients, name)
		}
	}
}

// Engine implements exec.Engines.
func (e *engines) Engine(name string) (citronrock.Engine, string) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	c := e.clients[name]
	if c == nil {
		return nil, ""
	}
	return c, c.addr.String()
}

func (e *engines) find(name string) citronrock.Engine {
	c, _ := e.Engine(name)
	return c
}
