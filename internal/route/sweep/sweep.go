// Package sweep asks engines for the client attempts that they run, when all daemons have
// started at the same time: their records of the origins of streams are lost, and
// engines that don't notice at once that their daemon died still run its requests.
//
// That is evidence, not a guess: daemons send an attempt that may have run to engines of
// one software version only.
package sweep

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"citronrock.example/citronrock/internal/core/owner"
	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/logs/panics"
	"citronrock.example/citronrock/internal/peer/gossip"
	"citronrock.example/citronrock/internal/room/ledger"
	"citronrock.example/citronrock/internal/route/origin"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/hashicorp/go-hclog"
)

const (
	// firstRound is the time after the start at which engines are asked first: the daemon
	// has found others then. Reports are some hundred milliseconds old, so that later
	// rounds find requests that began just before the daemons died.
	firstRound = 150 * time.Millisecond
	interval   = 300 * time.Millisecond
	rounds     = 5
	// freshTime is the age up to which another daemon counts as started at the same time.
	freshTime = 5 * time.Second
	// askers is the number of daemons that ask each engine, atOnce the number of engines
	// that a daemon asks at the same time.
	askers = 2
	atOnce = 32
	// reportTime bounds one report, keepTime is how long what it says is kept. It is
	// longer than clients try to take up a stream.
	reportTime = 400 * time.Millisecond
	keepTime   = 30 * time.Second
)

// Engines reads the usage of engines.
type Engines interface {
	Usage(ctx context.Context, s pool.Server) (ledger.Usage, error)
}

// Origins takes the origins that were found.
type Origins interface {
	Learn(o origin.Origin)
}

// Sweep asks engines once, after the start.
type Sweep struct {
	self    netip.AddrPort
	members gossip.Members
	table   *pool.Table
	engines Engines
	origins Origins
	log     hclog.Logger

	mu    sync.Mutex
	known map[string]bool

	cancel context.CancelFunc
	done   chan struct{}
}

// Start starts a sweep of the engines in the table. Close ends it.
func Start(self netip.AddrPort, members gossip.Members, table *pool.Table, engines Engines, origins Origins, log hclog.Logger) *Sweep {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Sweep{self: self, members: members, table: table, engines: engines, origins: origins, log: log,
		known: map[string]bool{}, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		defer panics.Recover(log, "sweep of the engines")
		s.run(ctx)
	}()
	return s
}

// Close ends the sweep and waits for its end.
func (s *Sweep) Close() {
	s.cancel()
	<-s.done
}

func (s *Sweep) run(ctx context.Context) {
	started := time.Now()
	for asked, pause := 0, firstRound; asked < rounds && time.Since(started) < freshTime; pause = interval {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		alive := s.members.Alive()
		if !allFresh(alive, time.Now()) {
			return // the others have their records
		}
		if engines := s.share(alive); len(engines) > 0 {
			s.ask(ctx, engines)
			asked++
		}
	}
}

// allFresh reports whether all daemons have started lately.
func allFresh(alive []gossip.LiveMember, now time.Time) bool {
	return !slices.ContainsFunc(alive, func(m gossip.LiveMember) bool {
		return now.Sub(time.Unix(0, m.Incarnation)) > freshTime
	})
}

// share returns the engines that this daemon asks. Leaving engines still run requests.
func (s *Sweep) share(alive []gossip.LiveMember) []pool.Server {
	others := make([]string, 0, len(alive))
	for _, m := range alive {
		if m.Addr != s.self {
			others = append(others, m.Addr.String())
		}
	}
	self := s.self.String()
	return slices.DeleteFunc(s.table.All(), func(e pool.Server) bool {
		return e.Stage == pool.Plain || e.Version == "" || !isAmongFirst(e.ID, self, others)
	})
}

// isAmongFirst reports whether self is among the askers in the rendezvous order of an
// engine.
func isAmongFirst(engine, self string, others []string) bool {
	own, before := owner.Score(engine, self), 0
	for _, name := range others {
		if owner.Score(engine, name) > own {
			if before++; before == askers {
				return false
			}
		}
	}
	return true
}

// ask asks engines and passes on what they say.
func (s *Sweep) ask(ctx context.Context, engines []pool.Server) {
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	start := time.Now()
	limit := make(chan struct{}, atOnce)
	var all sync.WaitGroup
	found, failed := 0, 0
	for _, e := range engines {
		limit <- struct{}{}
		all.Go(func() {
			defer func() { <-limit }()
			defer panics.Recover(s.log, "sweep of the engines")
			u, err := s.engines.Usage(ctx, e)
			s.mu.Lock()
			defer s.mu.Unlock()
			switch {
			case err != nil:
				failed++
				s.log.Info("engine did not report its requests", "server", e.ID, "error", err.Error())
			case !u.Busy && u.Stage != pool.Prefill:
				found += s.learn(e, u.Attempts)
			}
		})
	}
	all.Wait()
	s.log.Info("engines asked for the streams they run", "servers", len(engines), "failed", failed, "found", found, "took", lines.Ms(time.Since(start)))
}

// learn passes on the attempts that an engine runs and returns how many are new. s.mu must
// be held.
func (s *Sweep) learn(e pool.Server, attempts []string) int {
	until := time.Now().Add(keepTime)
	found := 0
	for _, id := range attempts {
		if key := id + "\x00" + e.Version; !s.known[key] {
			s.known[key] = true
			found++
			s.origins.Learn(origin.Origin{Attempt: id, Service: e.Service, Version: e.Version, Until: until})
		}
	}
	return found
}
