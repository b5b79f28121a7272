// Package repeat runs functions at intervals until they are stopped.
//
// It uses timers without channels: two threads that run timers with channels in one synctest
// bubble at the same time crash the race detector of Go 1.26.
package repeat

import (
	"sync"
	"time"

	"citronrock.example/citronrock/internal/logs/panics"
	"github.com/hashicorp/go-hclog"
)

// Group is a set of functions that are stopped together. It is safe for concurrent use.
type Group struct {
	log  hclog.Logger
	what string

	mu     sync.Mutex
	timers []*time.Timer
	closed bool
	// running counts the calls that have not ended.
	running sync.WaitGroup
}

// New returns an empty group. what names its work in the log lines of recovered panics.
func New(log hclog.Logger, what string) *Group { return &Group{log: log, what: what} }

// Every calls f at intervals until the group is closed. A panic ends one call.
func (g *Group) Every(interval time.Duration, f func(now time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var t *time.Timer
	t = time.AfterFunc(interval, func() {
		g.mu.Lock()
		if g.closed {
			g.mu.Unlock()
			return
		}
		g.running.Add(1)
		t.Reset(interval)
		g.mu.Unlock()
		defer g.running.Done()
		defer panics.Recover(g.log, g.what)
		f(time.Now())
	})
	g.timers = append(g.timers, t)
}

// Close stops all functions and waits for those that run.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	for _, t := range g.timers {
		t.Stop()
	}
	g.mu.Unlock()
	g.running.Wait()
}
