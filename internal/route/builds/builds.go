// Package builds tells which software versions of a service can have begun a stream that
// still goes on: those that the platform's store has listed within the longest time that
// a stream takes. The list is complete only if no change in that time was missed, and if
// a read of the store confirms it that begins after the question.
package builds

import (
	"context"
	"errors"
	"slices"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/origin"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/hashicorp/go-hclog"
)

const (
	// minStreamTime is the shortest assumption for the time between a client's first
	// attempt and its last one. streamMargin is added to the timeouts of routes, as the
	// first attempt came a little earlier.
	minStreamTime = 15 * time.Second
	streamMargin  = time.Second
	// readInterval is the shortest time between two reads, for each readPeers of the other
	// daemons: the store limits the reads of the whole fleet.
	readInterval = 50 * time.Millisecond
	readPeers    = 8
	// queueSize is the number of questions that wait for a read. Others are answered
	// with an incomplete list.
	queueSize = 256
	// maxPages bounds the reads for one answer.
	maxPages = 8
)

// State is what the daemon knows of the store.
type State interface {
	// Document returns the configuration in force, nil if there is none.
	Document() *config.Document
	// Age returns the time since the state was last known to be the newest, and the
	// store's revision then; both are zero before the first read.
	Age() (time.Duration, pool.Revision)
}

// question is a call of Versions that waits for a read of the store.
type question struct {
	service string
	answer  chan origin.List
}

// Finder answers which versions can have begun a stream.
type Finder struct {
	store     citronrock.Store
	table     *pool.Table
	state     State
	peers     func() int
	heartbeat time.Duration
	log       hclog.Logger

	questions chan question
	cancel    context.CancelFunc
	done      chan struct{}
	// historyAt is when the history of the store was last read without being long enough.
	historyAt time.Time
}

// Option changes a setting of a finder.
type Option func(*Finder)

// WithHeartbeat sets the interval at which servers write their entries. Without it the
// time that the store's history covers is not known.
func WithHeartbeat(d time.Duration) Option { return func(f *Finder) { f.heartbeat = d } }

// WithPeers sets a function that returns the number of other daemons, which share the
// store's limit on reads.
func WithPeers(peers func() int) Option { return func(f *Finder) { f.peers = peers } }

// Start starts a finder that reads the store when it is asked. Close stops it.
func Start(store citronrock.Store, table *pool.Table, state State, log hclog.Logger, opts ...Option) *Finder {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Finder{store: store, table: table, state: state, peers: func() int { return 0 }, log: log,
		questions: make(chan question, queueSize), cancel: cancel, done: make(chan struct{})}
	for _, o := range opts {
		o(f)
	}
	go func() {
		defer close(f.done)
		f.run(ctx)
	}()
	return f
}

// Close stops the finder and waits for its end.
func (f *Finder) Close() {
	f.cancel()
	<-f.done
}

// Recent returns the versions that can have begun a stream of a service, by what this
// daemon knows without asking anyone. It is not confirmed.
func (f *Finder) Recent(service string) origin.List {
	return f.list(service, f.streamTime(service))
}

// list returns the versions that were listed within a time, as far as this daemon knows.
func (f *Finder) list(service string, within time.Duration) origin.List {
	_, revision := f.state.Age()
	versions, complete := f.table.Versions(time.Now(), service, within)
	return origin.List{Versions: versions, From: f.table.ObservedFrom(), To: revision, Complete: complete && !revision.IsZero()}
}

// Versions is Recent, confirmed by a read of the store that begins after the call. After
// a start it reads the history of the store. The list is not confirmed if ctx ends before.
func (f *Finder) Versions(ctx context.Context, service string) origin.List {
	q := question{service: service, answer: make(chan origin.List, 1)}
	select {
	case f.questions <- q:
	default:
		return f.Recent(service)
	}
	select {
	case a := <-q.answer:
		return a
	case <-ctx.Done():
	case <-f.done:
	}
	return f.Recent(service)
}

// streamTime returns the longest time from a client's first attempt at a stream of a
// service to its last one.
func (f *Finder) streamTime(service string) time.Duration {
	longest := minStreamTime
	d := f.state.Document()
	if d == nil {
		return longest
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		if r.Kind == config.Stream && slices.ContainsFunc(r.Splits, func(s config.Split) bool { return s.Service == service }) {
			longest = max(longest, r.Timeout+streamMargin)
		}
	}
	return longest
}

// run answers questions until ctx ends. Those that wait at the same time share a read.
func (f *Finder) run(ctx context.Context) {
	for {
		var batch []question
		select {
		case <-ctx.Done():
			return
		case q := <-f.questions:
			batch = append(batch, q)
		}
		for len(f.questions) > 0 {
			batch = append(batch, <-f.questions)
		}
		reads := f.answer(ctx, batch)
		select {
		case <-ctx.Done():
			return
		case <-time.After(readInterval * time.Duration(reads*(1+f.peers()/readPeers))):
		}
	}
}

// answer reads the changes that this daemon does not have yet, answers questions and returns
// the number of reads.
func (f *Finder) answer(ctx context.Context, batch []question) int {
	_, revision := f.state.Age()
	changes, reads, err := f.readChanges(ctx, revision)
	if err != nil {
		f.log.Info("list of software versions not confirmed by the store", "revision", revision.String(), "reads", reads, "error", err.Error())
	}
	for _, q := range batch {
		within := f.streamTime(q.service)
		list := f.list(q.service, within)
		if err != nil {
			q.answer <- list
			continue
		}
		if !list.Complete && f.readHistory(ctx, changes.Revision, within) {
			list = f.list(q.service, within)
		}
		for _, s := range changes.Servers {
			if s.Service == q.service && !slices.Contains(list.Versions, s.Version) {
				list.Versions = append(list.Versions, s.Version)
			}
		}
		list.Confirmed, list.To = !revision.IsZero(), changes.Revision
		q.answer <- list
	}
	return reads
}

// errPages means that the changes had no end within maxPages reads.
var errPages = errors.New("the store has more changes than can be read")

// readChanges returns the servers that were written after a revision and the number of
// reads. A response need not have all changes, so that reads go on until one has fewer than
// the one before: what is written meanwhile is newer than the question.
func (f *Finder) readChanges(ctx context.Context, after pool.Revision) (all *citronrock.Changes, reads int, err error) {
	all = &citronrock.Changes{Revision: after}
	for last := 0; reads < maxPages; reads++ {
		c, err := f.store.Watch(ctx, all.Revision, 0)
		if err != nil {
			return nil, reads + 1, err
		}
		all.Servers, all.Revision = append(all.Servers, c.Servers...), c.Revision
		n := len(c.Servers) + len(c.Removed)
		if c.Document != nil {
			n++
		}
		if n == 0 || n < last {
			return all, reads + 1, nil
		}
		last = n
	}
	return nil, reads, errPages
}
