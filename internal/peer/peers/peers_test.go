package peers

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"citronrock.example/citronrock"
	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/wire/peer"
	"citronrock.example/citronrock/internal/wire/platfm"
)

// failingPlatform is a platform that can be unreachable for one daemon.
type failingPlatform struct {
	citronrock.Platform
	down bool
}

var errDown = errors.New("the platform is down")

func (g failingPlatform) Document(ctx context.Context, after uint64, wait time.Duration) (*platfm.DocumentReply, error) {
	if g.down {
		return nil, errDown
	}
	return g.Platform.Document(ctx, after, wait)
}

func (g failingPlatform) Instances(ctx context.Context, after uint64, wait time.Duration) (*platfm.InstancesReply, error) {
	if g.down {
		return nil, errDown
	}
	return g.Platform.Instances(ctx, after, wait)
}

// daemon is a Group and what its callbacks received.
type daemon struct {
	*Group
	docs   chan uint64
	frames chan string
}

func startDaemon(t *testing.T, p citronrock.Platform, name string, at netip.AddrPort) *daemon {
	t.Helper()
	d := &daemon{docs: make(chan uint64, 100), frames: make(chan string, 100)}
	g, err := New(new(control), p, Settings{Name: name, Domain: "x", Peer: at, Incarnation: uint64(time.Now().UnixNano())}, parse,
		OnDocument(func(p *policy.Document) { d.docs <- p.Version }),
		OnFrame(func(from string, _ *peer.Frame) { d.frames <- from }),
		OnExecute(func(_ context.Context, from string, r *peer.ExecuteRequest) *peer.ExecuteReply {
			return &peer.ExecuteReply{Body: []byte(name + " for " + from + ": " + r.Request)}
		}))
	if err != nil {
		t.Fatal(err)
	}
	d.Group = g
	t.Cleanup(func() { _ = g.Close() })
	return d
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 30 s: %s", what)
		}
	}
}

// startAll starts daemons with a document and an instance list that names them.
func startAll(t *testing.T, n int) (*platform, []*daemon) {
	t.Helper()
	p := &platform{change: make(chan struct{})}
	p.publish(func() { p.version, p.body = 1, "." })
	var all []*daemon
	for i := range n {
		all = append(all, startDaemon(t, failingPlatform{Platform: p}, fmt.Sprintf("d%d", i), netip.MustParseAddrPort("127.0.0.1:0")))
	}
	p.publish(func() { p.revision++; p.instances = listOf(all) })
	eventually(t, "all daemons agree", func() bool {
		for _, d := range all {
			if len(d.Status().Alive) != n || d.Status().Version != 1 {
				return false
			}
		}
		return true
	})
	return p, all
}

func listOf(all []*daemon) []*platfm.Instance {
	var out []*platfm.Instance
	for _, d := range all {
		out = append(out, &platfm.Instance{Name: d.settings.Name, Kind: "daemon", State: "live", Domain: "x", Peer: d.link.Addr().String()})
	}
	return out
}

// Guards against daemons that all read the platform, miss a version that only
// watchers read, or can't exchange frames and executions.
func TestDaemonsTogether(t *testing.T) {
	p, all := startAll(t, 4)
	eventually(t, "two watchers", func() bool {
		n := 0
		for _, d := range all {
			if d.Status().Watching {
				n++
			}
		}
		return n == 2
	})
	p.publish(func() { p.version, p.body = 4, "...." })
	eventually(t, "version 4 everywhere", func() bool {
		for _, d := range all {
			if d.Status().Version != 4 {
				return false
			}
		}
		return true
	})
	all[0].Send("d1", &peer.Frame{Asks: []*peer.Ask{{Request: "r"}}})
	if from := <-all[1].frames; from != "d0" {
		t.Errorf("frame from %s", from)
	}
	r, reached, err := all[2].Execute(t.Context(), "d3", &peer.ExecuteRequest{Request: "r"})
	if err != nil || !reached || string(r.Body) != "d3 for d2: r" {
		t.Errorf("execution: %v, %v, %v", r, reached, err)
	}
	all[3].Leave()
	_ = all[3].Close()
	if n := len(all[3].packetQueue); n > 0 {
		t.Errorf("%d packets of a leaving daemon are not sent", n)
	}
	eventually(t, "d3 left", func() bool { return len(all[0].Status().Alive) == 3 })
}

// Guards against a daemon that restarts while the platform is down and never
// becomes ready, although its peers have the document.
func TestFreshDaemonWithoutPlatform(t *testing.T) {
	p, all := startAll(t, 3)
	at := all[2].link.Addr()
	_ = all[2].Close()
	again := startDaemon(t, failingPlatform{Platform: p, down: true}, "d2", at)
	eventually(t, "the fresh daemon has document, list and members", func() bool {
		s := again.Status()
		return again.Ready() && s.Revision == 1 && len(s.Alive) == 3
	})
	eventually(t, "peers see the new incarnation", func() bool {
		return all[0].Status().Alive["d2"] == again.settings.Incarnation
	})
}

// Guards against a rejected document that replaces the valid one or whose error is
// not in the status.
func TestRejectedDocument(t *testing.T) {
	p, all := startAll(t, 1)
	p.publish(func() { p.version, p.body = 3, "." })
	eventually(t, "the problem is shown", func() bool {
		return strings.Contains(all[0].Status().Problem, "states version 1")
	})
	if v := all[0].Status().Version; v != 1 {
		t.Errorf("version %d is in force", v)
	}
	p.publish(func() { p.version, p.body = 5, "....." })
	eventually(t, "the next valid one is in force", func() bool {
		return all[0].Status().Version == 5 && all[0].Status().Problem == ""
	})
}
