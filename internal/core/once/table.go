// Package once keeps calls that may not be repeated to one run. It holds the
// records of one daemon and decides for each sending of a call whether it
// starts a run, joins one, or gets a kept answer. It does no I/O.
//
// The rules and what was weighed are in docs/decisions/0003-at-most-once.md.
package once

import (
	"time"

	"citronrock.example/citronrock"
)

// Table is the state of one daemon process. Its methods must not be called
// concurrently.
type Table struct {
	self   Issuer
	secret []byte
	nonce  uint64
	limits Limits
	cover  cover
	store  store
	// latest is the latest time seen. A clock that is set back must not revive a
	// token whose record has expired.
	latest time.Time
}

// Limits bound the state of a Table.
type Limits struct {
	// Count and Bytes bound the records.
	Count, Bytes int
	// Reserve is the number of bytes set aside for the answer of a running call.
	Reserve int
	// GracePeriod is the time between becoming home of a key and covering it. It must
	// exceed the time in which a list reaches all daemons that can reach a
	// majority, and the time after which a silent daemon is no longer alive.
	GracePeriod time.Duration
	// Skew is the largest difference between the clocks of callers and daemons.
	Skew time.Duration
	// TokenTTL is the time after its issue in which a token may start a run.
	TokenTTL time.Duration
	// Window is used for services that state none.
	Window time.Duration
}

// Defaults returns the limits in use when WithLimits is not given.
func Defaults() Limits {
	return Limits{
		Count: 20_000, Bytes: 8 << 20, Reserve: 1 << 10,
		GracePeriod: 10 * time.Second, Skew: 2 * time.Second,
		TokenTTL: 10 * time.Minute, Window: 10 * time.Minute,
	}
}

// Option changes a Table in New.
type Option func(*Table)

// WithSecret gives the key of the tokens' HMAC. It must be random and exist in
// this process only.
func WithSecret(key []byte) Option {
	return func(t *Table) { t.secret = key }
}

// WithLimits replaces the default limits.
func WithLimits(l Limits) Option {
	return func(t *Table) { t.limits = l }
}

// New returns the table of an instance's incarnation.
func New(name string, incarnation uint64, opts ...Option) *Table {
	t := &Table{self: Issuer{name, incarnation}, limits: Defaults()}
	for _, o := range opts {
		o(t)
	}
	t.store = store{limits: t.limits, by: map[ID]*record{}}
	t.cover = cover{self: name, hold: t.limits.GracePeriod}
	return t
}

// UpdateList takes the names of the live daemons in a list of the platform. Lists
// with a revision that is not above the newest are ignored.
func (t *Table) UpdateList(now time.Time, revision uint64, names []string) {
	t.cover.list(now, revision, names)
}

// ObserveRevision takes the revision of a list that another daemon has used. No key
// starts here until this daemon has a list of that revision.
func (t *Table) ObserveRevision(revision uint64) {
	t.cover.newer = max(t.cover.newer, revision)
}

// Members takes the daemons that answer. After a pause they must have answered
// since.
func (t *Table) Members(alive map[string]uint64) {
	t.cover.alive = alive
	t.cover.paused = false
}

// Paused reports that the process did not run for gap.
func (t *Table) Paused(now time.Time, gap time.Duration) { t.cover.pause(now, gap) }

// Close makes the table start no more runs. Repeats still get their answers.
func (t *Table) Close() { t.store.closed = true }

// Revision returns the revision of the newest list, zero for none.
func (t *Table) Revision() uint64 { return t.cover.revision }

// Call is one sending of a call that may not be repeated.
type Call struct {
	Tenant, Service string
	// Key or Token identifies the call; the token counts when both are given.
	Key, Token string
	// First is true when no earlier sending of the call can have run.
	First bool
	// Window is how long the caller repeats the call, zero for the default.
	Window time.Duration
}

// Next is what a daemon does with a sending.
type Next int

// The values of Next.
const (
	// Refuse answers with Verdict.Refusal.
	Refuse Next = iota
	// Run runs the call; End must follow.
	Run
	// Join waits for the outcome of the run of Verdict.ID.
	Join
	// Replay answers with Verdict.Outcome.
	Replay
)

// Decision is what becomes of a sending.
type Decision struct {
	Next    Next
	ID      ID
	Result  Result
	Refusal *citronrock.Error
}

// Result is the end of a run. Refusal is nil when the backend answered.
type Result struct {
	Status  int
	Body    []byte
	Refusal *citronrock.Error
}

// Begin decides about a sending that has reached the daemon that may run it.
func (t *Table) Begin(now time.Time, c Call) Decision {
	if now.After(t.latest) {
		t.latest = now
	}
	t.store.expire(t.latest)
	if c.Window <= 0 {
		c.Window = t.limits.Window
	}
	if c.Token != "" {
		return t.beginToken(now, c)
	}
	return t.beginKey(now, c)
}

// beginToken needs neither list nor members: only this process can verify the
// token, and it keeps the record for as long as the token can start a run.
func (t *Table) beginToken(now time.Time, c Call) Decision {
	k, ok := parse(c.Token)
	switch {
	case ok && k.origin != t.self:
		return lost(c, "the daemon that issued the token is gone")
	case !ok || !t.verify(k, c.Tenant):
		return refused(citronrock.NotRun, citronrock.ReasonInvalid,
			"the token was not issued for this tenant; get one from Router.Token", 0)
	}
	id := ID{nonce: k.nonce}
	if v, ok := t.store.find(id); ok {
		return v
	}
	end := k.issued.Add(t.limits.TokenTTL)
	if t.latest.After(end) {
		return lost(c, "the token is older than "+t.limits.TokenTTL.String())
	}
	return t.store.start(now, id, c.Window, end)
}

// beginKey starts a run for a first sending only. A home that has no record of
// a repeated call can't tell whether another home has run it: lists can change
// on one side of a partition so that both sides have a majority.
func (t *Table) beginKey(now time.Time, c Call) Decision {
	id := ID{tenant: c.Tenant, service: c.Service, key: c.Key}
	if v, ok := t.store.find(id); ok {
		return v
	}
	if !c.First {
		return lost(c, "the key's home has no record of the call")
	}
	if refusal := t.cover.check(now, c, t.limits.Skew); refusal != nil {
		return Decision{Refusal: refusal}
	}
	return t.store.start(now, id, c.Window, time.Time{})
}

// End records the outcome of a run. A call that was not run leaves no record,
// so that it can be sent again.
func (t *Table) End(now time.Time, id ID, o Result) { t.store.end(now, id, o) }

// NoRecord is the refusal of a call whose record can't be had. Only a first sending
// is known not to have run.
func NoRecord(first bool, why string) *citronrock.Error {
	if first {
		return &citronrock.Error{
			Kind: citronrock.NotRun, Reason: citronrock.ReasonHome, RetryAfter: lostAfter,
			Remedy: why + "; the call was not run, send it with a new token or key",
		}
	}
	return &citronrock.Error{
		Kind: citronrock.Unknown, Reason: citronrock.ReasonRepeat,
		Remedy: why + "; an earlier sending may have run, ask the service before another call",
	}
}

// lostAfter is the time to come back with a new token or key.
const lostAfter = 100 * time.Millisecond

func lost(c Call, why string) Decision { return Decision{Refusal: NoRecord(c.First, why)} }

func refused(k citronrock.Kind, r citronrock.Reason, remedy string, after time.Duration) Decision {
	return Decision{Refusal: &citronrock.Error{Kind: k, Reason: r, Remedy: remedy, RetryAfter: after}}
}
