package pool

import (
	"maps"
	"slices"
	"time"
)

// versionTTL is how long a version is remembered after its last entry went away.
const versionTTL = 5 * time.Minute

// versionKey is a version of the software of a service's servers.
type versionKey struct{ service, version string }

// Versions returns the versions of the software at which the servers of a service were
// listed within a time before now, sorted, with "" for entries without one. complete is
// false if changes within that time may have been missed.
func (t *Table) Versions(now time.Time, service string, within time.Duration) (versions []string, complete bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := map[string]bool{}
	for _, r := range t.servers {
		if r.Service == service {
			found[r.Version] = true
		}
	}
	for k, lastSeen := range t.versionSeen {
		// An entry that expired in an outage of the store stays in use for renewalGrace.
		if k.service == service && now.Sub(lastSeen) <= within+renewalGrace {
			found[k.version] = true
		}
	}
	complete = !t.observedSince.IsZero() && now.Sub(t.observedSince) >= within
	return slices.Sorted(maps.Keys(found)), complete
}

// ObservedFrom returns the revision of the store from which on no change of the entries was
// missed, zero before the first full read.
func (t *Table) ObservedFrom() Revision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.observedFrom
}

// AddHistory adds servers that were listed at some time after since, and records that no
// other ones were listed from then on until this daemon began to see all changes.
func (t *Table) AddHistory(now, since time.Time, listed []Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range listed {
		t.noteVersion(now, s)
	}
	if !t.observedSince.IsZero() && since.Before(t.observedSince) {
		t.observedSince = since
	}
}

// noteVersion records that an entry was in the table until now. t.mu must be held.
func (t *Table) noteVersion(now time.Time, s Server) {
	maps.DeleteFunc(t.versionSeen, func(_ versionKey, lastSeen time.Time) bool { return now.Sub(lastSeen) > versionTTL })
	if k := (versionKey{s.Service, s.Version}); now.After(t.versionSeen[k]) {
		t.versionSeen[k] = now
	}
}
