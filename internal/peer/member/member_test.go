package member

import (
	"testing"
	"time"

	"citronrock.example/citronrock/internal/wire/peer"
)

var start = time.Unix(1_700_000_000, 0)

// newPaired returns a machine that has the live peer "b" at incarnation 5.
func newPaired(t *testing.T) *Machine {
	t.Helper()
	m := New("a", 3, 1)
	m.SetDaemons(start, []Daemon{{Name: "a"}, {Name: "b"}}, nil)
	m.Receive(start, &peer.Packet{Kind: "news", From: "b", Incarnation: 5}, nil)
	if m.Alive()["b"] != 5 {
		t.Fatalf("alive %v", m.Alive())
	}
	return m
}

func packetAboutB(s string, round uint32) *peer.Packet {
	return &peer.Packet{Kind: "news", From: "c", Incarnation: 9, Members: []*peer.Member{{Name: "b", Incarnation: 5, State: s, Round: round}}}
}

// Guards against an old record that replaces a newer one.
func TestRecordOrder(t *testing.T) {
	cases := map[string]struct {
		packets []*peer.Packet
		alive   bool
	}{
		"suspect still answers":         {[]*peer.Packet{packetAboutB("suspect", 0)}, true},
		"dead":                          {[]*peer.Packet{packetAboutB("dead", 0)}, false},
		"late alive after dead":         {[]*peer.Packet{packetAboutB("dead", 0), packetAboutB("alive", 0)}, false},
		"refuted":                       {[]*peer.Packet{packetAboutB("dead", 0), packetAboutB("alive", 1)}, true},
		"late dead after refutation":    {[]*peer.Packet{packetAboutB("alive", 1), packetAboutB("dead", 0)}, true},
		"left":                          {[]*peer.Packet{packetAboutB("leaving", 0), packetAboutB("alive", 0)}, false},
		"predecessor's death":           {[]*peer.Packet{{Kind: "news", From: "b", Incarnation: 8}, packetAboutB("dead", 7)}, true},
		"predecessor's packet":          {[]*peer.Packet{packetAboutB("dead", 0), {Kind: "news", From: "b", Incarnation: 4, Round: 9}}, false},
		"restarted":                     {[]*peer.Packet{packetAboutB("dead", 0), {Kind: "news", From: "b", Incarnation: 8}}, true},
		"record of an unlisted daemon":  {[]*peer.Packet{{Kind: "news", From: "x", Incarnation: 8}}, true},
		"record with an unknown state":  {[]*peer.Packet{packetAboutB("odd", 9)}, true},
		"record without an incarnation": {[]*peer.Packet{{Kind: "news", From: "b"}}, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			m := newPaired(t)
			for _, p := range tc.packets {
				m.Receive(start, p, nil)
			}
			if _, ok := m.Alive()["b"]; ok != tc.alive {
				t.Errorf("alive %v", m.Alive())
			}
			if _, ok := m.Alive()["x"]; ok {
				t.Error("an unlisted daemon is alive")
			}
		})
	}
}

// Guards against a peer that is declared dead because its suspicion ran out while
// this process was paused and could not receive the refutation.
func TestPauseRestartsSuspicions(t *testing.T) {
	m := newPaired(t)
	m.Receive(start, packetAboutB("suspect", 0), nil)
	resumed := start.Add(10 * time.Second)
	m.Paused(resumed, nil)
	m.Tick(resumed, nil)
	if _, ok := m.Alive()["b"]; !ok {
		t.Error("the peer is dead right after the pause")
	}
	m.Tick(resumed.Add(suspicionTimeout), nil)
	if _, ok := m.Alive()["b"]; ok {
		t.Error("the suspicion never ends")
	}
}

// Guards against entries and pending updates of daemons that are no longer on the
// instance list.
func TestListDropsEntries(t *testing.T) {
	m := newPaired(t)
	m.Receive(start, packetAboutB("dead", 0), nil)
	m.SetDaemons(start, []Daemon{{Name: "a"}}, nil)
	if len(m.peers)+len(m.updates) > 1 || m.Wake().After(start.Add(time.Minute)) {
		t.Errorf("%d entries, %d updates are left", len(m.peers), len(m.updates))
	}
	m.SetDaemons(start, []Daemon{{Name: "a", Leaving: true}, {Name: "b"}}, nil)
	if m.OnList() || len(m.Alive()) != 0 {
		t.Errorf("a daemon that the list shows as leaving is alive: %v", m.Alive())
	}
	m.Receive(start, &peer.Packet{Kind: "news", From: "b", Incarnation: 5}, nil)
	if m.Alive()["b"] != 5 {
		t.Error("a daemon that is back on the list is not alive again")
	}
}
