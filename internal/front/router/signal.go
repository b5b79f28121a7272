package router

import (
	"time"

	"citronrock.example/citronrock/internal/logs/lines"
	"citronrock.example/citronrock/internal/route/fleet"
)

// heardServer takes what an answer said of its server.
func (r *Router) heardServer(s fleet.Server, signal fleet.Signal) {
	if signal.Wait > 0 {
		r.log.Info("server to be left alone", "server", s.ID, "wait", lines.Ms(signal.Wait))
	}
	r.table.Heard(time.Now(), s, signal)
}

// tellLeaving tells the others of a process that takes no new work.
func (r *Router) tellLeaving(s fleet.Server) {
	r.log.Info("server leaves by its own answer", "server", s.ID, "service", s.Service, "born", s.Born.UnixMilli())
	r.notices.TellLeaving(s.Process())
}

// heardLeaving takes a process of which another daemon tells that it takes no new
// work.
func (r *Router) heardLeaving(p fleet.Process) {
	if r.table.MarkLeaving(time.Now(), p) {
		r.log.Info("server leaves by the word of another daemon", "server", p.ID, "born", p.Born)
	}
}
