package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"syscall"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"citronrock.example/citronrock/internal/conf/policy"
	"citronrock.example/citronrock/internal/daemon/admin"
	"citronrock.example/citronrock/internal/stand/engine"
	"citronrock.example/citronrock/internal/stand/plain"
	"citronrock.example/citronrock/internal/stand/platfm"
)

func (f *Fleet) process(name string) (*proc, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.procs[name]; p != nil {
		return p, nil
	}
	return nil, eris.Errorf("unknown process %q", name)
}

func (f *Fleet) signal(name string, s syscall.Signal) error {
	p, err := f.process(name)
	if err != nil {
		return err
	}
	return p.signal(s)
}

// Kill sends SIGKILL to a process and waits for its exit. The counters of an engine
// remain included in Total.
func (f *Fleet) Kill(name string) error {
	p, err := f.process(name)
	if err != nil {
		return err
	}
	f.saveCounts(name)
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	if _, ok := p.wait(startTimeout); !ok {
		return eris.Errorf("%s still runs after SIGKILL", name)
	}
	return nil
}

// saveCounts adds the counters of a running engine to those of its killed processes.
func (f *Fleet) saveCounts(name string) {
	for _, e := range f.Document().Engines {
		var h engine.Stats
		if e.Name != name || f.get(context.Background(), f.healthURL(name), &h) != nil {
			continue
		}
		f.mu.Lock()
		f.killedCounts[name] = addCounts(f.killedCounts[name], h)
		f.mu.Unlock()
	}
}

// addCounts sums the counters. It leaves out the gauges, such as what is held now.
func addCounts(a, b engine.Stats) engine.Stats {
	return engine.Stats{
		Computed: a.Computed + b.Computed, Used: a.Used + b.Used, Wasted: a.Wasted + b.Wasted,
		Duplicates: a.Duplicates + b.Duplicates, Finished: a.Finished + b.Finished, Preempted: a.Preempted + b.Preempted,
	}
}

