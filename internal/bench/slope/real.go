package slope

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/peer/peers"
	"citronrock.example/citronrock/internal/wire/platfm"
)

// Real is the result of daemons that communicate over loopback sockets, without
// the simulator.
type Real struct {
	Case    string `json:"case"`
	Daemons int    `json:"daemons"`
	// Document is the size of the document in bytes, Changes the number of
	// versions published during the measurement.
	Document int `json:"document"`
	Changes  int `json:"changes"`
	// Core is the share of one core in percent for each daemon at the planned rate
	// of changes. It is the sum of Idle, the share without changes, and of Change,
	// the processor time in milliseconds per change, at that rate.
	Core   float64 `json:"core"`
	Idle   float64 `json:"idle"`
	Change float64 `json:"change"`
	// Heap is the heap in use in kilobytes per daemon.
	Heap float64 `json:"heap"`
	// Bytes is the traffic per daemon without changes, in bytes per second in both
	// directions.
	Bytes float64 `json:"bytes"`
	// Forcemax is the longest time in seconds until a version was in force at all
	// daemons.
	Forcemax float64 `json:"forcemax"`
}

// fakePlatform is an in-process platform with long-poll reads.
type fakePlatform struct {
	mu       sync.Mutex
	document *platfm.DocumentReply
	list     *platfm.InstancesReply
	changed  chan struct{}
}

func (s *fakePlatform) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

// await waits until number, which is called with the lock held, returns more than
// after, or until wait has passed.
func (s *fakePlatform) await(ctx context.Context, after uint64, wait time.Duration, number func() uint64) error {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		s.mu.Lock()
		n, changed := number(), s.changed
		s.mu.Unlock()
		if n > after {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			return nil
		case <-changed:
		}
	}
}

// Document implements citronrock.Platform.
func (s *fakePlatform) Document(ctx context.Context, after uint64, wait time.Duration) (*platfm.DocumentReply, error) {
	err := s.await(ctx, after, wait, func() uint64 { return s.document.Version })
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.document, err
}

// Instances implements citronrock.Platform.
func (s *fakePlatform) Instances(ctx context.Context, after uint64, wait time.Duration) (*platfm.InstancesReply, error) {
	err := s.await(ctx, after, wait, func() uint64 { return s.list.Revision })
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list, err
}

// loop runs functions one at a time, as a daemon's control loop does.
type loop struct{ mu sync.Mutex }

func (l *loop) Do(f func(time.Time)) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(time.Now())
	return true
}

func parse(body []byte) (*policy.Document, error) {
	d := new(policy.Document)
	err := toml.NewDecoder(bytes.NewReader(body)).DisallowUnknownFields().Decode(d)
	return d, err
}

// RunReal measures n daemons with the document of the planned fleet: without
// changes for the given time, then during a number of changes. It returns an error
// if sockets fail or a version isn't in force at all daemons after a minute.
func RunReal(n, changes int, idle time.Duration) (Real, error) {
	out := Real{Case: "real", Daemons: n, Changes: changes}
	s := &fakePlatform{changed: make(chan struct{})}
	version := uint64(1)
	publish := func() {
		body := Document(Planned, version)
		out.Document = len(body)
		s.set(func() { s.document = &platfm.DocumentReply{Version: version, Body: body} })
	}
	s.list = new(platfm.InstancesReply)
	publish()
	before := heap()
	var all []*peers.Group
	defer func() {
		for _, g := range all {
			_ = g.Close()
		}
	}()
	list := &platfm.InstancesReply{Revision: 1}
	for i := range n {
		at, err := freePort()
		if err != nil {
			return out, err
		}
		set := peers.Settings{Name: fmt.Sprintf("d%03d", i), Domain: fmt.Sprintf("z%d", i%6), Peer: at, Incarnation: uint64(time.Now().UnixNano())}
		g, err := peers.New(new(loop), s, set, parse)
		if err != nil {
			return out, err
		}
		all = append(all, g)
		list.Instances = append(list.Instances, &platfm.Instance{Name: set.Name, Kind: "daemon", State: "live", Domain: set.Domain, Peer: at.String()})
	}
	s.set(func() { s.list = list })
	force := func() error {
		d, err := inForce(all, version)
		out.Forcemax = max(out.Forcemax, d.Seconds())
		return err
	}
	if err := force(); err != nil {
		return out, err
	}
	out.Forcemax = 0
	time.Sleep(5 * time.Second)
	measureIdle(all, idle, &out)
	from, at := cpu(), time.Now()
	for range changes {
		version++
		publish()
		if err := force(); err != nil {
			return out, err
		}
	}
	spent := (cpu() - from).Seconds() - out.Idle/100*time.Since(at).Seconds()*float64(n)
	out.Change = spent / float64(n) / float64(changes) * 1e3
	out.Core = out.Idle + out.Change/1e3/changeEvery.Seconds()*100
	out.Heap = float64(heap()-before) / float64(n) / 1e3
	return out, nil
}

// measureIdle measures processor time and traffic without changes.
func measureIdle(all []*peers.Group, d time.Duration, out *Real) {
	bytesBefore, from := traffic(all), cpu()
	time.Sleep(d)
	out.Idle = (cpu() - from).Seconds() / d.Seconds() / float64(len(all)) * 100
	out.Bytes = float64(traffic(all)-bytesBefore) / d.Seconds() / float64(len(all))
}

func traffic(all []*peers.Group) uint64 {
	sum := uint64(0)
	for _, g := range all {
		s := g.Status()
		sum += s.In + s.Out
	}
	return sum
}

// inForce waits until a version is in force at all daemons and each has all as
// members, and returns the time that this took.
func inForce(all []*peers.Group, version uint64) (time.Duration, error) {
	from := time.Now()
	for _, g := range all {
		for s := g.Status(); s.Version < version || len(s.Alive) < len(all); s = g.Status() {
			if time.Since(from) > time.Minute {
				return 0, eris.Errorf("version %d is not in force after a minute, or %d daemons are missing from the membership", version, len(all)-len(s.Alive))
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return time.Since(from), nil
}

// freePort returns a loopback address whose port is free for TCP now.
func freePort() (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer func() { _ = l.Close() }()
	return netip.ParseAddrPort(l.Addr().String())
}
