package origin

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/logs/panics"
	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/route/pool"
)

const (
	// A query is sent again each askAgain to those that have not answered, until askTime
	// has passed.
	askAgain = 30 * time.Millisecond
	askTime  = 150 * time.Millisecond
	// historyTime bounds the wait for this daemon's own history.
	historyTime = 500 * time.Millisecond
)

// Result tells how a search for the version of a stream has ended.
type Result int

// Results of searches.
const (
	// Own: this daemon held the record.
	Own Result = iota
	// Peer: another daemon held the record.
	Peer
	// Only: there is no record, and only one version can have begun the stream.
	Only
	// Unknown: there is no record, and several versions can have begun the stream, or it is
	// not known which ones.
	Unknown
	// Contested: the version is unknown for good, or the stream is another service's.
	Contested
	results
)

// ResultNames holds the name of each result in metrics and log lines.
var ResultNames = [results]string{Own: "own", Peer: "peer", Only: "history", Unknown: "unknown", Contested: "contested"}

// Found returns the number of searches with a result.
func (g *Group) Found(r Result) int64 { return g.found[r].Load() }

// Find returns the version at which a client's attempt began its stream, also if only one
// version can have begun it. attempt is empty if the client does not name it. ok is false
// if the version can't be known; that takes 150 ms, or 0.5 s if the history takes long. A
// record that is found is kept until the deadline of ctx at least.
func (g *Group) Find(ctx context.Context, service, attempt string) (version string, ok bool) {
	started := time.Now()
	s := &search{waiter: make(waiter, 1), service: service, attempt: attempt, asked: map[netip.AddrPort]bool{}}
	if len(attempt) > MaxAttempt {
		s.attempt = "" // no daemon has recorded it
	}
	result := g.find(ctx, s)
	g.found[result].Add(1)
	switch result {
	case Own, Peer:
		version = s.origin.Version
		g.keep(ctx, s.origin)
	case Only:
		version = s.versions[0]
	}
	if result != Own {
		g.log.Info("origin of a stream searched", "resumes", attempt, "service", service, "software", version, "result", ResultNames[result],
			"asked", len(s.asked), "answered", s.answered, "complete", s.complete(), "took", lines.Ms(time.Since(started)))
	}
	return version, result < Unknown
}

// keep holds a record that was found until the client's new time is up, and sends it again
// to those that are to hold it.
func (g *Group) keep(ctx context.Context, o Origin) {
	if end, ok := ctx.Deadline(); ok && end.After(o.Until) {
		o.Until = end
	}
	g.mu.Lock()
	o, ok := g.table.Put(time.Now(), o)
	g.mu.Unlock()
	if ok {
		g.spread(o, holders)
	}
}

// search is a search for the version of a stream. The group's mu guards what follows
// attempt until the search has ended.
type search struct {
	waiter
	service, attempt string
	// asked has the daemons that were asked, true while they have not answered.
	asked    map[netip.AddrPort]bool
	answered int
	// origin is the record that was found if known is set.
	origin Origin
	known  bool
	// versions are those of all complete lists and of this daemon's own, without
	// repetitions. own is this daemon's list, reaches the latest revision of the store up
	// to which the list of another daemon is complete.
	versions []string
	own      List
	reaches  pool.Revision
	// reading is set while this daemon's own history is not confirmed.
	reading bool
}

// record takes a record from another daemon. Records that contradict each other make the
// version unknown for good.
func (s *search) record(o Origin) {
	if s.known && (s.origin.Service != o.Service || s.origin.Version != o.Version) {
		o.Version = ""
	}
	s.origin, s.known = o, true
}

// addHistory adds the versions of a list. An incomplete one of this daemon's own counts for
// what it has.
func (s *search) addHistory(versions []string) {
	s.versions = distinct(slices.Concat(s.versions, versions))
}

