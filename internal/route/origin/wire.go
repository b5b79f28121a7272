package origin

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/route/pool"
)

// maxVersions is the number of versions in a reply: two are enough to show that there is
// not only one.
const maxVersions = 2

// Attempts and versions are opaque, so that they go as bytes. Times go as remaining
// milliseconds, as clocks differ.

// record is an origin that its receiver is to hold.
type record struct {
	// Number identifies the call at the sender; the confirmation has the same.
	Number  uint64 `cbor:"1,keyasint"`
	Attempt []byte `cbor:"2,keyasint"`
	Service []byte `cbor:"3,keyasint"`
	// Version is empty if it is unknown for good.
	Version []byte `cbor:"4,keyasint,omitempty"`
	Left    uint32 `cbor:"5,keyasint"`
}

// confirmation tells that its sender holds a record.
type confirmation struct {
	Number uint64 `cbor:"1,keyasint"`
	// Contested is set if the sender knows the version as unknown for good.
	Contested bool `cbor:"2,keyasint,omitempty"`
}

// query asks for the record of an attempt, and for the history of a service.
type query struct {
	Number  uint64 `cbor:"1,keyasint"`
	Attempt []byte `cbor:"2,keyasint,omitempty"`
	Service []byte `cbor:"3,keyasint"`
}

// reply answers a query: with a record if Known, else with the history if Complete.
type reply struct {
	Number   uint64   `cbor:"1,keyasint"`
	Known    bool     `cbor:"2,keyasint,omitempty"`
	Service  []byte   `cbor:"3,keyasint,omitempty"`
	Version  []byte   `cbor:"4,keyasint,omitempty"`
	Left     uint32   `cbor:"5,keyasint,omitempty"`
	Versions [][]byte `cbor:"6,keyasint,omitempty"`
	Complete bool     `cbor:"7,keyasint,omitempty"`
	// Era and Revision are the store's revision up to which the history is complete.
	Era      uint64 `cbor:"8,keyasint,omitempty"`
	Revision uint64 `cbor:"9,keyasint,omitempty"`
}

func left(now, until time.Time) uint32 {
	return uint32(min(max(until.Sub(now), 0), MaxAhead) / time.Millisecond)
}

func until(now time.Time, left uint32) time.Time {
	return now.Add(time.Duration(left) * time.Millisecond)
}

// subscribe sets the handlers of the group's messages.
func (g *Group) subscribe() {
	g.socket.Handle(dgram.OriginRecord, func(from netip.AddrPort, body []byte) {
		var m record
		if g.socket.Decode(body, &m) {
			g.onRecord(from, m)
		}
	})
	g.socket.Handle(dgram.OriginConfirm, func(from netip.AddrPort, body []byte) {
		var m confirmation
		if g.socket.Decode(body, &m) {
			g.onConfirm(from, m)
		}
	})
	g.socket.Handle(dgram.OriginQuery, func(from netip.AddrPort, body []byte) {
		var m query
		if g.socket.Decode(body, &m) {
			g.onQuery(from, m)
		}
	})
	g.socket.Handle(dgram.OriginReply, func(from netip.AddrPort, body []byte) {
		var m reply
		if g.socket.Decode(body, &m) {
			g.onReply(from, m)
		}
	})
}

// onRecord holds the record of another daemon and confirms that.
func (g *Group) onRecord(from netip.AddrPort, m record) {
	now := time.Now()
	g.mu.Lock()
	o, ok := g.table.Put(now, Origin{Attempt: string(m.Attempt), Service: string(m.Service), Version: string(m.Version), Until: until(now, m.Left)})
	g.mu.Unlock()
	if ok {
		g.socket.Send(dgram.OriginConfirm, confirmation{Number: m.Number, Contested: o.Version == ""}, from)
	}
}

// onConfirm notes that another daemon holds a record.
func (g *Group) onConfirm(from netip.AddrPort, m confirmation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.silent, from)
	d := g.deliveries[m.Number]
	if d == nil || !d.asked[from] {
		return // late, or not from a daemon that was asked
	}
	d.asked[from] = false
	d.confirmed++
	if m.Contested {
		g.table.Put(time.Now(), Origin{Attempt: d.attempt, Until: d.until})
	}
	d.poke()
}

// onQuery answers what this daemon knows at once.
func (g *Group) onQuery(from netip.AddrPort, m query) {
	now, answer := time.Now(), reply{Number: m.Number}
	g.mu.Lock()
	o, ok := g.table.Get(now, string(m.Attempt))
	g.mu.Unlock()
	if ok {
		answer.Known, answer.Service, answer.Version, answer.Left = true, []byte(o.Service), []byte(o.Version), left(now, o.Until)
	} else if g.history != nil {
		if list := g.history(g.done, string(m.Service)); list.Complete {
			answer.Complete, answer.Era, answer.Revision = true, list.To.Era, list.To.Number
			for _, v := range distinct(list.Versions) {
				if answer.Versions = append(answer.Versions, []byte(v)); len(answer.Versions) == maxVersions {
					break
				}
			}
		}
	}
	g.socket.Send(dgram.OriginReply, answer, from)
}

// onReply passes an answer to the search that waits for it.
func (g *Group) onReply(from netip.AddrPort, m reply) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.silent, from)
	s := g.searches[m.Number]
	if s == nil || !s.asked[from] {
		return // late, or not from a daemon that was asked
	}
	s.asked[from] = false
	s.answered++
	if m.Known && s.attempt != "" {
		s.record(Origin{Attempt: s.attempt, Service: string(m.Service), Version: string(m.Version), Until: until(now, m.Left)})
	}
	if m.Complete {
		versions := make([]string, 0, maxVersions)
		for _, v := range m.Versions[:min(len(m.Versions), maxVersions)] {
			versions = append(versions, string(v))
		}
		s.addHistory(versions)
		if to := (pool.Revision{Era: m.Era, Number: m.Revision}); s.reaches.Before(to) {
			s.reaches = to
		}
	}
	s.poke()
}

// distinct returns a list of versions without repetitions.
func distinct(versions []string) []string {
	out := slices.Clone(versions)
	slices.Sort(out)
	return slices.Compact(out)
}

// endedContext returns a context that is done.
func endedContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
