package permit

import (
	"math"
	"time"
)

const (
	// burstTime and burstBase bound the permits that are saved while nobody asks: the
	// permits of half a second, and one more.
	burstTime = 500 * time.Millisecond
	burstBase = 1
	// maxDenials is the rate of asks without a permit, per second, above which daemons
	// are told to wait for longer than until the next permit. It bounds the load of an
	// owner. Asks that get a permit are as many as the limit allows.
	maxDenials = 25
	// maxHold bounds that time.
	maxHold = 3 * time.Second
	// maxReturn bounds the delay after which a client is told to come back.
	maxReturn = 5 * time.Second
	// demandWindow is the time over which unmet demand is measured.
	demandWindow = time.Second
)

// The contract's bound on the load of a server: in any LoadWindow it gets at most
// LoadFactor times what its limit allows, and LoadSlack requests more.
const (
	LoadWindow = 4 * time.Second
	LoadFactor = 1.5
	LoadSlack  = 5
)

// Account is the account of one server's limit at its owner.
type Account struct {
	// limit is the server's, and rate the part of it that this owner may grant, both in
	// permits per second.
	limit, rate float64
	// saved are the unused permits at the time at.
	saved float64
	at    time.Time
	// denials and unmet count the asks and the requests without a permit in
	// demandWindow, load the permits in LoadWindow.
	denials, unmet, load window
	record               record
}

// record is what happened since the limit has its present value.
type record struct {
	granted, denied, most int
	// budget is the number of permits that the rate has allowed.
	budget float64
}

// NewAccount returns an account without saved permits: an earlier owner may have
// granted them.
func NewAccount(now time.Time) *Account { return &Account{at: now} }

// SetRate sets the server's limit in permits per second, and the share of it that this
// owner may grant.
func (a *Account) SetRate(now time.Time, limit, share float64) {
	a.advance(now)
	if limit != a.limit {
		a.limit, a.record, a.load = limit, record{}, window{}
	}
	a.rate = limit * share
	a.saved = min(a.saved, a.capacity())
}

func (a *Account) capacity() float64 { return burstBase + a.rate*burstTime.Seconds() }

// advance adds the permits of the time since the last call.
func (a *Account) advance(now time.Time) {
	if gained := a.rate * now.Sub(a.at).Seconds(); gained > 0 {
		a.saved = min(a.saved+gained, a.capacity())
		a.record.budget += gained
	}
	a.at = maxTime(a.at, now)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Verdict is the answer to an ask for permits.
type Verdict struct {
	// Granted is the number of permits.
	Granted int `cbor:"1,keyasint,omitempty"`
	// Hold is how long the daemon that got less than it asked for shall not ask again.
	Hold time.Duration `cbor:"2,keyasint,omitempty"`
	// Return is the delay after which a client that was refused for lack of a permit
	// may expect one.
	Return time.Duration `cbor:"3,keyasint,omitempty"`
}

// maxDelay bounds the delays in verdicts of other daemons.
const maxDelay = time.Minute

// Clamp returns the verdict with its values limited to valid ranges.
func (v Verdict) Clamp() Verdict {
	return Verdict{Granted: max(v.Granted, 0), Hold: min(max(v.Hold, 0), maxDelay), Return: min(max(v.Return, 0), maxDelay)}
}

// Take answers an ask for n permits. held is the number of requests that the daemon
// refused since its last ask.
func (a *Account) Take(now time.Time, n, held int) Verdict {
	a.advance(now)
	v := Verdict{Granted: int(min(float64(n), a.saved))}
	a.saved -= float64(v.Granted)
	a.record.granted += v.Granted
	if v.Granted > 0 {
		a.record.most = max(a.record.most, a.load.add(now, LoadWindow, v.Granted))
	}
	missing := n - v.Granted
	a.record.denied += missing + held
	if missing == 0 {
		a.unmet.add(now, demandWindow, held)
		return v
	}
	next := durationOf((1 - a.saved) / a.rate)
	busy := durationOf(float64(a.denials.add(now, demandWindow, 1)) / maxDenials)
	v.Hold = min(max(next, busy), max(maxHold, next))
	unmet := a.unmet.add(now, demandWindow, missing+held)
	v.Return = min(next+durationOf(float64(unmet-1)/a.rate), max(maxReturn, next))
	return v
}

// durationOf converts seconds. It returns an hour for anything longer, and for rates of
// zero.
func durationOf(seconds float64) time.Duration {
	if !(seconds < time.Hour.Seconds()) { // also true for NaN
		return time.Hour
	}
	return time.Duration(seconds * float64(time.Second))
}

// Load is the record of an account since the limit has its present value.
type Load struct {
	// Granted and Denied count permits and requests without one.
	Granted, Denied int
	// Most is the greatest number of permits in LoadWindow, and Allowed the number of
	// requests that the contract allows in it.
	Most, Allowed int
	// Used is the share of the permits that were granted.
	Used float64
}

// Load returns the record of the account.
func (a *Account) Load(now time.Time) Load {
	a.advance(now)
	l := Load{Granted: a.record.granted, Denied: a.record.denied, Most: a.record.most,
		Allowed: int(min(LoadFactor*a.limit*LoadWindow.Seconds()+LoadSlack, math.MaxInt32))}
	if a.record.budget > 0 {
		l.Used = min(float64(a.record.granted)/a.record.budget, 1)
	}
	return l
}

// window counts what happened in a span of time up to now.
type window struct {
	entries []entry
	total   int
}

type entry struct {
	at time.Time
	n  int
}

// add counts n at now and returns the sum over the span.
func (w *window) add(now time.Time, span time.Duration, n int) int {
	if n > 0 {
		w.entries = append(w.entries, entry{now, n})
		w.total += n
	}
	return w.sum(now, span)
}

// sum returns the sum over the span.
func (w *window) sum(now time.Time, span time.Duration) int {
	first := 0
	for first < len(w.entries) && now.Sub(w.entries[first].at) >= span {
		w.total -= w.entries[first].n
		first++
	}
	w.entries = w.entries[first:]
	return w.total
}
