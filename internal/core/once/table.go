// Package once gives calls that are not idempotent at-most-once execution. It
// holds the records of one daemon and decides for each attempt of a call whether
// it starts a run, joins one, or gets a stored answer. It does no I/O.
//
// The rules and their alternatives are in docs/decisions/0003-at-most-once.md.
package once

import (
	"time"

	"citronrock.example/citronrock"
)

// Table holds the records of one daemon process and its view of the membership.
// Its methods must not be called concurrently.
type Table struct {
	self     Issuer
	secret   []byte
	nonce    uint64
	limits   Limits
	coverage coverage
	store    store
	// latest is the latest time passed in. It keeps a clock that is set back from
	// making a token valid again whose record has expired.
	latest time.Time
}

// Limits bound the state of a Table.
type Limits struct {
	// Count and Bytes bound the records.
	Count, Bytes int
	// Reserve is the number of bytes reserved for the answer of a running call.
	Reserve int
	// GracePeriod is the time after becoming the home of a key in which no run of
	// the key may start. It must exceed the time in which an instance list reaches
	// all daemons that can reach a majority, and the time after which a daemon that
	// doesn't answer is no longer alive.
	GracePeriod time.Duration
	// Skew is the largest difference between the clocks of callers and daemons.
	Skew time.Duration
	// TokenTTL is the time after its issue in which a token may start a run.
	TokenTTL time.Duration
	// Window is the default of Call.Window.
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

// WithSecret sets the key of the tokens' HMAC. It must be random and known to
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
	t.store = store{limits: t.limits, records: map[ID]*record{}}
	t.coverage = coverage{self: name, grace: t.limits.GracePeriod}
	return t
}

// UpdateList applies an instance list of the platform: the names of its daemons.
// A list whose revision is not above that of the newest one is ignored.
func (t *Table) UpdateList(now time.Time, revision uint64, names []string) {
	t.coverage.list(now, revision, names)
}

// ObserveRevision records the revision of an instance list that another daemon
// has used. No run of a key starts here until this daemon has a list of at least
// that revision.
func (t *Table) ObserveRevision(revision uint64) {
	t.coverage.highest = max(t.coverage.highest, revision)
}

// Members sets the daemons that are alive, by name with their incarnations. After
// a process pause, only those that have answered since count as alive.
func (t *Table) Members(alive map[string]uint64) {
	t.coverage.alive = alive
	t.coverage.paused = false
}

// Paused records a process pause of length gap.
func (t *Table) Paused(now time.Time, gap time.Duration) { t.coverage.pause(now, gap) }

// Close makes the table refuse new runs. Retries still get stored answers.
func (t *Table) Close() { t.store.closed = true }

// Revision returns the revision of the newest instance list, zero for none.
func (t *Table) Revision() uint64 { return t.coverage.revision }

// Call is one attempt of a call that is not idempotent.
type Call struct {
	Tenant, Service string
	// Key or Token identifies the call; the token has precedence.
	Key, Token string
	// First is true when no earlier attempt of the call can have run.
	First bool
	// Window is how long the caller may retry the call, and so how long its outcome
	// is kept; zero for the default.
	Window time.Duration
}

// Next says how a daemon handles an attempt.
type Next int

// The values of Next.
const (
	// Refuse answers with Decision.Refusal.
	Refuse Next = iota
	// Run runs the call; End must be called with its result.
	Run
	// Join waits for the result of the run with Decision.ID.
	Join
	// Replay answers with Decision.Result.
	Replay
)

// Decision is the outcome of Begin.
type Decision struct {
	Next    Next
	ID      ID
	Result  Result
	Refusal *citronrock.Error
}

// Result is the end of a run. Refusal is nil when the backend server answered.
type Result struct {
	Status  int
	Body    []byte
	Refusal *citronrock.Error
}

// Begin decides on an attempt that has reached the daemon that may run the call.
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

// beginToken depends on neither the instance list nor the membership: only this
// process can verify the token, and it keeps the record for at least as long as
// the token can start a run.
func (t *Table) beginToken(now time.Time, c Call) Decision {
	k, ok := parse(c.Token)
	switch {
	case ok && k.issuer != t.self:
		return noRecord(c, "the daemon that issued the token is gone")
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
		return noRecord(c, "the token is older than "+t.limits.TokenTTL.String())
	}
	return t.store.start(now, id, c.Window, end)
}

// beginKey starts a run for a first attempt only. A home that has no record of a
// retried call can't know whether another home has run it: when the instance list
// changes on one side of a network partition, both sides can have a majority.
func (t *Table) beginKey(now time.Time, c Call) Decision {
	id := ID{tenant: c.Tenant, service: c.Service, key: c.Key}
	if v, ok := t.store.find(id); ok {
		return v
	}
	if !c.First {
		return noRecord(c, "the key's home has no record of the call")
	}
	if refusal := t.coverage.checkHome(now, c, t.limits.Skew); refusal != nil {
		return Decision{Refusal: refusal}
	}
	return t.store.start(now, id, c.Window, time.Time{})
}

// End stores the result of a run. A call that was not run leaves no record, so
// that it can be retried.
func (t *Table) End(now time.Time, id ID, o Result) { t.store.end(now, id, o) }

// NoRecord returns the refusal of a call whose record can't be reached. Only a
// first attempt is known not to have run.
func NoRecord(first bool, why string) *citronrock.Error {
	if first {
		return &citronrock.Error{
			Kind: citronrock.NotRun, Reason: citronrock.ReasonHome, RetryAfter: recordRetryAfter,
			Remedy: why + "; the call was not run, send it with a new token or key",
		}
	}
	return &citronrock.Error{
		Kind: citronrock.Unknown, Reason: citronrock.ReasonRepeat,
		Remedy: why + "; an earlier sending may have run, ask the service before another call",
	}
}

// recordRetryAfter is the Retry-After delay for a retry with a new token or key,
// and the least one when the table is full.
const recordRetryAfter = 100 * time.Millisecond

func noRecord(c Call, why string) Decision { return Decision{Refusal: NoRecord(c.First, why)} }

func refused(k citronrock.Kind, r citronrock.Reason, remedy string, after time.Duration) Decision {
	return Decision{Refusal: &citronrock.Error{Kind: k, Reason: r, Remedy: remedy, RetryAfter: after}}
}
