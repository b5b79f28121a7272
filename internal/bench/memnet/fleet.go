// Package memnet simulates a fleet of daemons in one process: their membership
// and dissemination state machines run over an in-memory network and platform
// with an injected clock. A run depends on its seed alone.
package memnet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"citronrock.example/citronrock/internal/peer/dissem"
	"citronrock.example/citronrock/internal/peer/view"
)

// Settings are the size and the network conditions of a fleet.
type Settings struct {
	Seed uint64
	// Domains is the number of failure domains, 2 if zero.
	Domains int
	// Loss is the share of datagrams that are lost, from 0 to 1. Jitter is the
	// upper bound of a random delay added to Delay; it reorders datagrams.
	Loss          float64
	Delay, Jitter time.Duration
	// Prefix is the prefix of the daemons' names.
	Prefix string
}

// Fleet is a set of simulated daemons with a network, a platform and a clock.
type Fleet struct {
	set      Settings
	rng      *rand.Rand
	now      time.Time
	epoch    time.Time
	queue    events
	sequence int

	Nodes    map[string]*Node
	Names    []string
	Platform *Platform
	// Cut reports whether a partition separates two daemons; nil means that there
	// is none.
	Cut func(a, b string) bool
	// FetchBytes returns the encoded size in bytes of the reply to a fetch that
	// updates a daemon from one version or revision to another.
	FetchBytes func(k dissem.Kind, from, to uint64) int
	// PlatformBytes returns the encoded size in bytes of the platform's response.
	PlatformBytes func(k dissem.Kind) int
	// Violations lists up to 20 violated invariants.
	Violations []string
	// Spent is the time that all state machines and codecs took.
	Spent time.Duration
	// Largest is the size of the largest datagram in bytes, without headers.
	Largest int
}

// New returns a fleet without daemons.
func New(s Settings) *Fleet {
	if s.Delay == 0 {
		s.Delay, s.Jitter = time.Millisecond, time.Millisecond
	}
	if s.Domains == 0 {
		s.Domains = 2
	}
	epoch := time.Unix(1_700_000_000, 0)
	f := &Fleet{
		set:        s,
		rng:        rand.New(rand.NewPCG(s.Seed, 99)),
		now:        epoch,
		epoch:      epoch,
		Nodes:      map[string]*Node{},
		FetchBytes: func(dissem.Kind, uint64, uint64) int { return 0 },

		PlatformBytes: func(dissem.Kind) int { return 0 },
	}
	f.Platform = newPlatform(f)
	return f
}

// Now returns the simulated time since the start.
func (f *Fleet) Now() time.Duration { return f.now.Sub(f.epoch) }

// Run advances the clock by d and runs the events that are due.
func (f *Fleet) Run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(*scheduledEvent)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// RunUntil advances the clock in steps of 10 ms until done returns true, and
// returns the simulated time that this took, or false after the limit.
func (f *Fleet) RunUntil(limit time.Duration, done func() bool) (time.Duration, bool) {
	from := f.Now()
	for !done() {
		if f.Now()-from >= limit {
			return limit, false
		}
		f.Run(10 * time.Millisecond)
	}
	return f.Now() - from, true
}

func (f *Fleet) after(d time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.queue, &scheduledEvent{at: f.now.Add(d), order: f.sequence, run: run})
}

func (f *Fleet) latency() time.Duration {
	if f.set.Jitter == 0 {
		return f.set.Delay
	}
	return f.set.Delay + time.Duration(f.rng.Int64N(int64(f.set.Jitter)))
}

// Add starts a daemon with a new name, in the next failure domain in turn.
func (f *Fleet) Add() *Node {
	i := len(f.Names)
	n := &Node{
		fleet:  f,
		Name:   fmt.Sprintf("%sd%03d", f.set.Prefix, i),
		Domain: fmt.Sprintf("z%d", i%f.set.Domains),
	}
	f.Names = append(f.Names, n.Name)
	f.Nodes[n.Name] = n
	n.Start()
	return n
}

// Live returns the running daemons in the order in which they were added.
func (f *Fleet) Live() []*Node {
	var l []*Node
	for _, name := range f.Names {
		if n := f.Nodes[name]; n.Up() {
			l = append(l, n)
		}
	}
	return l
}

// All reports whether ok returns true for every running daemon.
func (f *Fleet) All(ok func(*Node) bool) bool {
	for _, name := range f.Names {
		if n := f.Nodes[name]; n.Up() && !ok(n) {
			return false
		}
	}
	return true
}

// InForce reports whether every running daemon has adopted the version or a
// newer one.
func (f *Fleet) InForce(version uint64) bool {
	return f.All(func(n *Node) bool { return n.Version() >= version })
}

// Agree reports whether the membership of every running daemon consists of
// exactly the running daemons at their present incarnations.
func (f *Fleet) Agree() bool {
	live := f.Live()
	return f.All(func(n *Node) bool {
		if len(n.Alive) != len(live) {
			return false
		}
		for _, o := range live {
			if n.Alive[o.Name] != o.Incarnation {
				return false
			}
		}
		return true
	})
}

// List publishes the running daemons as the platform's instance list.
func (f *Fleet) List() {
	var d []view.Daemon
	for _, n := range f.Live() {
		d = append(d, view.Daemon{Name: n.Name, Domain: n.Domain, Leaving: n.Leaving})
	}
	f.Platform.PublishList(d)
}

func (f *Fleet) cut(a, b string) bool { return f.Cut != nil && f.Cut(a, b) }

func (f *Fleet) violate(format string, args ...any) {
	if len(f.Violations) < 20 {
		f.Violations = append(f.Violations, fmt.Sprintf("%v: ", f.Now())+fmt.Sprintf(format, args...))
	}
}

// scheduledEvent is a function that runs at a point of simulated time. Events of
// the same time run in the order in which they were scheduled.
type scheduledEvent struct {
	at    time.Time
	order int
	run   func()
}

type events []*scheduledEvent

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(*scheduledEvent)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = nil
	*e = old[:len(old)-1]
	return x
}
