package peers

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/core/event"
	"citronrock.example/citronrock/internal/wire/platfm"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// control runs functions one at a time, as the control loop does.
type control struct{ mu sync.Mutex }

func (c *control) Do(f func(time.Time)) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(time.Now())
	return true
}

// platform publishes one document and one list.
type platform struct {
	mu        sync.Mutex
	version   uint64
	body      string
	revision  uint64
	instances []*platfm.Instance
	change    chan struct{}
}

func (p *platform) waitFor(ctx context.Context, wait time.Duration, there func() bool) error {
	end := time.After(wait)
	for {
		p.mu.Lock()
		ok, change := there(), p.change
		p.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-end:
			return nil
		case <-change:
		}
	}
}

func (p *platform) Document(ctx context.Context, after uint64, wait time.Duration) (*platfm.DocumentReply, error) {
	if err := p.waitFor(ctx, wait, func() bool { return p.version > after }); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return &platfm.DocumentReply{Version: p.version, Body: []byte(p.body)}, nil
}

func (p *platform) Instances(ctx context.Context, after uint64, wait time.Duration) (*platfm.InstancesReply, error) {
	if err := p.waitFor(ctx, wait, func() bool { return p.revision > after }); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return &platfm.InstancesReply{Revision: p.revision, Instances: p.instances}, nil
}

func (p *platform) publish(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.change)
	p.change = make(chan struct{})
}

// parse reads a document that consists of its version in unary.
func parse(body []byte) (*policy.Document, error) {
	return &policy.Document{Version: uint64(len(body))}, nil
}

// Guards against a daemon that becomes ready without a document or misses a change
// of the document or the instance list.
func TestDocumentAndList(t *testing.T) {
	p := &platform{change: make(chan struct{})}
	docs, lists := make(chan uint64, 10), make(chan uint64, 10)
	alive := make(chan map[string]uint64, 10)
	g, err := New(new(control), p, Settings{Name: "d1", Domain: "x", Peer: netip.MustParseAddrPort("127.0.0.1:0"), Incarnation: 9}, parse,
		OnDocument(func(d *policy.Document) { docs <- d.Version }),
		OnListed(func(l event.Listed) { lists <- l.Revision }),
		OnMembers(func(a, _ map[string]uint64) { alive <- a }))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = g.Close() }()
	if g.Ready() {
		t.Error("ready without a document")
	}
	p.publish(func() { p.version, p.body = 3, "..." })
	if v := <-docs; v != 3 {
		t.Errorf("version %d", v)
	}
	// The group becomes ready once the callback has returned.
	for end := time.Now().Add(time.Second); !g.Ready(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not ready a second after the document")
		}
	}
	p.publish(func() {
		p.revision = 5
		p.instances = []*platfm.Instance{{Name: "d1", Kind: "daemon", State: "live", Domain: "x", Peer: g.link.Addr().String()}}
	})
	if r := <-lists; r != 5 {
		t.Errorf("revision %d", r)
	}
	if a := <-alive; a["d1"] != 9 {
		t.Errorf("alive %v", a)
	}
}
