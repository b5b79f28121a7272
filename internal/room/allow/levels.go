package allow

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/room/bucket"
)

const (
	// replicaTTL is how long the level of another daemon's account is used.
	replicaTTL = 10 * time.Second
	// adoptTime is the time in which an account that began with no knowledge takes over
	// the level that another daemon had.
	adoptTime = time.Second
	// activeTime is how long the levels of an account are sent after its last use.
	activeTime = 5 * time.Second
	// maxLevels bounds the accounts in one message, about 8 KB.
	maxLevels = 128
)

// level is the level of one account.
type level struct {
	Tenant string  `cbor:"1,keyasint"`
	Level  float64 `cbor:"2,keyasint"`
	// Spent are units that the sender has granted in place of the receiver.
	Spent float64 `cbor:"3,keyasint,omitempty"`
}

// levels is the message with the levels of accounts.
type levels struct {
	Accounts []level `cbor:"1,keyasint"`
}

// replica is the level of an account at another daemon as of a time.
type replica struct {
	level float64
	at    time.Time
}

// sendLevels sends the levels of the accounts in use to the daemons that own them next, and
// what was granted in place of an owner to that. The caller holds mu.
func (m *Manager) sendLevels(now time.Time) {
	out := map[netip.AddrPort][]level{}
	for tenant, a := range m.accounts {
		// A new account of a long idle tenant would be full, so that one that is not full
		// yet has to be kept.
		if idle := now.Sub(a.usedAt) > forgetAfter; idle && (a.IsFull(now) || m.lookup(tenant) == nil) {
			delete(m.accounts, tenant)
			continue
		}
		if now.Sub(a.usedAt) > activeTime && a.instead == 0 {
			continue
		}
		list := m.ownersOf(now, tenant)
		l := level{Tenant: tenant, Level: a.Level(now)}
		if list[0] == m.self {
			a.instead = 0
			for _, to := range list[1:] {
				if to.IsValid() {
					out[to] = append(out[to], l)
				}
			}
			continue
		}
		if to := list[0]; to.IsValid() && (a.instead > 0 || now.Sub(a.usedAt) < 2*levelsInterval) {
			l.Spent, a.instead = a.instead, 0
			out[to] = append(out[to], l)
		}
		if !slices.Contains(list, m.self) {
			m.replicas[tenant] = replica{l.Level, now}
			delete(m.accounts, tenant)
		}
	}
	for to, all := range out {
		for part := range slices.Chunk(all, maxLevels) {
			m.socket.Send(dgram.QuotaLevels, levels{part}, to)
		}
	}
	for tenant, r := range m.replicas {
		if now.Sub(r.at) > replicaTTL {
			delete(m.replicas, tenant)
		}
	}
}

// onLevels takes the levels of another daemon.
func (m *Manager) onLevels(_ netip.AddrPort, body []byte) {
	var in levels
	if !m.socket.Decode(body, &in) {
		return
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range in.Accounts {
		if m.lookup(l.Tenant) == nil || l.Level != l.Level || len(m.replicas) >= maxReplicas {
			continue
		}
		m.takeLevel(now, l)
	}
}

// maxReplicas bounds the levels of other daemons' accounts.
const maxReplicas = 1 << 15

// takeLevel takes the level of one account. The caller holds mu.
func (m *Manager) takeLevel(now time.Time, l level) {
	a, isOwner := m.accounts[l.Tenant], m.ownersOf(now, l.Tenant)[0] == m.self
	switch {
	case a == nil:
		m.replicas[l.Tenant] = replica{l.Level - clampUnits(l.Spent), now}
	case isOwner && !a.informed && now.Sub(a.createdAt) < adoptTime:
		granted, _ := a.Totals()
		a.Bucket = bucket.Continue(now, a.Rate(), l.Level-granted, now)
		a.informed = true
	case isOwner:
		a.Spend(now, clampUnits(l.Spent))
	default:
		// The owner is alive: this daemon goes on from its level, less what the owner
		// does not know of yet.
		m.replicas[l.Tenant] = replica{l.Level - a.instead, now}
		if a.instead == 0 {
			delete(m.accounts, l.Tenant)
		}
	}
}

// Account is the state of a tenant's rate limit at this daemon, for operators.
type Account struct {
	Tenant string `json:"tenant"`
	// Owner accounts for the tenant. Rate is known there only.
	Owner string  `json:"owner"`
	Level float64 `json:"level"`
	Rate  float64 `json:"rate"`
	// Age is the time since the owner told the level.
	Age time.Duration `json:"age"`
	// Held are units at hand here.
	Held float64 `json:"held"`
	Totals
}

// maxAccounts bounds the accounts that operators see.
const maxAccounts = 100

// Accounts returns the accounts in use at this daemon, those used most first.
func (m *Manager) Accounts() []Account {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Account
	add := func(tenant string) *Account {
		out = append(out, Account{Tenant: tenant})
		return &out[len(out)-1]
	}
	for tenant, l := range m.tenants {
		e := add(tenant)
		e.Held, e.Totals, e.Level = l.units, l.totals, l.level
		if !l.heardAt.IsZero() {
			e.Age = now.Sub(l.heardAt)
		}
		if a := m.accounts[tenant]; a != nil {
			e.Level, e.Rate, e.Age = a.Level(now), a.Rate().PerSecond, 0
		}
	}
	for tenant, a := range m.accounts {
		if m.tenants[tenant] == nil {
			e := add(tenant)
			e.Level, e.Rate = a.Level(now), a.Rate().PerSecond
		}
	}
	slices.SortFunc(out, func(a, b Account) int {
		return cmp.Or(cmp.Compare(b.Used, a.Used), cmp.Compare(a.Tenant, b.Tenant))
	})
	out = out[:min(len(out), maxAccounts)]
	for i := range out { // the owner costs a hash of each daemon
		if owner := m.ownersOf(now, out[i].Tenant)[0]; owner.IsValid() {
			out[i].Owner = owner.String()
		}
	}
	return out
}
