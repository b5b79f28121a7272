// Package fleet runs the stand-in of the platform, daemons and the stand-ins of
// backend servers as processes on loopback ports, injects faults into them and reads
// their state.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"citronrock.example/citronrock/internal/bench/direct"
	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/stand/engine"
	"citronrock.example/citronrock/internal/stand/platfm"
)

const (
	// startTimeout bounds the start of one process, until it is ready.
	startTimeout = 30 * time.Second
	// stopTimeout bounds the graceful stop of one process. Daemons wait for their
	// streams to end, up to the longest deadline of the load's classes.
	stopTimeout = 90 * time.Second
)

// Settings are the properties of a fleet.
type Settings struct {
	// Bin is the directory of the programs, Work that of settings files and logs.
	Bin, Work string
	Plan      Plan
	// Direct replaces the daemons by a round-robin router in this process.
	Direct bool
	// Relay puts a forwarder in front of each daemon's peer address, so that
	// Partition can separate daemons. The instance list then names the forwarders.
	Relay bool
}

// Option changes one or more settings.
type Option func(*Settings)

// Daemon is one daemon of the fleet with its listen addresses.
type Daemon struct {
	Name, Domain        string
	Caller, Peer, Admin netip.AddrPort
	// listed is the peer address in the platform's instance list.
	listed netip.AddrPort
	// state is the state in the instance list; an empty one leaves the daemon out.
	state string
}

// Fleet is a set of processes with the document and the instance list that the
// platform serves to them.
type Fleet struct {
	set      Settings
	platform netip.AddrPort
	client   *http.Client
	router   *direct.Router

	mu      sync.Mutex
	doc     policy.Document
	daemons []*Daemon
	procs   map[string]*proc
	// killedCounts holds the counters that engines had when Kill ended them.
	killedCounts map[string]engine.Stats
	ports        ports
	// states holds the states of backend servers that SetState has set.
	states map[string]string
	relay  *relay
}

// Start starts all processes and waits until the daemons are ready. It may return
// a fleet together with an error; Close must then be called too.
func Start(ctx context.Context, options ...Option) (*Fleet, error) {
	set := Settings{Bin: "bin", Work: "out/fleet", Plan: Agentschap()}
	for _, o := range options {
		o(&set)
	}
	if err := os.MkdirAll(set.Work, 0o755); err != nil {
		return nil, eris.Wrapf(err, "can't create directory %s", set.Work)
	}
	f := &Fleet{
		set: set, doc: set.Plan.Document, procs: map[string]*proc{}, killedCounts: map[string]engine.Stats{},
		states: map[string]string{},
		client: &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second},
	}
	f.relay = newRelay(f.Pids)
	f.doc.Engines = append([]policy.Engine(nil), f.doc.Engines...)
	f.doc.Servers = append([]policy.Server(nil), f.doc.Servers...)
	for _, step := range []func(context.Context) error{f.startPlatform, f.startBackends, f.startDaemons} {
		if err := step(ctx); err != nil {
			return f, err
		}
	}
	return f, nil
}

// run starts a program and waits until url returns status 200.
func (f *Fleet) run(ctx context.Context, name, url, program string, args ...string) error {
	p := newProc(f.set.Work, name, filepath.Join(f.set.Bin, program), args...)
	f.mu.Lock()
	f.procs[name] = p
	f.mu.Unlock()
	if err := p.start(); err != nil {
		return err
	}
	return f.await(ctx, p, url)
}

// await polls url until it returns status 200 or the process exits.
func (f *Fleet) await(ctx context.Context, p *proc, url string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		err := f.get(ctx, url, nil)
		if err == nil {
			return nil
		}
		if code, exited := p.wait(20 * time.Millisecond); exited {
			return eris.Errorf("%s exited with code %d: %s", p.name, code, p.logTail())
		}
		if ctx.Err() != nil {
			return eris.Errorf("%s was not ready within %s (%v): %s", p.name, startTimeout, err, p.logTail())
		}
	}
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	a, err := f.ports.next()
	if err != nil {
		return err
	}
	f.platform = a
	args := append([]string{"platform", "--address", a.String()}, f.set.Plan.Platform...)
	return f.run(ctx, "platform", "http://"+a.String()+"/reads", "standin", args...)
}

