package fanout_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/peer/dgram"
	"citronrock.example/citronrock/internal/peer/gossip"
	"citronrock.example/citronrock/internal/route/config"
	"citronrock.example/citronrock/internal/route/delta"
	"citronrock.example/citronrock/internal/route/fanout"
	"citronrock.example/citronrock/internal/route/pool"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
)

// Guards against updates that are too large to be sent. Nothing limited their
// events, so that daemons received no changes at all.
func TestChangeLogBoundsUpdates(t *testing.T) {
	now := time.Unix(0, 0)
	cases := map[string]struct {
		// reads are the numbers of changes of reads that are a second apart.
		reads        []int
		base, events int
	}{
		"nothing":             {nil, 9, 0},
		"all fit":             {[]int{3, 4}, 0, 7},
		"the newest fit":      {[]int{60, 50, 40}, 1, 90},
		"the last is too big": {[]int{3, 3000}, 2, 0},
		"old ones are left":   {[]int{1, 1, 1, 1, 1, 1}, 2, 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var l fanout.ChangeLog
			for i, n := range c.reads {
				l.Add(now.Add(time.Duration(i)*time.Second), pool.Revision{Number: uint64(i)}, make([]fanout.Event, n))
			}
			at := uint64(len(c.reads))
			if at == 0 {
				at = 9
			}
			if u := l.Update(pool.Revision{Number: at}, 1); int(u.Base) != c.base || len(u.Events) != c.events || u.Revision != at {
				t.Errorf("base %d with %d events at %d, want base %d with %d events at %d", u.Base, len(u.Events), u.Revision, c.base, c.events, at)
			}
		})
	}
}

// members is a set of live daemons.
type members []gossip.LiveMember

func (m members) Alive() []gossip.LiveMember { return m }

// Guards against a starting fleet whose daemons all become readers, and against one
// without a reader.
func TestReader(t *testing.T) {
	cases := map[string]struct {
		young, mature int
		// least and most bound the number of readers.
		least, most int
	}{
		"alone":                   {1, 0, 1, 1},
		"two":                     {0, 2, 2, 2},
		"small fleet":             {0, 6, 2, 2},
		"large fleet":             {0, 84, 3, 3},
		"large fleet that starts": {84, 0, 3, 3},
		"one survived":            {83, 1, 1, 1},
		"a few fresh daemons":     {3, 81, 3, 3},
		"small fleet that starts": {6, 0, 2, 2},
		"one of two is young":     {1, 1, 2, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var all members
			for i := range c.young + c.mature {
				all = append(all, gossip.LiveMember{Member: gossip.Member{Addr: daemon(i)}, Mature: i >= c.young})
			}
			readers := 0
			for _, m := range all {
				if fanout.New(m.Addr, nil, all, hclog.NewNullLogger()).IsReader() {
					readers++
				}
			}
			if readers < c.least || readers > c.most {
				t.Errorf("%d readers, want %d to %d", readers, c.least, c.most)
			}
		})
	}
}

// Guards against readers on the smallest machines, whose links the updates fill,
// and against too few readers where few machines are strong.
func TestStrongRead(t *testing.T) {
	cases := map[string]struct {
		strong, weak int
		want         int
		// weakest allows weak daemons as readers.
		weakest bool
	}{
		"large fleet":       {15, 280, 3, false},
		"three are strong":  {3, 90, 3, false},
		"two are strong":    {2, 90, 3, true},
		"all are the same":  {90, 0, 3, false},
		"strong ones alone": {0, 90, 3, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var all members
			for i := range c.strong + c.weak {
				share := uint32(80)
				if i >= c.strong {
					share = 19
				}
				all = append(all, gossip.LiveMember{Member: gossip.Member{Addr: daemon(i), CPUShare: share}, Mature: true})
			}
			readers := 0
			for i, m := range all {
				if fanout.New(m.Addr, nil, all, hclog.NewNullLogger()).IsReader() {
					readers++
					if i >= c.strong && !c.weakest {
						t.Errorf("weak daemon %d reads", i)
					}
				}
			}
			if readers != c.want {
				t.Errorf("%d readers, want %d", readers, c.want)
			}
		})
	}
}

// Guards against a fleet without a reader while the store refuses the ones that were
// selected, and against one whose daemons all call a store that refuses everybody.
func TestReadersAreReplaced(t *testing.T) {
	cases := map[string]struct {
		strong, weak int
		// failing readers say so one after the other.
		failing int
		want    int
	}{
		"none fails":            {6, 66, 0, 3},
		"one fails":             {6, 66, 1, 3},
		"all readers fail":      {6, 66, 3, 3},
		"all strong ones fail":  {6, 66, 6, 3},
		"the store is down":     {6, 66, 12, 0},
		"small fleet":           {7, 0, 2, 2},
		"all but one":           {7, 0, 6, 1},
		"all of a small one":    {7, 0, 7, 0},
		"large fleet, a third":  {15, 280, 4, 3},
		"large fleet, all fail": {15, 280, 12, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := &network{ports: map[netip.AddrPort]*port{}, down: map[netip.AddrPort]bool{}, sent: map[netip.AddrPort]int{}, received: map[netip.AddrPort]int{}}
			var nodes []*fanout.Node
			for i := range c.strong + c.weak {
				share := uint32(80)
				if i >= c.strong {
					share = 19
				}
				w.members = append(w.members, gossip.LiveMember{Member: gossip.Member{Addr: daemon(i), CPUShare: share}, Mature: true})
				w.ports[daemon(i)] = &port{network: w, self: daemon(i)}
			}
			for i := range w.members {
				node := fanout.New(daemon(i), w.ports[daemon(i)], w, hclog.NewNullLogger())
				node.HandleUpdates(func(netip.AddrPort, fanout.Update) {})
				nodes = append(nodes, node)
			}
			readers := func() (out []*fanout.Node) {
				for _, node := range nodes {
					if node.IsReader() {
						out = append(out, node)
					}
				}
				return out
			}
			var failed []*fanout.Node
			for range c.failing {
				node := readers()[0]
				node.SetFailing(true)
				node.Broadcast(fanout.Update{Failing: true})
				failed = append(failed, node)
			}
			if n := len(readers()); n != c.want {
				t.Errorf("%d readers, want %d", n, c.want)
			}
			for _, node := range failed {
				node.SetFailing(false)
				node.Broadcast(fanout.Update{})
			}
			if n, want := len(readers()), min(3, 2+c.weak); n != want {
				t.Errorf("%d readers after the store's return, want %d", n, want)
			}
		})
	}
}

