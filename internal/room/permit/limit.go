// Package permit decides how a server's limit on the requests of all daemons is kept.
// The daemon that owns a server's limit accounts for all requests to the server and
// grants permits for them; the others ask it for a permit before they send a request.
//
// The bound: in any span of T seconds, an owner grants at most rate x (T + 0.5) + 1
// permits, and the shares of the rate that the owners in the parts of a divided fleet
// use add up to less than 4/3.
//
// The package does no I/O.
package permit

import (
	"math"
	"time"
)

const (
	// MinRate is the least rate, in requests per second, at which a server is sent
	// requests. Without any, nobody would see that the limit has ended.
	MinRate = 0.25
	// confirmAfter is the time after the last response that named a limit from which
	// responses to later requests may raise or end it. It covers the errors of times
	// that other daemons report.
	confirmAfter = 500 * time.Millisecond
)

// Limit is what a server said about its limit in a response.
type Limit struct {
	// Rate is the limit in requests per second. It is not used if None is set, which
	// means that the response named no limit.
	Rate float64
	None bool
	// Sent and Arrived are when the request was sent and the response arrived. The
	// server decided what to say in between.
	Sent, Arrived time.Time
}

// stricter reports whether l allows less than o.
func (l Limit) stricter(o Limit) bool { return !l.None && (o.None || l.Rate < o.Rate) }

// same reports whether l and o allow the same.
func (l Limit) same(o Limit) bool { return l.None == o.None && (l.None || l.Rate == o.Rate) }

// Known is the limit of a server process as one daemon knows it, from its own responses
// and those of other daemons. The zero value knows no limit.
type Known struct {
	limit Limit
	// since is when the request was sent that first showed the present limit.
	since time.Time
}

// Limit returns the latest known limit.
func (k *Known) Limit() Limit { return k.limit }

// Limited reports whether there is a limit.
func (k *Known) Limited() bool { return !k.since.IsZero() && !k.limit.None }

// Rate returns the rate to keep, in requests per second.
func (k *Known) Rate() float64 { return max(k.limit.Rate, MinRate) }

// Learn takes what a response said and reports whether that changed the limit.
// Responses and reports of other daemons may arrive out of order. A stricter limit is
// taken unless it is certainly older than the known one, a looser one only if it is
// certainly newer.
func (k *Known) Learn(l Limit) bool {
	switch {
	case k.since.IsZero() && l.None:
		return false
	case !k.since.IsZero() && l.same(k.limit):
		if l.Arrived.After(k.limit.Arrived) {
			k.limit.Sent, k.limit.Arrived = l.Sent, l.Arrived
		}
		return false
	case !k.since.IsZero() && l.stricter(k.limit) && l.Arrived.Before(k.since):
		return false
	case !k.since.IsZero() && !l.stricter(k.limit) && l.Sent.Before(k.limit.Arrived.Add(confirmAfter)):
		return false
	}
	k.limit, k.since = l, l.Sent
	return true
}

// Notice is a limit in messages between daemons. Times are ages, as the clocks of
// daemons differ.
type Notice struct {
	// ID and StartedAt identify the server's process, as in pool.Process.
	ID        string  `cbor:"1,keyasint"`
	StartedAt int64   `cbor:"2,keyasint"`
	Rate      float64 `cbor:"3,keyasint,omitempty"`
	None      bool    `cbor:"4,keyasint,omitempty"`
	// Sent and Arrived are the ages of the times in Limit.
	Sent    time.Duration `cbor:"5,keyasint"`
	Arrived time.Duration `cbor:"6,keyasint"`
}

// maxAge bounds the ages in messages, so that they don't overflow.
const maxAge = time.Hour

// Limit returns the limit in a notice that was received at now, false if the notice is
// not valid.
func (n Notice) Limit(now time.Time) (Limit, bool) {
	if !(n.Rate >= 0) || math.IsInf(n.Rate, 0) || n.Arrived < 0 || n.Sent < n.Arrived || n.Sent > maxAge { // also true for NaN
		return Limit{}, false
	}
	return Limit{Rate: n.Rate, None: n.None, Sent: now.Add(-n.Sent), Arrived: now.Add(-n.Arrived)}, true
}

// Notice returns the known limit as a message that is sent at now.
func (k *Known) Notice(now time.Time, id string, startedAt int64) Notice {
	arrived := min(max(now.Sub(k.limit.Arrived), 0), maxAge)
	return Notice{ID: id, StartedAt: startedAt, Rate: k.limit.Rate, None: k.limit.None,
		Sent: min(max(now.Sub(k.limit.Sent), arrived), maxAge), Arrived: arrived}
}