func (f *Fleet) startBackends(ctx context.Context) error {
	for i := range f.doc.Engines {
		e := &f.doc.Engines[i]
		a, err := f.ports.next()
		if err != nil {
			return err
		}
		e.Address = a
		args := []string{
			"engine", "--address", a.String(), "--name", e.Name, "--role", e.Role,
			"--model", f.doc.FindService(e.Service).Model,
		}
		if e.ChecksFencing {
			args = append(args, "--checks")
		}
		args = append(args, f.set.Plan.Engine...)
		if err := f.run(ctx, e.Name, "http://"+a.String()+"/held", "standin", args...); err != nil {
			return err
		}
	}
	for i := range f.doc.Servers {
		s := &f.doc.Servers[i]
		a, err := f.ports.next()
		if err != nil {
			return err
		}
		s.Address = a
		args := append([]string{"plain", "--address", a.String(), "--name", s.Name}, f.set.Plan.Server...)
		if err := f.run(ctx, s.Name, "http://"+a.String()+"/runs", "standin", args...); err != nil {
			return err
		}
	}
	return nil
}

// settings is the settings file of a daemon.
type settings struct {
	Name     string `toml:"name"`
	Domain   string `toml:"domain"`
	Caller   string `toml:"caller"`
	Peer     string `toml:"peer"`
	Admin    string `toml:"admin"`
	Platform string `toml:"platform"`
}

func (f *Fleet) startDaemons(ctx context.Context) error {
	if f.set.Direct {
		if err := errors.Join(f.Publish(ctx, f.doc), f.publishList(ctx)); err != nil {
			return err
		}
		var err error
		f.router, err = direct.New(&f.doc)
		return err
	}
	for i := range f.set.Plan.Daemons {
		if err := f.newDaemon(fmt.Sprintf("d%d", i+1), f.set.Plan.Domains[i%len(f.set.Plan.Domains)]); err != nil {
			return err
		}
	}
	if err := errors.Join(f.Publish(ctx, f.doc), f.publishList(ctx)); err != nil {
		return err
	}
	for _, d := range f.Daemons() {
		if err := f.launch(d); err != nil {
			return err
		}
	}
	for _, d := range f.Daemons() {
		if err := f.awaitReady(ctx, d.Name); err != nil {
			return err
		}
	}
	return nil
}