// complete reports whether no other version can have begun the stream. Only a read of the
// store by this daemon that began after the question shows the newest versions, as any other
// knowledge may be older than the stream, however new it is; the lists of others count for
// the time before this daemon's own one begins.
func (s *search) complete() bool {
	return s.own.Confirmed && (s.own.Complete || !s.reaches.Before(s.own.From) && !s.reaches.IsZero())
}

// judge returns how a search ends that found a record.
func (s *search) judge(source Result) Result {
	if s.origin.Version == "" || s.origin.Service != s.service {
		return Contested
	}
	return source
}

// find runs a search.
func (g *Group) find(ctx context.Context, s *search) Result {
	if s.attempt != "" {
		g.mu.Lock()
		s.origin, s.known = g.table.Get(time.Now(), s.attempt)
		g.mu.Unlock()
		if s.known {
			return s.judge(Own)
		}
	}
	number, ok := g.beginSearch(s)
	if !ok {
		return Unknown
	}
	defer g.endSearch(number)
	m := query{Number: number, Attempt: []byte(s.attempt), Service: []byte(s.service)}
	started := time.Now()
	g.socket.Send(dgram.OriginQuery, m, g.silentOnes(s)...)
	ctx, cancel := context.WithTimeout(ctx, historyTime)
	defer cancel()
	g.readHistory(ctx, s, number)
	// Timers without channels: see fleet_test.go.
	timer := time.AfterFunc(askAgain, s.poke)
	defer timer.Stop()
	for sent := started; ; {
		now := time.Now()
		over := now.Sub(started) >= askTime
		if result, done := g.decide(s, over); done {
			return result
		}
		if !over && now.Sub(sent) >= askAgain {
			g.socket.Send(dgram.OriginQuery, m, g.silentOnes(s)...)
			sent = now
			timer.Reset(askAgain)
		}
		select {
		case <-s.waiter:
		case <-ctx.Done():
			return g.lastResult(s)
		case <-g.closing.Done():
			return Unknown
		}
	}
}

// beginSearch registers a search and the daemons to be asked, unless too many are in
// flight.
func (g *Group) beginSearch(s *search) (uint64, bool) {
	key := s.attempt
	if key == "" {
		key = strconv.FormatUint(rand.Uint64(), 16) // any daemons, for their history
	}
	_, ask := order(key, g.peers(), reach)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed || len(g.searches) >= maxSearches {
		return 0, false
	}
	for _, addr := range ask {
		s.asked[addr] = true
	}
	g.number++
	g.searches[g.number] = s
	return g.number, true
}

func (g *Group) endSearch(number uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.searches, number)
}

// silentOnes returns the daemons that have not answered.
func (g *Group) silentOnes(s *search) []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []netip.AddrPort
	for addr, waiting := range s.asked {
		if waiting {
			out = append(out, addr)
		}
	}
	return out
}

// decide returns the result of a search if there is one already. over is set when the time
// for answers has passed.
func (g *Group) decide(s *search, over bool) (result Result, done bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case s.known:
		return s.judge(Peer), true
	case !over && s.answered < len(s.asked), s.reading:
		return Unknown, false
	case s.complete() && len(s.versions) == 1 && s.versions[0] != "":
		return Only, true
	}
	return Unknown, true
}

// lastResult returns the result of a search that can wait no longer.
func (g *Group) lastResult(s *search) Result {
	g.mu.Lock()
	s.reading = false
	g.mu.Unlock()
	result, _ := g.decide(s, true)
	return result
}

// readHistory adds this daemon's own history to a search: what it knows at once, and later
// the confirmed list, if the search has not ended.
func (g *Group) readHistory(ctx context.Context, s *search, number uint64) {
	if g.history == nil {
		return
	}
	known := g.history(g.done, s.service)
	g.mu.Lock()
	defer g.mu.Unlock()
	s.addHistory(known.Versions)
	if g.closed {
		return
	}
	s.reading = true
	g.running.Go(func() {
		defer panics.Recover(g.log, "origins of streams")
		list := g.history(ctx, s.service)
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.searches[number] != s {
			return
		}
		s.reading, s.own = false, list
		s.addHistory(list.Versions)
		s.poke()
	})
}
