package slope

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"net/netip"
	"runtime"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pelletier/go-toml/v2"
	"google.golang.org/protobuf/proto"

	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/peer/link"
	"citronrock.example/citronrock/internal/peer/patch"
	"citronrock.example/citronrock/internal/wire/peer"
	"citronrock.example/citronrock/internal/wire/platfm"
)

// Planned is the number of daemons of the planned fleet. Its numbers of tenants
// and engines are below; smaller fleets have them in proportion.
const (
	Planned        = 350
	plannedTenants = 11_000
	plannedEngines = 1_900
)

// Document returns the TOML configuration of a fleet of n daemons, with tenants
// and engines in proportion. Two versions differ in the rates of two tenants.
func Document(n int, version uint64) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "version = %d\n\n", version)
	for i := range plannedTenants * n / Planned {
		rate := 5 + i%40
		if i == int(version)%100 {
			rate += int(version)
		}
		fmt.Fprintf(&b, "[[tenant]]\nname = \"client-%05d\"\nrate = %d\nburst = %d\nopen = %d\n\n", i, rate, 10+i%50, 20+i%30)
	}
	for i := range 19 {
		fmt.Fprintf(&b, "[[service]]\nname = \"service-%02d\"\nkind = \"model\"\nmodel = \"model-%02d\"\nfirst = \"450ms\"\ngap = \"32ms\"\npriority = %d\nidempotent = true\n\n", i, i, i%4)
	}
	for i := range plannedEngines * n / Planned {
		fmt.Fprintf(&b, "[[engine]]\nname = \"engine-%04d\"\nservice = \"service-%02d\"\ncell = \"cell-%03d\"\nrole = \"both\"\naddress = \"10.%d.%d.%d:8000\"\ndomain = \"z%d\"\n\n", i, i%19, i/6, i%6, i/250, i%250, i%6)
	}
	return []byte(b.String())
}

// instances returns the instance list of a fleet of n daemons.
func instances(n int) []*platfm.Instance {
	var out []*platfm.Instance
	for i := range n {
		out = append(out, &platfm.Instance{Name: fmt.Sprintf("d%03d", i), Kind: "daemon", State: "live", Domain: "z0",
			Address: fmt.Sprintf("10.9.%d.%d:7001", i/250, i%250), Peer: fmt.Sprintf("10.9.%d.%d:7101", i/250, i%250)})
	}
	for i := range plannedEngines * n / Planned {
		out = append(out, &platfm.Instance{Name: fmt.Sprintf("engine-%04d", i), Kind: "engine", State: "live", Domain: "z1",
			Address: fmt.Sprintf("10.%d.%d.%d:8000", i%6, i/250, i%250)})
	}
	return out
}

// SizesOf returns the encoded sizes of the document and the instance list of a
// fleet of n daemons.
func SizesOf(n int) Sizes {
	older, newer := Document(n, 7), Document(n, 8)
	list := instances(n)
	whole, _ := proto.Marshal(&peer.FetchReply{Instances: list})
	changed := &peer.FetchReply{Version: 8, Revision: 8, Base: 7, Instances: list[:1], Gone: []string{"d000"}}
	return Sizes{
		Document:   proto.Size(&peer.FetchReply{Body: newer}),
		Packed:     gzipSize(newer),
		Patch:      proto.Size(&peer.FetchReply{Version: 8, Sum: 1, Patch: patch.Diff(older, newer)}),
		List:       len(whole),
		PackedList: gzipSize(whole),
		Change:     proto.Size(changed),
	}
}

func gzipSize(raw []byte) int {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(raw)
	_ = w.Close()
	return b.Len()
}

// Part is the cost of one operation that the simulation leaves out.
type Part struct {
	Case string `json:"case"`
	// Micros is the processor time per operation in microseconds.
	Micros float64 `json:"micros"`
	// Heap is the heap in use in kilobytes.
	Heap float64 `json:"heap,omitempty"`
}

// Parts measures the operations on the document of n daemons and the cost of a
// datagram on a real socket. It returns an error if the sockets fail.
func Parts(n int) ([]Part, error) {
	older, newer := Document(n, 7), Document(n, 8)
	pieces := patch.Diff(older, newer)
	out := []Part{
		timed("diff", 20, func() { patch.Diff(older, newer) }),
		timed("apply", 20, func() { _, _ = patch.Apply(older, pieces, 1<<20) }),
		timed("sum", 20, func() { xxhash.Sum64(newer) }),
		timed("parse", 10, func() { _ = toml.Unmarshal(newer, new(policy.Document)) }),
		documentMemory(n),
	}
	p, err := packetCost(20_000)
	return append(out, p), err
}

func timed(name string, times int, f func()) Part {
	runtime.GC()
	from := cpu()
	for range times {
		f()
	}
	return Part{Case: name, Micros: float64((cpu() - from).Microseconds()) / float64(times)}
}

// documentMemory measures the heap of a parsed document, four versions of its
// body, as many as a daemon keeps, and the instance list.
func documentMemory(n int) Part {
	before := heap()
	parsed := new(policy.Document)
	bodies := [][]byte{Document(n, 1), Document(n, 2), Document(n, 3), Document(n, 4)}
	_ = toml.Unmarshal(bodies[3], parsed)
	list := instances(n)
	after := heap()
	runtime.KeepAlive(bodies)
	runtime.KeepAlive(parsed)
	runtime.KeepAlive(list)
	return Part{Case: "memory", Heap: float64(after-before) / 1e3}
}

// packetCost measures the processor time of sending and receiving a datagram over
// loopback, both ends together.
func packetCost(n int) (Part, error) {
	got := make(chan struct{}, 1)
	at := netip.MustParseAddrPort("127.0.0.1:0")
	a, err := link.New("a", 1, at)
	if err != nil {
		return Part{}, err
	}
	defer func() { _ = a.Close() }()
	b, err := link.New("b", 1, at, link.WithHandlers(link.Handlers{Packet: func(*peer.Packet) { got <- struct{}{} }}))
	if err != nil {
		return Part{}, err
	}
	defer func() { _ = b.Close() }()
	a.SetPeers(map[string]netip.AddrPort{"b": b.Addr()})
	from := cpu()
	for range n {
		if err := a.SendPacket("b", &peer.Packet{Kind: "ping", Sequence: 1, From: "a", Incarnation: 1, Version: 3, Revision: 4}); err != nil {
			return Part{}, err
		}
		select {
		case <-got:
		case <-time.After(time.Second):
		}
	}
	return Part{Case: "packet", Micros: float64((cpu() - from).Microseconds()) / float64(n)}, nil
}