// newDaemon adds a daemon with free addresses, without publishing the list.
func (f *Fleet) newDaemon(name, domain string) error {
	d := &Daemon{Name: name, Domain: domain, state: "live"}
	for _, a := range []*netip.AddrPort{&d.Caller, &d.Peer, &d.Admin} {
		var err error
		if *a, err = f.ports.next(); err != nil {
			return err
		}
	}
	d.listed = d.Peer
	if f.set.Relay {
		var err error
		if d.listed, err = f.ports.next(); err != nil {
			return err
		}
		if err := f.relay.add(d.Name, d.listed, d.Peer); err != nil {
			return err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons = append(f.daemons, d)
	return nil
}

// launch starts the process of a daemon.
func (f *Fleet) launch(d *Daemon) error {
	file, err := f.writeSettings(d)
	if err != nil {
		return err
	}
	p := newProc(f.set.Work, d.Name, filepath.Join(f.set.Bin, "citronrockd"), "--settings", file)
	f.mu.Lock()
	f.procs[d.Name] = p
	f.mu.Unlock()
	return p.start()
}

// awaitReady waits until a started process is ready.
func (f *Fleet) awaitReady(ctx context.Context, name string) error {
	p, err := f.process(name)
	if err != nil {
		return err
	}
	return f.await(ctx, p, f.healthURL(name))
}

// Announce adds a daemon to the platform's instance list without starting it.
func (f *Fleet) Announce(ctx context.Context, name, domain string) error {
	if err := f.newDaemon(name, domain); err != nil {
		return err
	}
	return f.publishList(ctx)
}

// Launch starts a daemon that Announce added and waits until it is ready.
func (f *Fleet) Launch(ctx context.Context, name string) error {
	d := f.daemon(name)
	if d == nil {
		return eris.Errorf("unknown daemon %q", name)
	}
	if err := f.launch(d); err != nil {
		return err
	}
	return f.awaitReady(ctx, name)
}

// Partition drops the peer traffic between the named daemons and all others, until
// Heal. The fleet must have been started with Relay.
func (f *Fleet) Partition(names ...string) { f.relay.partition(names...) }

// Heal ends a network partition.
func (f *Fleet) Heal() { f.relay.partition() }

func (d *Daemon) readyURL() string { return "http://" + d.Admin.String() + "/ready" }

func (f *Fleet) writeSettings(d *Daemon) (string, error) {
	b, err := toml.Marshal(settings{
		Name: d.Name, Domain: d.Domain, Caller: d.Caller.String(), Peer: d.Peer.String(),
		Admin: d.Admin.String(), Platform: f.platform.String(),
	})
	if err != nil {
		return "", err
	}
	file := filepath.Join(f.set.Work, d.Name+".toml")
	return file, os.WriteFile(file, b, 0o644)
}

// Callers returns the addresses (host:port) at which daemons accept callers, or that
// of the round-robin router.
func (f *Fleet) Callers() []string {
	if f.router != nil {
		return []string{f.router.Addr().String()}
	}
	var out []string
	for _, d := range f.Daemons() {
		out = append(out, d.Caller.String())
	}
	return out
}

// Daemons returns all daemons, including those that have exited.
func (f *Fleet) Daemons() []*Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Daemon(nil), f.daemons...)
}

// Document returns the document last published by Publish.
func (f *Fleet) Document() policy.Document {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.doc
}

// Pids returns the process IDs of the running processes by name.
func (f *Fleet) Pids() map[string]int {
	out := map[string]int{}
	for name, p := range f.processes() {
		if id := p.pid(); id != 0 {
			out[name] = id
		}
	}
	return out
}

// ExitCodes returns the exit codes of all processes that are not running, by name;
// -1 stands for a signal. Restart starts them again.
func (f *Fleet) ExitCodes() map[string]int {
	out := map[string]int{}
	for name, p := range f.processes() {
		if code, exited := p.wait(0); exited {
			out[name] = code
		}
	}
	return out
}

func (f *Fleet) processes() map[string]*proc {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]*proc, len(f.procs))
	for n, p := range f.procs {
		out[n] = p
	}
	return out
}

// instances returns the instance list that the platform serves.
func (f *Fleet) instances() platfm.List {
	f.mu.Lock()
	defer f.mu.Unlock()
	var l platfm.List
	for _, d := range f.daemons {
		if d.state == "" {
			continue
		}
		l.Instances = append(l.Instances, platfm.Instance{
			Name: d.Name, Kind: "daemon", Address: d.Caller.String(), Peer: d.listed.String(),
			Domain: d.Domain, State: d.state,
		})
	}
	for _, e := range f.doc.Engines {
		l.Instances = append(l.Instances, platfm.Instance{
			Name: e.Name, Kind: "engine", Address: e.Address.String(), Domain: e.Domain, State: f.state(e.Name),
		})
	}
	for _, s := range f.doc.Servers {
		l.Instances = append(l.Instances, platfm.Instance{
			Name: s.Name, Kind: "plain", Address: s.Address.String(), Domain: s.Domain, State: f.state(s.Name),
		})
	}
	return l
}

// state returns the state of a backend server in the list. The caller holds mu.
func (f *Fleet) state(name string) string {
	if s, ok := f.states[name]; ok {
		return s
	}
	return "live"
}
