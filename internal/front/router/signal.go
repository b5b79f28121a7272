package router

import (
	"time"

	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/route/pool"
)

// heardServer takes what an answer said of its server.
func (r *Router) heardServer(s pool.Server, signal pool.Signal) {
	if signal.RetryAfter > 0 {
		r.log.Info("server to be left alone", "server", s.ID, "wait", lines.Ms(signal.RetryAfter))
	}
	r.table.ApplySignal(time.Now(), s, signal)
}

// tellLeaving tells the others of a process that takes no new work.
func (r *Router) tellLeaving(s pool.Server) {
	r.log.Info("server leaves by its own answer", "server", s.ID, "service", s.Service, "born", s.StartedAt.UnixMilli())
	r.notices.BroadcastDraining(s.Process())
}

// heardLeaving takes a process of which another daemon tells that it takes no new
// work.
func (r *Router) heardLeaving(p pool.Process) {
	if r.table.MarkDraining(time.Now(), p) {
		r.log.Info("server leaves by the word of another daemon", "server", p.ID, "born", p.StartedAt)
	}
}
