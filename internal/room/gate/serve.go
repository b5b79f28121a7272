package gate

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/room/permit"
)

// ownerOf returns the daemon that owns the limit of a server, the zero value if there is
// none. The caller holds mu.
func (g *Gate) ownerOf(now time.Time, sv *server) netip.AddrPort {
	if now.Sub(sv.ownerAt) > ownerTTL {
		sv.owner, sv.ownerAt = permit.Owner(sv.ID, g.members.Alive()), now
	}
	return sv.owner
}

// setRate sets the rate of a server's account. The caller holds mu.
func (g *Gate) setRate(now time.Time, sv *server) {
	sv.account.SetRate(now, sv.known.Rate(), permit.Share(len(g.members.Alive()), g.members.Lost()))
}

// grant takes permits from the account of a server that this daemon owns. The caller
// holds mu.
func (g *Gate) grant(now time.Time, sv *server, n, held int) permit.Verdict {
	if sv.account == nil {
		sv.account = permit.NewAccount(now)
	}
	g.setRate(now, sv)
	return sv.account.Take(now, n, held)
}

// onRequest answers another daemon that asks for permits.
func (g *Gate) onRequest(from netip.AddrPort, body []byte) {
	var r request
	if !g.socket.Decode(body, &r) {
		return
	}
	if answer, ok := g.answer(time.Now(), r); ok {
		g.socket.Send(dgram.PermitReply, answer, from)
	}
}

// answer returns the answer to an ask, false if the ask is not valid.
func (g *Gate) answer(now time.Time, r request) (reply, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	sv := g.learnNotice(now, r.Notice)
	if sv == nil {
		return reply{}, false
	}
	sv.usedAt = now
	out := reply{ID: r.ID, Verdict: permit.Verdict{Hold: ownerlessHold, Return: ownerlessHold}}
	if sv.known.Limited() && g.ownerOf(now, sv) == g.self {
		out.Verdict = g.grant(now, sv, min(max(r.N, 0), maxBatch), min(max(r.Held, 0), maxBatch))
	}
	out.Notice = sv.known.Notice(now, sv.ID, sv.StartedAt)
	return out, true
}

// announceOwned announces the limits that this daemon owns.
func (g *Gate) announceOwned(now time.Time) {
	if notices := g.ownedNotices(now); len(notices) > 0 {
		g.announce.BroadcastLimits(notices)
	}
}

// ownedNotices returns the notices of the limits that this daemon owns. It drops the
// accounts of others, and servers that are gone.
func (g *Gate) ownedNotices(now time.Time) []permit.Notice {
	g.mu.Lock()
	defer g.mu.Unlock()
	var notices []permit.Notice
	for p, sv := range g.servers {
		unused := now.Sub(sv.usedAt) > forgetAfter
		switch {
		case unused && !sv.known.Limited():
			delete(g.servers, p)
		case unused && !g.table.Listed(p):
			g.limited.Add(-1)
			delete(g.servers, p)
		case g.ownerOf(now, sv) != g.self:
			sv.account = nil
		case sv.known.Limited() || now.Sub(sv.known.Limit().Arrived) < endedNoticeTime:
			notices = append(notices, sv.known.Notice(now, p.ID, p.StartedAt))
		}
	}
	for p := range g.invalidAt {
		if !g.table.Listed(p) {
			delete(g.invalidAt, p)
		}
	}
	return notices
}

// record logs what this daemon has sent to limited servers, and the accounts of the
// limits that it owns.
func (g *Gate) record(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, sv := range g.servers {
		sum := 0
		fields := []any{"server", sv.ID, "service", sv.service, "limit", sv.known.Limit().Rate}
		for path, n := range sv.sent {
			sum += n
			if n > 0 {
				fields = append(fields, PathNames[path], n)
			}
		}
		if sv.sent = [paths]int{}; sum > 0 {
			g.log.Info("sent to a limited server", append(fields, "sent", sum)...)
		}
		if now.Sub(sv.usedAt) < recordInterval {
			g.recordAccount(now, sv)
		}
	}
}

// recordAccount logs the account of a limit that this daemon owns. The caller holds mu.
func (g *Gate) recordAccount(now time.Time, sv *server) {
	if sv.account == nil || !sv.known.Limited() {
		return
	}
	l := sv.account.Load(now)
	g.log.Info("limit of a server", "server", sv.ID, "service", sv.service, "limit", sv.known.Limit().Rate, "most", l.Most,
		"allowed", l.Allowed, "used", math.Round(100*l.Used)/100, "granted", l.Granted, "denied", l.Denied)
}

// Sent returns the number of requests on a path to limited servers.
func (g *Gate) Sent(path Path) int64 { return g.sent[path].Load() }

// Limited returns the number of servers that name a limit.
func (g *Gate) Limited() int64 { return g.limited.Load() }

// Granted returns the number of permits that this daemon got.
func (g *Gate) Granted() int64 { return g.counts.granted.Load() }

// Denied returns the number of requests to limited servers that got none.
func (g *Gate) Denied() int64 { return g.counts.denied.Load() }

// Unanswered returns the number of asks for permits that the owner did not answer.
func (g *Gate) Unanswered() int64 { return g.counts.unanswered.Load() }

// Limit is the state of a limit for operators.
type Limit struct {
	Server  string  `json:"server"`
	Service string  `json:"service"`
	Rate    float64 `json:"limit"`
	// Owner is the address of the daemon that accounts for the limit, which alone knows
	// the numbers below.
	Owner   string  `json:"owner"`
	Granted int     `json:"granted"`
	Denied  int     `json:"denied"`
	Most    int     `json:"most"`
	Allowed int     `json:"allowed"`
	Used    float64 `json:"used"`
}

// Limits returns the limits that this daemon knows, sorted by server.
func (g *Gate) Limits() []Limit {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Limit
	for _, sv := range g.servers {
		if !sv.known.Limited() {
			continue
		}
		l := Limit{Server: sv.ID, Service: sv.service, Rate: sv.known.Limit().Rate, Owner: g.ownerOf(now, sv).String()}
		if sv.account != nil {
			load := sv.account.Load(now)
			l.Granted, l.Denied, l.Most, l.Allowed, l.Used = load.Granted, load.Denied, load.Most, load.Allowed, load.Used
		}
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b Limit) int { return cmp.Compare(a.Server, b.Server) })
	return out
}
