package once

import (
	"fmt"
	"slices"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/owner"
	"github.com/google/uuid"
)

// coverage determines which keys this daemon is the home of, and since when. The
// home of a key is the daemon that may run its calls, by rendezvous hashing over
// the instance list.
type coverage struct {
	self     string
	grace    time.Duration
	revision uint64
	// highest is the highest revision that any daemon is known to have.
	highest uint64
	// lists holds the instance lists in the order of receipt, the newest last.
	lists  []membership
	alive  map[string]uint64
	paused bool
}

// membership is the daemons of an instance list, sorted by name, and the time of
// its receipt. A later revision with the same daemons adds none.
type membership struct {
	at    time.Time
	names []string
}

// maxLists bounds the number of lists kept. For a key whose home has not changed
// since before the oldest one, homeSince returns the time of the oldest one, which
// is too late and therefore safe.
const maxLists = 64

// homeRetryAfter is the Retry-After delay when this daemon can't run keys now.
const homeRetryAfter = time.Second

func (cov *coverage) list(now time.Time, revision uint64, names []string) {
	if revision <= cov.revision {
		return
	}
	cov.revision = revision
	cov.highest = max(cov.highest, revision)
	sorted := slices.Sorted(slices.Values(names))
	if n := len(cov.lists); n > 0 && slices.Equal(cov.lists[n-1].names, sorted) {
		return
	}
	if len(cov.lists) == maxLists {
		cov.lists = slices.Delete(cov.lists, 0, 1)
	}
	cov.lists = append(cov.lists, membership{now, sorted})
}

// pause invalidates the membership until members have answered again. A process
// pause of at least the grace period also starts the grace period of all keys
// anew, since other daemons may have become their home meanwhile.
func (cov *coverage) pause(now time.Time, gap time.Duration) {
	cov.paused = true
	if n := len(cov.lists); n > 0 && gap >= cov.grace {
		cov.lists = []membership{{now, cov.lists[n-1].names}}
	}
}

// Homes returns the home of a call's key by the newest instance list, and its home
// by the list before. A name is empty when there is no such list.
func (t *Table) Homes(c Call) (home, former string) {
	n := len(t.coverage.lists)
	if n > 0 {
		home = owner.First(c.hashKey(), t.coverage.lists[n-1].names)
	}
	if n > 1 {
		former = owner.First(c.hashKey(), t.coverage.lists[n-2].names)
	}
	return home, former
}

// hashKey returns the string that is hashed. The length prefixes make it distinct
// for distinct calls.
func (c Call) hashKey() string {
	return fmt.Sprintf("%d:%s%d:%s%s", len(c.Tenant), c.Tenant, len(c.Service), c.Service, c.Key)
}

// checkHome returns nil when this daemon may start the run of a first attempt, else
// the refusal. Its conditions detect retries that their callers marked as first
// attempts, as long as the daemons agree on the instance list. They do not replace
// the rule that only a first attempt starts a run.
func (cov *coverage) checkHome(now time.Time, call Call, skew time.Duration) *citronrock.Error {
	switch {
	case len(cov.lists) == 0:
		return notHome("this daemon has no list of instances yet", homeRetryAfter)
	case cov.highest > cov.revision:
		return notHome("this daemon waits for a newer list of instances", homeRetryAfter)
	case cov.paused:
		return notHome("this daemon was paused and is checking its peers", homeRetryAfter)
	case !cov.majority():
		return notHome("this daemon reaches no majority of its peers", homeRetryAfter)
	}
	made, stated := created(call.Key)
	earliest := now
	if made = made.Add(-skew); stated && made.Before(now) {
		earliest = made
	}
	since, ok := cov.homeSince(call, earliest.Add(-cov.grace))
	if !ok {
		return notHome("this daemon is not the home of the key", homeRetryAfter)
	}
	since = since.Add(cov.grace)
	if wait := since.Sub(now); wait > 0 {
		return notHome("this daemon became the home of the key a short time ago", wait)
	}
	if earliest.Before(since) || earliest.Add(call.Window).Before(now) {
		return notHome("the key is older than the records of its home; make a new key", recordRetryAfter)
	}
	return nil
}

func (cov *coverage) majority() bool {
	names := cov.lists[len(cov.lists)-1].names
	alive := 0
	for _, n := range names {
		if _, ok := cov.alive[n]; ok || n == cov.self {
			alive++
		}
	}
	return 2*alive > len(names)
}

// homeSince returns when this daemon became the home of the call's key, or false
// when it is not. It stops at the first time that is not after notBefore, since
// each list costs one hash for each daemon.
func (cov *coverage) homeSince(call Call, notBefore time.Time) (time.Time, bool) {
	var at time.Time
	key := call.hashKey()
	for _, l := range slices.Backward(cov.lists) {
		if owner.First(key, l.names) != cov.self {
			break
		}
		if at = l.at; !at.After(notBefore) {
			break
		}
	}
	return at, !at.IsZero()
}

// created returns the timestamp of a UUID of version 7, or false for other keys.
func created(key string) (time.Time, bool) {
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 {
		return time.Time{}, false
	}
	var millis int64
	for _, b := range u[:6] {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis), true
}

func notHome(why string, after time.Duration) *citronrock.Error {
	return &citronrock.Error{
		Kind: citronrock.NotRun, Reason: citronrock.ReasonHome, RetryAfter: after,
		Remedy: why + "; send the call again after the stated time, as a first attempt",
	}
}