// Total returns the sum of the counters of all engines, including processes that
// Kill ended. Once nothing is held, wasted prefill is Computed minus Used, in tokens;
// Wasted itself misses the results that an engine held when it was killed, and
// transfers that broke at their end.
func (f *Fleet) Total(ctx context.Context) (engine.Stats, error) {
	now, err := f.Held(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	var sum engine.Stats
	for _, h := range f.killedCounts {
		sum = addCounts(sum, h)
	}
	for _, h := range now {
		sum = addCounts(sum, h)
	}
	return sum, err
}

// Pause stops a process with SIGSTOP until Resume.
func (f *Fleet) Pause(name string) error { return f.signal(name, syscall.SIGSTOP) }

// Resume continues a process that Pause stopped.
func (f *Fleet) Resume(name string) error { return f.signal(name, syscall.SIGCONT) }

// Restart starts a process that has exited, at the same addresses, and waits
// until it is ready.
func (f *Fleet) Restart(ctx context.Context, name string) error {
	p, err := f.process(name)
	if err != nil {
		return err
	}
	if d := f.daemon(name); d != nil {
		f.setDaemonState(d, "live")
		if err := f.publishList(ctx); err != nil {
			return err
		}
	}
	if err := p.start(); err != nil {
		return err
	}
	return f.await(ctx, p, f.healthURL(name))
}

// Drain marks a daemon as leaving, stops it gracefully and removes it from the
// instance list. It returns an error unless the daemon exits with code 0.
func (f *Fleet) Drain(ctx context.Context, name string) error {
	d := f.daemon(name)
	if d == nil {
		return eris.Errorf("unknown daemon %q", name)
	}
	f.setDaemonState(d, "leaving")
	if err := f.publishList(ctx); err != nil {
		return err
	}
	p, err := f.process(name)
	if err != nil {
		return err
	}
	if err := p.stop(stopTimeout); err != nil {
		return err
	}
	f.setDaemonState(d, "")
	return f.publishList(ctx)
}

func (f *Fleet) daemon(name string) *Daemon {
	for _, d := range f.Daemons() {
		if d.Name == name {
			return d
		}
	}
	return nil
}

// setDaemonState sets the state in the instance list, without publishing it; an empty
// state leaves the daemon out.
func (f *Fleet) setDaemonState(d *Daemon, state string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d.state = state
}

// SetState sets the state of a backend server and publishes the instance list.
func (f *Fleet) SetState(ctx context.Context, name, state string) error {
	f.mu.Lock()
	f.states[name] = state
	f.mu.Unlock()
	return f.publishList(ctx)
}

// healthURL returns a URL at which the named process returns status 200 once it is
// ready, or an empty string for an unknown name.
func (f *Fleet) healthURL(name string) string {
	if d := f.daemon(name); d != nil {
		return d.readyURL()
	}
	if name == "platform" {
		return "http://" + f.platform.String() + "/reads"
	}
	doc := f.Document()
	for _, e := range doc.Engines {
		if e.Name == name {
			return "http://" + e.Address.String() + "/held"
		}
	}
	for _, s := range doc.Servers {
		if s.Name == name {
			return "http://" + s.Address.String() + "/runs"
		}
	}
	return ""
}

// Publish makes the platform serve the document.
func (f *Fleet) Publish(ctx context.Context, d policy.Document) error {
	b, err := toml.Marshal(d)
	if err != nil {
		return eris.Wrap(err, "can't encode the document")
	}
	f.mu.Lock()
	f.doc = d
	f.mu.Unlock()
	return f.send(ctx, http.MethodPut, "http://"+f.platform.String()+"/document", b, nil)
}

// PublishRaw makes the platform serve any bytes, also invalid ones, as the document of
// a version.
func (f *Fleet) PublishRaw(ctx context.Context, version uint64, body []byte) error {
	return f.send(ctx, http.MethodPut, fmt.Sprintf("http://%s/document?version=%d", f.platform, version), body, nil)
}

// Status returns the status page of a daemon.
func (f *Fleet) Status(ctx context.Context, name string) (admin.Status, error) {
	var s admin.Status
	d := f.daemon(name)
	if d == nil {
		return s, eris.Errorf("unknown daemon %q", name)
	}
	return s, f.get(ctx, "http://"+d.Admin.String()+"/status", &s)
}

func (f *Fleet) publishList(ctx context.Context) error {
	b, err := json.Marshal(f.instances())
	if err != nil {
		return err
	}
	return f.send(ctx, http.MethodPut, "http://"+f.platform.String()+"/instances", b, nil)
}

// Fault sets the fault switches of a stand-in to those in body, a JSON object.
func (f *Fleet) Fault(ctx context.Context, name, body string) error {
	u := f.healthURL(name)
	if u == "" || f.daemon(name) != nil {
		return eris.Errorf("%q is not a stand-in", name)
	}
	base, err := url.Parse(u)
	if err != nil {
		return err
	}
	return f.send(ctx, http.MethodPost, base.ResolveReference(&url.URL{Path: "/fault"}).String(), []byte(body), nil)
}

// Held returns by name what the engines hold and their counters. If engines don't
// answer, it returns those of the others and an error.
func (f *Fleet) Held(ctx context.Context) (map[string]engine.Stats, error) {
	out := map[string]engine.Stats{}
	var errs []error
	for _, e := range f.Document().Engines {
		var h engine.Stats
		if err := f.get(ctx, "http://"+e.Address.String()+"/held", &h); err != nil {
			errs = append(errs, err)
			continue
		}
		out[e.Name] = h
	}
	return out, errors.Join(errs...)
}

// Runs returns how often the calls to a path were executed, by the hash of path and
// body and summed over the plain servers. If servers don't answer, it returns the sum
// over the others and an error.
func (f *Fleet) Runs(ctx context.Context, path string) (map[string]int, error) {
	out := map[string]int{}
	var errs []error
	for _, s := range f.Document().Servers {
		var r plain.Runs
		if err := f.get(ctx, "http://"+s.Address.String()+"/runs", &r); err != nil {
			errs = append(errs, err)
			continue
		}
		for h, n := range r.Paths[path] {
			out[h] += n
		}
	}
	return out, errors.Join(errs...)
}

// Reads returns how often the platform was read.
func (f *Fleet) Reads(ctx context.Context) (platfm.Reads, error) {
	var r platfm.Reads
	return r, f.get(ctx, "http://"+f.platform.String()+"/reads", &r)
}

// Metrics returns the metrics of a daemon in text form.
func (f *Fleet) Metrics(ctx context.Context, name string) (string, error) {
	d := f.daemon(name)
	if d == nil {
		return "", eris.Errorf("unknown daemon %q", name)
	}
	var b bytes.Buffer
	err := f.send(ctx, http.MethodGet, "http://"+d.Admin.String()+"/metrics", nil, &b)
	return b.String(), err
}

func (f *Fleet) get(ctx context.Context, address string, v any) error {
	var b bytes.Buffer
	if err := f.send(ctx, http.MethodGet, address, nil, &b); err != nil || v == nil {
		return err
	}
	return json.Unmarshal(b.Bytes(), v)
}

func (f *Fleet) send(ctx context.Context, method, address string, body []byte, out *bytes.Buffer) error {
	r, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := f.client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("%s returned status %d: %s", address, resp.StatusCode, bytes.TrimSpace(b))
	}
	if out != nil {
		out.Write(b)
	}
	return nil
}

// Close stops all processes gracefully, the daemons first. It returns a joined error
// of the processes that were still running and did not exit with code 0.
func (f *Fleet) Close() error {
	var errs []error
	if f.router != nil {
		errs = append(errs, f.router.Close())
	}
	daemons, backends := map[string]*proc{}, map[string]*proc{}
	for name, p := range f.processes() {
		if f.daemon(name) != nil {
			daemons[name] = p
		} else {
			backends[name] = p
		}
	}
	for _, set := range []map[string]*proc{daemons, backends} {
		ended := make(chan error, len(set))
		for _, p := range set {
			go func() { ended <- p.stop(stopTimeout) }()
		}
		for range set {
			errs = append(errs, <-ended)
		}
	}
	f.client.CloseIdleConnections()
	f.relay.close()
	f.ports.release()
	return errors.Join(errs...)
}
