// Package share accounts for the work that each key, such as a tenant, was granted of
// one shared resource, and orders waiting requests by weighted fair queueing over it.
//
// Purpose: while more work waits than can be served, each key gets an equal part of the
// service, or all that it asks for if that is less.
// State: one number for each key that was used within the last windows.
// Bound: while two keys have requests waiting and the first in order is served, the work
// granted to one exceeds that of the other by at most creditShare of the last window's
// work, plus two of the largest requests for each window that has begun.
//
// Past work decays with the time constant of the window: a key is not penalized later for
// service that it got while nobody else wanted it. The package has no clock and does no
// I/O.
package share

import (
	"iter"
	"maps"
	"math"
	"time"
)

// Window is the time constant for requests of models: about as long as one holds its
// memory.
const Window = 4 * time.Second

const (
	// creditShare is the largest part of the last window's work by which a key may lag
	// behind the waiting key that was granted most. Without a limit one of two keys would
	// have the service for itself for half a window after it was idle. Without any credit
	// a key below its share would lose the second of two requests that arrive together.
	creditShare = 1.0 / 8
	// rebaseAfter is the number of windows after which levels are scaled back. They are
	// stored multiplied by a factor that grows with time, so that nothing has to be
	// computed for keys that are not charged.
	rebaseAfter = 4
	// negligible is the work below which a key is forgotten.
	negligible = 1.0
)

// Accounts are the accounts of all keys at one resource. They are not safe for
// concurrent use.
type Accounts struct {
	window time.Duration
	// base is the time at which the factor of levels is one, scale the current factor.
	base  time.Time
	scale float64
	keys  map[string]*account
	// total is the decaying work of all keys, largest that of one request, and floor the
	// level to which keys are raised that were idle.
	total, largest, floor float64
	// group is the number of the current group of requests.
	group uint64
}

// account is the account of one key.
type account struct {
	// level is the decaying work, times the factor of levels.
	level float64
	// next is the tag of the key's next request in a group.
	next  float64
	group uint64
}

// New returns accounts whose past decays with the time constant window.
func New(window time.Duration) *Accounts {
	return &Accounts{window: window, scale: 1, keys: map[string]*account{}}
}

// Charge adds granted work to a key. The caller divides it by the weight of the key.
func (a *Accounts) Charge(now time.Time, key string, work float64) {
	if !(work > 0) || math.IsInf(work, 1) { // also true for NaN
		return
	}
	a.advance(now)
	k := a.account(key)
	k.level = max(k.level, a.floor) + work*a.scale
	a.total += work * a.scale
	a.largest = max(a.largest, work*a.scale)
}

// Work returns the decayed work of a key. It is not less than what idle keys are raised
// to.
func (a *Accounts) Work(now time.Time, key string) float64 {
	a.advance(now)
	return a.Level(key) / a.scale
}

// Level returns the decayed work of a key in a unit that is the same for all keys until
// the next Charge or Begin.
func (a *Accounts) Level(key string) float64 { return max(a.account(key).level, a.floor) }

func (a *Accounts) account(key string) *account {
	k := a.keys[key]
	if k == nil {
		k = &account{}
		a.keys[key] = k
	}
	return k
}

// advance updates the factor of levels.
func (a *Accounts) advance(now time.Time) {
	if a.base.IsZero() {
		a.base = now
	}
	elapsed := max(now.Sub(a.base), 0).Seconds() / a.window.Seconds()
	if elapsed <= rebaseAfter {
		a.scale = math.Exp(elapsed)
		return
	}
	factor := math.Exp(-elapsed)
	a.base, a.scale = now, 1
	a.total *= factor
	a.largest *= factor
	a.floor *= factor
	for _, k := range a.keys {
		k.level *= factor
	}
	maps.DeleteFunc(a.keys, func(_ string, k *account) bool { return k.level < negligible })
}

// Begin starts to order what waits now, of which keys are the keys. Keys with little work
// are raised to a level from which they don't catch up on more than their credit.
func (a *Accounts) Begin(now time.Time, keys iter.Seq[string]) {
	a.advance(now)
	highest := 0.0
	for key := range keys {
		highest = max(highest, a.account(key).level)
	}
	// The credit is one request at least, else keys of small requests, which lag behind
	// those of large ones in between, would lose work at each turn.
	a.floor = max(0, highest-max(creditShare*a.total, a.largest))
	a.Group()
}

// Group starts another group of requests, which are ordered apart from those before.
func (a *Accounts) Group() { a.group++ }

// Tag returns the place of the next request of a key in its group: the lowest tag is
// served first. Requests of one key are passed in the order in which they are to be
// served.
func (a *Accounts) Tag(key string, work float64) float64 {
	k := a.account(key)
	if k.group != a.group {
		k.group, k.next = a.group, max(k.level, a.floor)
	}
	tag := k.next
	k.next += max(work, 0) * a.scale
	return tag
}