func daemon(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i%250 + 1)}), 7000)
}

// network connects the nodes of a fleet in memory and counts what each one sends.
type network struct {
	members
	ports    map[netip.AddrPort]*port
	down     map[netip.AddrPort]bool
	sent     map[netip.AddrPort]int
	received map[netip.AddrPort]int
}

type port struct {
	*network
	self   netip.AddrPort
	handle dgram.Handler
}

func (p *port) Handle(_ dgram.Kind, h dgram.Handler) { p.handle = h }

func (p *port) Decode(body []byte, m any) bool { return cbor.Unmarshal(body, m) == nil }

func (p *port) Send(_ dgram.Kind, m any, to ...netip.AddrPort) {
	body, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	for _, addr := range to {
		p.sent[p.self]++
		if !p.down[addr] {
			p.ports[addr].handle(p.self, body)
		}
	}
}

// Guards against a reader that sends to all daemons of a large fleet itself, which
// filled its link, and against daemons that never get an update when others are
// down.
func TestBroadcastReachesAll(t *testing.T) {
	cases := map[string]struct {
		n, down int
		// each bounds the messages that one daemon sends for one update.
		each int
		// least is the number of daemons that get at least one of the updates.
		least int
	}{
		"six":            {6, 0, 5, 5},
		"thirty":         {30, 0, 29, 29},
		"hundred":        {100, 0, 10, 99},
		"planned size":   {350, 0, 19, 349},
		"a third is off": {295, 98, 18, 196},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := &network{ports: map[netip.AddrPort]*port{}, down: map[netip.AddrPort]bool{}, sent: map[netip.AddrPort]int{}, received: map[netip.AddrPort]int{}}
			var reader *fanout.Node
			for i := range c.n {
				addr := daemon(i)
				w.members = append(w.members, gossip.LiveMember{Member: gossip.Member{Addr: addr}, Mature: true})
				w.ports[addr] = &port{network: w, self: addr}
				w.down[addr] = i > 0 && i%3 == 0 && i/3 <= c.down
			}
			for i := range c.n {
				addr := daemon(i)
				node := fanout.New(addr, w.ports[addr], w, hclog.NewNullLogger())
				node.HandleUpdates(func(netip.AddrPort, fanout.Update) { w.received[addr]++ })
				if i == 0 {
					reader = node
				}
			}
			const updates = 20
			for range updates {
				clear(w.sent)
				reader.Broadcast(fanout.Update{Revision: 1})
				for addr, n := range w.sent {
					if n > c.each {
						t.Errorf("%s sends %d messages for one update, want %d at most", addr, n, c.each)
					}
				}
			}
			received := 0
			for addr, n := range w.received {
				if received++; n > updates {
					t.Errorf("%s receives %d messages for %d updates", addr, n, updates)
				}
			}
			if received < c.least {
				t.Errorf("%d daemons receive one of %d updates, want %d", received, updates, c.least)
			}
		})
	}
}

// Guards against a daemon that returns an older configuration than it announced,
// and against one that holds a request for long for a version that does not come.
func TestDocument(t *testing.T) {
	cases := map[string]struct {
		version uint64
		after   time.Duration
		want    uint64
	}{
		"it is there":        {2, 0, 2},
		"it comes soon":      {2, 100 * time.Millisecond, 2},
		"it does not come":   {2, time.Hour, 0},
		"an older one does":  {1, time.Hour, 1},
		"a newer one serves": {1, 0, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			begun := time.Now()
			node := fanout.New(netip.MustParseAddrPort("10.0.0.1:7000"), nil, members{}, hclog.NewNullLogger())
			go node.Serve(l, func() *citronrock.Snapshot {
				d := config.New(1, nil, nil, config.Limits{})
				if time.Since(begun) >= c.after {
					d = config.New(2, nil, nil, config.Limits{})
				}
				return &citronrock.Snapshot{Document: d}
			}, func(uint64) *delta.Patch { return nil })
			d, err := node.FetchDocument(t.Context(), netip.MustParseAddrPort(l.Addr().String()), config.New(c.version-1, nil, nil, config.Limits{}), c.version)
			if c.want == 0 {
				if err == nil || time.Since(begun) > 2*time.Second {
					t.Errorf("error %v after %s", err, time.Since(begun))
				}
				return
			}
			if err != nil || d.Version != c.want {
				t.Errorf("document %+v, error %v; want version %d", d, err, c.want)
			}
		})
	}
}
