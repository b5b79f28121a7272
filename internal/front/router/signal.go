package router

import (
	"time"

	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/route/pool"
)

// onSignal handles what a response says about its server.
func (r *Router) onSignal(s pool.Server, signal pool.Signal) {
	if signal.RetryAfter > 0 {
		r.log.Info("server is backing off", "server", s.ID, "wait", lines.Ms(signal.RetryAfter))
	}
	r.table.ApplySignal(time.Now(), s, signal)
}

// broadcastDraining tells the other daemons that a server process is draining.
func (r *Router) broadcastDraining(s pool.Server) {
	r.log.Info("server announces that it is draining", "server", s.ID, "service", s.Service, "born", s.StartedAt.UnixMilli())
	r.fanout.BroadcastDraining(s.Process())
}

// onDraining handles the message of another daemon that a server process is
// draining.
func (r *Router) onDraining(p pool.Process) {
	if r.table.MarkDraining(time.Now(), p) {
		r.log.Info("another daemon reports that a server is draining", "server", p.ID, "born", p.StartedAt)
	}
}
