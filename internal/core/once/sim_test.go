package once_test

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/core/once"
)

// simulation is a fleet of tables with a platform, a network and callers. Each
// message between two daemons is pending until an operation delivers or loses it.
type simulation struct {
	now       time.Time
	daemons   []*daemon
	lists     []publication
	partition uint32 // bit i is the side of the network partition that daemon i is on
	calls     []*call
	messages  []message
	runs      []*run
	violation string
	limits    once.Limits
	// consistent keeps the instance lists of the daemons consistent, as the
	// conditions on a home assume, and makes callers mark each attempt as a first one.
	consistent  bool
	exchangedAt time.Time
	serial      uint64
}

type publication struct {
	at    time.Time
	names []string
}

type daemon struct {
	index       int
	name        string
	incarnation uint64
	table       *once.Table
	dead        bool
	paused      bool
	pausedAt    time.Time
	stale       map[string]uint64
}

type call struct {
	key, token string
	runs       int
	attempts   []*attempt
}

type attempt struct {
	call           *call
	first          bool
	knowsNotRun    bool // the caller has received that it was not run
	answeredNotRun bool // a daemon has answered so
	duplicated     bool // the edge daemon has sent its message twice
	ran            bool
}

type message struct {
	attempt  *attempt
	from, to int
	first    bool
}

type run struct {
	daemon   *daemon
	table    *once.Table
	id       once.ID
	attempt  *attempt
	executed bool
	joined   []*attempt
}

const fleet = 5

func newSimulation(consistent bool, limits once.Limits) *simulation {
	sim := &simulation{now: time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC), consistent: consistent, limits: limits}
	var names []string
	for i := range fleet {
		sim.daemons = append(sim.daemons, &daemon{index: i, name: fmt.Sprintf("d%d", i)})
		names = append(names, sim.daemons[i].name)
	}
	sim.lists = []publication{{sim.now, names}}
	for _, d := range sim.daemons {
		sim.boot(d)
		sim.deliver(d, 1)
	}
	sim.exchange()
	sim.now = sim.now.Add(20 * time.Second)
	return sim
}

func (sim *simulation) boot(d *daemon) {
	sim.serial++
	d.incarnation, d.dead, d.paused, d.stale = sim.serial, false, false, nil
	secret := binary.BigEndian.AppendUint64(nil, sim.serial)
	d.table = once.New(d.name, d.incarnation, once.WithSecret(secret), once.WithLimits(sim.limits))
}

func (sim *simulation) up(d *daemon) bool { return !d.dead && !d.paused }

func (sim *simulation) reach(a, b *daemon) bool {
	return sim.up(a) && sim.up(b) && sim.partition>>a.index&1 == sim.partition>>b.index&1
}

func (sim *simulation) members(d *daemon) map[string]uint64 {
	alive := map[string]uint64{}
	for _, p := range sim.daemons {
		if sim.reach(d, p) {
			alive[p.name] = p.incarnation
		}
	}
	return alive
}

func (sim *simulation) deliver(d *daemon, revision int) {
	d.table.UpdateList(sim.now, uint64(revision), sim.lists[revision-1].names)
}

// exchange gives each daemon the members that it reaches and their revisions.
func (sim *simulation) exchange() {
	for _, d := range sim.daemons {
		for _, p := range sim.daemons {
			if sim.reach(d, p) {
				d.table.ObserveRevision(p.table.Revision())
			}
		}
		if sim.up(d) {
			d.table.Members(sim.members(d))
		}
	}
}

// syncLists delivers, every 6 s, the lists older than 3 s to the daemons of the
// larger side of the partition, and exchanges the membership. A list arrives there
// within the grace period.
func (sim *simulation) syncLists() {
	if sim.now.Sub(sim.exchangedAt) < 6*time.Second {
		return
	}
	sim.exchangedAt = sim.now
	for _, d := range sim.daemons {
		for r, l := range sim.lists {
			if len(sim.members(d)) > fleet/2 && sim.now.Sub(l.at) > 3*time.Second {
				sim.deliver(d, r+1)
			}
		}
	}
	sim.exchange()
}

func pick[T any](list []T, n uint32) (T, bool) {
	var zero T
	if len(list) == 0 {
		return zero, false
	}
	return list[int(n)%len(list)], true
}

// step carries out one operation; x selects the operation and its arguments.
func (sim *simulation) step(x uint32) {
	a, b := x>>8&0xfff, x>>20
	d := sim.daemons[a%fleet]
	switch x % 24 {
	case 0, 1, 2, 3:
		sim.begin(d, b)
	case 4, 5, 6:
		if c, ok := pick(sim.calls, b); ok {
			sim.send(c, d)
		}
	case 7, 8, 9, 10:
		sim.network(a, b)
	case 11, 12, 13:
		sim.execute(a)
	case 14, 15:
		sim.finish(a, b)
	case 16, 17:
		sim.advance(b)
	case 18:
		sim.publish(b)
	case 19, 20:
		if sim.consistent && b%4 != 0 {
			sim.advance(b)
		} else if sim.up(d) {
			sim.deliver(d, int(b)%len(sim.lists)+1)
		}
	case 21:
		if d.paused || b%4 == 0 {
			sim.pause(d)
		}
	case 22:
		if d.dead || b%4 == 0 {
			sim.restart(d)
		}
	case 23:
		sim.changeMembers(d, b)
	}
	if sim.consistent {
		sim.syncLists()
	}
}

func (sim *simulation) advance(b uint32) {
	limit := uint32(4000)
	if sim.consistent {
		limit = 900 // lists and probes are delayed by less than the grace period
	}
	sim.now = sim.now.Add(time.Duration(b%limit) * time.Millisecond)
}

func (sim *simulation) publish(b uint32) {
	var names []string
	for i, d := range sim.daemons {
		if keep := b>>i&1 == 1; sim.consistent && int(b)%(fleet+1) != i || !sim.consistent && keep {
			names = append(names, d.name)
		}
	}
	if len(names) > 0 {
		sim.lists = append(sim.lists, publication{sim.now, names})
	}
}

func (sim *simulation) pause(d *daemon) {
	if d.dead {
		return
	}
	if d.paused {
		d.paused = false
		d.table.Paused(sim.now, sim.now.Sub(d.pausedAt))
		return
	}
	d.paused, d.pausedAt = true, sim.now
}

func (sim *simulation) restart(d *daemon) {
	if d.dead {
		sim.boot(d)
		return
	}
	d.dead = true
	sim.runs = slices.DeleteFunc(sim.runs, func(r *run) bool { return r.daemon == d })
}

// changeMembers changes the partition, or gives a daemon the current membership or
// a stale one from an earlier call.
func (sim *simulation) changeMembers(d *daemon, b uint32) {
	switch {
	case b%2 == 0 && (!sim.consistent || b%32 == 0):
		sim.partition = b >> 1 * (b >> 7 & 1) // no partition in half of the cases
	case sim.up(d) && !sim.consistent:
		if d.stale != nil && b%4 == 1 {
			d.table.Members(d.stale)
		} else {
			d.table.Members(sim.members(d))
		}
		d.stale = sim.members(d)
	}
}
