// Package bucket accounts for the rate limit of one tenant on behalf of all daemons, and
// decides how much of it a part of a divided fleet may grant. It has no clock and does no
// I/O.
//
// State: the level of a token bucket in units, which are requests or tokens, and the units
// denied within the last second.
//
// Bound: in any window of T seconds an account grants at most rate x T + burst units and one
// request more, whatever is asked; see Contract.Limits for the sum over the parts of a fleet.
package bucket

import (
	"math"
	"time"
)

const (
	// startShare is the level of a new account as a share of what it may hold. Daemons
	// that are killed and started again lose the levels of their accounts. Full buckets
	// after each start would add up beyond the contract.
	startShare = 0.25
	// startTime bounds the level of a new account by what its rate brings in that time.
	startTime = time.Second
	// takeoverPause is the time that a new owner does not count as earned: the one before
	// may have granted until then.
	takeoverPause = 500 * time.Millisecond
	// keptShare is the share of the burst that is kept for requests that wait, and aheadShare
	// what one daemon may hold of it: units that lie at one daemon are missing at others.
	keptShare  = 0.75
	aheadShare = 0.05
	// unmetWindow is the time over which denied units are summed up to space out retries.
	unmetWindow = time.Second
	// minReturn and maxReturn bound the time after which a denied request may come back.
	minReturn = 20 * time.Millisecond
	maxReturn = 10 * time.Second
	// maxDebt bounds the time for which the debt of one request locks out its tenant. A
	// request that costs more than the rate brings in that time is above what any window
	// of the contract allows.
	maxDebt = 10 * time.Second
)

// Rate is a limit in units a second, and the burst in units beyond it.
type Rate struct{ PerSecond, Burst float64 }

// MaxCost returns the most that one request is charged: what it takes from a full account
// to the deepest debt.
func (r Rate) MaxCost() float64 { return r.PerSecond*maxDebt.Seconds() + max(r.Burst, 1) }

// floor returns the lowest level. It lies one MaxCost below zero, so that each request that
// is granted is charged in full.
func (r Rate) floor() float64 { return -r.MaxCost() }

// Bucket is the account of one tenant at its owner.
type Bucket struct {
	rate  Rate
	level float64
	at    time.Time
	// unmet are the units denied, an exponentially decaying sum.
	unmet   float64
	unmetAt time.Time
	granted float64
	denied  float64
}

// New returns the account of an owner that knows nothing of what was granted before a time.
// Nothing was granted since.
func New(now time.Time, r Rate, since time.Time) *Bucket {
	b := &Bucket{rate: r, at: since, unmetAt: now, level: startShare * r.inStartTime()}
	b.advance(now)
	return b
}

// Continue returns the account of an owner that goes on from the level which another one
// had at a time.
func Continue(now time.Time, r Rate, level float64, at time.Time) *Bucket {
	b := &Bucket{rate: r, at: at, unmetAt: now, level: level}
	b.SetRate(now, r)
	b.level = max(b.level-takeoverPause.Seconds()*r.inStartTime(), r.floor())
	return b
}

// inStartTime returns the units of the burst, or of startTime if that is less.
func (r Rate) inStartTime() float64 { return min(r.Burst, r.PerSecond*startTime.Seconds()) }

// SetRate sets the limit. What was earned before was earned at the earlier one.
func (b *Bucket) SetRate(now time.Time, r Rate) {
	b.advance(now)
	b.rate = r
	b.level = min(max(b.level, r.floor()), b.capacity())
}

// capacity is the highest level. Without a burst a single request has to fit.
func (b *Bucket) capacity() float64 { return max(b.rate.Burst, 1) }

// advance adds the units of the time since the last call.
func (b *Bucket) advance(now time.Time) {
	elapsed := now.Sub(b.at).Seconds()
	if elapsed <= 0 {
		return
	}
	b.at = now
	b.level = min(b.level+b.rate.PerSecond*elapsed, b.capacity())
}

// Verdict is the answer to an ask.
type Verdict struct {
	// Granted is the number of requests that are granted, in the order of the ask, and
	// Ahead the units granted beyond them.
	Granted int
	Ahead   float64
	// Room is the time until the bucket has room again, Return that after which the
	// denied requests may come back.
	Room, Return time.Duration
	// Level is the level after the ask.
	Level float64
}

// Take grants requests of the given costs, in order, while the level is above zero. A
// request that costs more than the level is granted too, so that neither large nor small
// requests go first; the level is negative then. ahead are units that the daemon would like
// to hold for its next requests, and held the units of requests that it denied by itself
// since its last ask.
func (b *Bucket) Take(now time.Time, costs []float64, ahead, held float64) Verdict {
	b.advance(now)
	var v Verdict
	for _, c := range costs {
		if b.level <= 0 {
			held += c
			continue
		}
		v.Granted++
		b.spend(c)
	}
	if spare := b.level - keptShare*b.capacity(); v.Granted == len(costs) && ahead > 0 && spare > 0 {
		v.Ahead = min(ahead, spare, aheadShare*b.capacity())
		b.spend(v.Ahead)
	}
	b.noteUnmet(now, held)
	v.Level = b.level
	if b.level <= 0 {
		v.Room = b.timeFor(-b.level)
		v.Return = min(max(b.timeFor(b.unmet-b.level), minReturn), maxReturn)
	}
	return v
}

// spend takes units. The level has a lowest value, so that a client that states an absurd
// size does not lock out its tenant for long.
func (b *Bucket) spend(units float64) {
	b.granted += units
	b.level = max(b.level-units, b.rate.floor())
}

// Spend takes units that another daemon has granted on behalf of this one.
func (b *Bucket) Spend(now time.Time, units float64) {
	b.advance(now)
	b.spend(max(units, 0))
}

// Return gives back units that were granted and not used.
func (b *Bucket) Return(now time.Time, units float64) {
	b.advance(now)
	units = max(units, 0)
	b.granted -= units
	b.level = min(b.level+units, b.capacity())
}

// noteUnmet adds denied units to their sum.
func (b *Bucket) noteUnmet(now time.Time, units float64) {
	b.unmet *= math.Exp(-max(now.Sub(b.unmetAt), 0).Seconds() / unmetWindow.Seconds())
	b.unmetAt = now
	b.unmet += units
	b.denied += units
}

// timeFor returns the time in which the rate brings some units.
func (b *Bucket) timeFor(units float64) time.Duration {
	if b.rate.PerSecond <= 0 || units >= b.rate.PerSecond*maxReturn.Seconds() {
		return maxReturn
	}
	return time.Duration(max(units, 0) / b.rate.PerSecond * float64(time.Second))
}

// IsFull reports whether the account has all that it may hold.
func (b *Bucket) IsFull(now time.Time) bool {
	b.advance(now)
	return b.level >= b.capacity()
}

// Level returns the units that are left, negative if more was granted than there was.
func (b *Bucket) Level(now time.Time) float64 {
	b.advance(now)
	return b.level
}

// Totals returns the units granted and not given back, and those denied.
func (b *Bucket) Totals() (granted, denied float64) { return b.granted, b.denied }

// Rate returns the limit.
func (b *Bucket) Rate() Rate { return b.rate }
