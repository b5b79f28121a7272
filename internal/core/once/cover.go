package once

import (
	"fmt"
	"slices"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/core/owner"
	"github.com/google/uuid"
)

// cover tells which keys this daemon is home of, and since when.
type cover struct {
	self     string
	hold     time.Duration
	revision uint64
	// newer is the highest revision that any daemon is known to have.
	newer uint64
	// lists are the lists in the order of their receipt, the newest last.
	lists  []listing
	alive  map[string]uint64
	paused bool
}

// listing is a list of names and when it was received. A revision that names
// the same daemons makes no new listing.
type listing struct {
	at    time.Time
	names []string
}

// listsKept bounds the lists. A key that has been at home for longer counts as
// covered from the oldest one kept, which is late and therefore safe.
const listsKept = 64

// homeAfter is the time to come back when the home can't run keys now.
const homeAfter = time.Second

func (c *cover) list(now time.Time, revision uint64, names []string) {
	if revision <= c.revision {
		return
	}
	c.revision = revision
	c.newer = max(c.newer, revision)
	sorted := slices.Sorted(slices.Values(names))
	if n := len(c.lists); n > 0 && slices.Equal(c.lists[n-1].names, sorted) {
		return
	}
	if len(c.lists) == listsKept {
		c.lists = slices.Delete(c.lists, 0, 1)
	}
	c.lists = append(c.lists, listing{now, sorted})
}

// pause voids what is known about the members. A pause as long as the hold time
// also voids the coverage, since others may have become home meanwhile.
func (c *cover) pause(now time.Time, gap time.Duration) {
	c.paused = true
	if n := len(c.lists); n > 0 && gap >= c.hold {
		c.lists = []listing{{now, c.lists[n-1].names}}
	}
}

// Homes returns the home of a call's key by the newest list, and the home by
// the list before it. A name is empty when there is no such list.
func (t *Table) Homes(c Call) (home, former string) {
	n := len(t.cover.lists)
	if n > 0 {
		home = owner.First(c.place(), t.cover.lists[n-1].names)
	}
	if n > 1 {
		former = owner.First(c.place(), t.cover.lists[n-2].names)
	}
	return home, former
}

// place is the string that is hashed. Lengths keep different calls apart.
func (c Call) place() string {
	return fmt.Sprintf("%d:%s%d:%s%s", len(c.Tenant), c.Tenant, len(c.Service), c.Service, c.Key)
}

// check returns nil when this daemon may start the run of a first sending. The
// conditions find repeats that were numbered as first sendings, as long as the
// daemons agree on the list; they do not replace the rule that only a first
// sending starts a run.
func (c *cover) check(now time.Time, call Call, skew time.Duration) *citronrock.Error {
	switch {
	case len(c.lists) == 0:
		return away("this daemon has no list of instances yet", homeAfter)
	case c.newer > c.revision:
		return away("this daemon waits for a newer list of instances", homeAfter)
	case c.paused:
		return away("this daemon was paused and is checking its peers", homeAfter)
	case !c.majority():
		return away("this daemon reaches no majority of its peers", homeAfter)
	}
	made, stated := created(call.Key)
	earliest := now
	if made = made.Add(-skew); stated && made.Before(now) {
		earliest = made
	}
	since, ok := c.since(call, earliest.Add(-c.hold))
	if !ok {
		return away("this daemon is not the home of the key", homeAfter)
	}
	since = since.Add(c.hold)
	if wait := since.Sub(now); wait > 0 {
		return away("this daemon became the home of the key a short time ago", wait)
	}
	if earliest.Before(since) || earliest.Add(call.Window).Before(now) {
		return away("the key is older than the records of its home; make a new key", lostAfter)
	}
	return nil
}

func (c *cover) majority() bool {
	names := c.lists[len(c.lists)-1].names
	answer := 0
	for _, n := range names {
		if _, ok := c.alive[n]; ok || n == c.self {
			answer++
		}
	}
	return 2*answer > len(names)
}

// since returns when this daemon became the home of the key. It does not look
// for a time before enough, since each list costs a hash for each daemon.
func (c *cover) since(call Call, enough time.Time) (time.Time, bool) {
	var at time.Time
	place := call.place()
	for _, l := range slices.Backward(c.lists) {
		if owner.First(place, l.names) != c.self {
			break
		}
		if at = l.at; !at.After(enough) {
			break
		}
	}
	return at, !at.IsZero()
}

// created returns the time that a UUID of version 7 states.
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

func away(why string, after time.Duration) *citronrock.Error {
	return &citronrock.Error{
		Kind: citronrock.NotRun, Reason: citronrock.ReasonHome, RetryAfter: after,
		Remedy: why + "; send the call again after the stated time, as a first attempt",
	}
}
