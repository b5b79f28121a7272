package ledger

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/core/share"
)

// Classes of queued requests, in the order in which they are served.
const (
	classResumed = iota
	classPrefilled
	// classTimely are first attempts that can still meet their latency target.
	classTimely
	classRetried
	classLate
)

func (q *queuedRequest) classAt(now time.Time) int {
	switch {
	case q.Resumed:
		return classResumed
	case q.Prefilled:
		return classPrefilled
	case now.Before(q.lateAt) && !q.retried:
		return classTimely
	case q.retried:
		return classRetried
	}
	return classLate
}

// sortQueue sorts the queue by class. Within a class the rank counts, then the tokens that
// the tenants of the requests were granted, then the earliest deadline.
func (l *Ledger) sortQueue(now time.Time) {
	for _, q := range l.queue {
		q.class = q.classAt(now)
	}
	slices.SortStableFunc(l.queue, func(a, b *queuedRequest) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.Rank, b.Rank), a.lateAt.Compare(b.lateAt))
	})
	if l.shares != nil && l.severalTenants() {
		l.interleave(now)
	}
}

// interleave reorders the requests of each class and rank by weighted fair queueing over
// their tenants. Requests of one tenant keep their order.
func (l *Ledger) interleave(now time.Time) {
	l.shares.Begin(now, l.tenants())
	for rest := l.queue; len(rest) > 0; {
		first, n, mixed := rest[0], 1, false
		for n < len(rest) && rest[n].class == first.class && rest[n].Rank == first.Rank {
			mixed = mixed || rest[n].Tenant != first.Tenant
			n++
		}
		if mixed {
			l.interleaveGroup(rest[:n])
		}
		rest = rest[n:]
	}
}

func (l *Ledger) interleaveGroup(group []*queuedRequest) {
	l.shares.Group()
	for i, q := range group {
		q.tag, q.place = l.shares.Tag(q.Tenant, float64(q.Prompt+q.Expected)), i
	}
	slices.SortFunc(group, func(a, b *queuedRequest) int {
		return cmp.Or(cmp.Compare(a.tag, b.tag), cmp.Compare(a.place, b.place))
	})
}

// severalTenants returns whether requests of several tenants are queued.
func (l *Ledger) severalTenants() bool {
	return slices.ContainsFunc(l.queue, func(q *queuedRequest) bool { return q.Tenant != l.queue[0].Tenant })
}

// tenants returns the tenants of the queued requests.
func (l *Ledger) tenants() iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, q := range l.queue {
			if !yield(q.Tenant) {
				return
			}
		}
	}
}

// noteTenant begins to account by tenant with the first request that has one.
func (l *Ledger) noteTenant(tenant string) {
	if tenant != "" && l.shares == nil {
		l.shares = share.New(share.Window)
	}
}

// charge adds the tokens of a granted request to its tenant's account.
func (l *Ledger) charge(now time.Time, req *Request) {
	if l.shares != nil {
		l.shares.Charge(now, req.Tenant, float64(req.Prompt+req.Expected))
	}
}
