package follow

import (
	"context"
	"net/netip"
	"time"

	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/delta"
	"citronrock.example/citronrock/internal/route/pool"
)

const (
	// fetchInterval is the time between fetches of a configuration that none of the
	// asked daemons had.
	fetchInterval = 100 * time.Millisecond
	// documentTimeout is the time after which a configuration is also read from the
	// store, as no other daemon has provided it.
	documentTimeout = 800 * time.Millisecond
	// maxUpdatePatch bounds the patch in an update in bytes, and maxPatchChanges the
	// changes in it: updates are repeated, and relayed over the links of small machines.
	maxUpdatePatch  = 3 << 10
	maxPatchChanges = 24
)

// announcement is a configuration that another daemon has announced.
type announcement struct {
	version uint64
	// revision is the one at which the version was the newest.
	revision pool.Revision
	from     netip.AddrPort
	// since is when this daemon first lacked a configuration, base and patch are a
	// patch to the announced one.
	since time.Time
	base  uint64
	patch []byte
	// fetching is set while the configuration is being fetched.
	fetching bool
}

// fetch is a configuration to be fetched after a delay.
type fetch struct {
	version uint64
	from    netip.AddrPort
	have    *config.Document
	delay   time.Duration
}

// fetched is the end of a fetch.
type fetched struct {
	document *config.Document
	err      error
}

// considerVersion puts the configuration that an update announces in force, by the
// patch in the update where that fits, and else has it fetched. Only the newest version
// counts: one that is being fetched is brought up to date by later patches.
func (f *Follower) considerVersion(u receivedUpdate) {
	at := pool.Revision{Era: u.Era, Number: u.Revision}
	if u.Version <= f.version() {
		f.markDocument(at)
		return
	}
	w := &announcement{version: u.Version, revision: at, from: u.sender(), since: u.at, base: u.PatchBase, patch: u.Patch}
	if old := f.wanted; old != nil {
		w.since, w.fetching = old.since, old.fetching
		if old.version > w.version {
			return
		}
	}
	f.wanted = w
	f.tryPatch()
	f.fetchWanted(0)
}

// tryPatch applies the patch of the wanted configuration if it fits the one in force.
func (f *Follower) tryPatch() {
	w := f.wanted
	if w == nil || len(w.patch) == 0 || w.base > f.version() {
		return
	}
	p, err := delta.Decode(w.patch)
	if err == nil && p.Version != w.version {
		return // a patch of another version than the announced one is of no use
	}
	var d *config.Document
	before := f.version()
	if err == nil {
		d, err = p.Apply(f.document.Load())
	}
	if err != nil {
		f.log.Warn("patch of the configuration not applied; fetching the whole", "version", w.version, "error", err.Error())
		w.patch = nil
		return
	}
	f.installWith(d, "patch", w.since, func(l *delta.Log) { l.AddPatch(before, p) })
	f.markDocument(w.revision)
}

// fetchWanted has the wanted configuration fetched, after a delay, unless that is in
// progress.
func (f *Follower) fetchWanted(delay time.Duration) {
	w := f.wanted
	if w == nil || w.fetching {
		return
	}
	w.fetching = true
	f.fetches <- fetch{version: w.version, from: w.from, have: f.document.Load(), delay: delay} // there is room, as no other fetch is in progress
}

// fetchDocuments fetches configurations until ctx ends.
func (f *Follower) fetchDocuments(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-f.fetches:
			var out fetched
			if r.delay > 0 {
				select {
				case <-ctx.Done():
					return
				case <-time.After(r.delay):
				}
			}
			if err := f.catchPanic("fetch of a configuration", func() error {
				out.document, out.err = f.peers.FetchDocument(ctx, r.from, r.have, r.version)
				return nil
			}); err != nil {
				out.err = err
			}
			f.fetched <- out // there is room, as no other fetch is in progress
		}
	}
}

// applyFetched puts a fetched configuration in force, and has a newer one fetched if it
// was announced meanwhile and its patch does not fit.
func (f *Follower) applyFetched(r fetched) {
	if r.err == nil {
		since := time.Now()
		if f.wanted != nil {
			since = f.wanted.since
		}
		r.err = f.catchPanic("configuration", func() error { f.install(r.document, "peer", since); return nil })
	}
	w := f.wanted
	if w == nil {
		return // another way was faster
	}
	w.fetching = false
	if w.version <= f.version() {
		f.markDocument(w.revision)
		return
	}
	_ = f.catchPanic("patch", func() error { f.tryPatch(); return nil }) // the whole is fetched after a panic
	delay := time.Duration(0)
	if r.err != nil {
		delay = fetchInterval
	}
	f.fetchWanted(delay)
	if w := f.wanted; w != nil && time.Since(w.since) > documentTimeout && time.Now().After(f.retryAt) {
		f.startRead()
	}
}

// markDocument records that no configuration up to a revision is newer than the one in
// force.
func (f *Follower) markDocument(at pool.Revision) {
	f.mu.Lock()
	if f.documentRevision.Before(at) {
		f.documentRevision = at
	}
	f.mu.Unlock()
	if f.wanted != nil && f.wanted.version <= f.version() && !f.wanted.fetching {
		f.wanted = nil
	}
}

// install puts a configuration in force unless it is older than the current one.
// source tells where it came from, and since when this daemon has known of it.
func (f *Follower) install(d *config.Document, source string, since time.Time) {
	older := f.document.Load()
	f.installWith(d, source, since, func(l *delta.Log) { l.Add(older, d) })
}

// installWith is install with the function that adds the step to the log of versions.
func (f *Follower) installWith(d *config.Document, source string, since time.Time, record func(*delta.Log)) {
	current := f.document.Load()
	if d == nil || current != nil && d.Version <= current.Version {
		return
	}
	f.onDocument(d)
	f.mu.Lock()
	record(&f.versions)
	f.mu.Unlock()
	f.document.Store(d)
	f.log.Info("configuration in force", "version", d.Version, "routes", len(d.Routes), "services", len(d.Services),
		"source", source, "took", lines.Ms(time.Since(since)))
}

// recentPatch returns the encoded patch for updates: from the oldest version that it has
// room for to the one in force.
func (f *Follower) recentPatch() (base uint64, patch []byte) {
	if f.patchVersion == f.version() {
		return f.patchBase, f.encodedPatch
	}
	f.patchVersion, f.patchBase, f.encodedPatch = f.version(), 0, nil
	for limit := maxPatchChanges; limit > 0; limit /= 2 {
		f.mu.Lock()
		p := f.versions.Recent(limit)
		f.mu.Unlock()
		if p == nil {
			break
		}
		body, err := p.Encode()
		if err != nil {
			f.log.Warn("patch of the configuration not sent", "version", p.Version, "error", err.Error())
			break
		}
		if len(body) <= maxUpdatePatch {
			f.patchBase, f.encodedPatch = p.Base, body
			break
		}
	}
	return f.patchBase, f.encodedPatch
}
