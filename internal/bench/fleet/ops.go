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

func (f *Fleet) find(name string) (*proc, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.procs[name]; p != nil {
		return p, nil
	}
	return nil, eris.Errorf("there is no process %q", name)
}

func (f *Fleet) signal(name string, s syscall.Signal) error {
	p, err := f.find(name)
	if err != nil {
		return err
	}
	return p.signal(s)
}

// Kill ends a process at once and waits for its end. What an engine has counted
// until then stays in Total.
func (f *Fleet) Kill(name string) error {
	p, err := f.find(name)
	if err != nil {
		return err
	}
	f.save(name)
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	if _, ok := p.wait(starting); !ok {
		return eris.Errorf("%s was not killed", name)
	}
	return nil
}

// save adds the counts of an engine to those of its earlier runs.
func (f *Fleet) save(name string) {
	for _, e := range f.Document().Engines {
		var h engine.Held
		if e.Name != name || f.get(context.Background(), f.url(name), &h) != nil {
			continue
		}
		f.mu.Lock()
		f.past[name] = add(f.past[name], h)
		f.mu.Unlock()
	}
}

// add sums the counts; what is held now has no sum.
func add(a, b engine.Held) engine.Held {
	return engine.Held{
		Computed: a.Computed + b.Computed, Used: a.Used + b.Used, Wasted: a.Wasted + b.Wasted,
		Double: a.Double + b.Double, Finished: a.Finished + b.Finished, Preempted: a.Preempted + b.Preempted,
	}
}

// Total returns the sum of what all engines have counted, with earlier runs
// that Kill ended. Once nothing is held, the tokens that were computed and not
// used are wasted; Wasted itself misses the results that an engine held when
// it was killed and transfers that broke at their end.
func (f *Fleet) Total(ctx context.Context) (engine.Held, error) {
	now, err := f.Held(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	var sum engine.Held
	for _, h := range f.past {
		sum = add(sum, h)
	}
	for _, h := range now {
		sum = add(sum, h)
	}
	return sum, err
}

// Pause pauses a process, Continue resumes it.
func (f *Fleet) Pause(name string) error { return f.signal(name, syscall.SIGSTOP) }

// Resume resumes a process that Stop paused.
func (f *Fleet) Resume(name string) error { return f.signal(name, syscall.SIGCONT) }

// Restart starts a process that has ended, at the same addresses, and waits
// until it answers.
func (f *Fleet) Restart(ctx context.Context, name string) error {
	p, err := f.find(name)
	if err != nil {
		return err
	}
	if d := f.daemon(name); d != nil {
		f.mark(d, "live")
		if err := f.publishList(ctx); err != nil {
			return err
		}
	}
	if err := p.start(); err != nil {
		return err
	}
	return f.await(ctx, p, f.url(name))
}

// Drain marks a daemon as leaving, stops it gracefully and takes it off the
// list. It returns an error unless the daemon exits with code 0.
func (f *Fleet) Drain(ctx context.Context, name string) error {
	d := f.daemon(name)
	if d == nil {
		return eris.Errorf("there is no daemon %q", name)
	}
	f.mark(d, "leaving")
	if err := f.publishList(ctx); err != nil {
		return err
	}
	p, err := f.find(name)
	if err != nil {
		return err
	}
	if err := p.end(leaving); err != nil {
		return err
	}
	f.mark(d, "")
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

// mark sets the state in the list; an empty state leaves the daemon out.
func (f *Fleet) mark(d *Daemon, state string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d.state = state
}

// SetState sets the state of a backend server in the platform's list.
func (f *Fleet) SetState(ctx context.Context, name, state string) error {
	f.mu.Lock()
	f.states[name] = state
	f.mu.Unlock()
	return f.publishList(ctx)
}

// url returns what a process answers with 200 once it works.
func (f *Fleet) url(name string) string {
	if d := f.daemon(name); d != nil {
		return d.ready()
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

// Publish gives the document to the platform.
func (f *Fleet) Publish(ctx context.Context, d policy.Document) error {
	b, err := toml.Marshal(d)
	if err != nil {
		return eris.Wrap(err, "can't write the document")
	}
	f.mu.Lock()
	f.doc = d
	f.mu.Unlock()
	return f.send(ctx, http.MethodPut, "http://"+f.platform.String()+"/document", b, nil)
}

// PublishRaw gives any bytes to the platform as the document of a version.
func (f *Fleet) PublishRaw(ctx context.Context, version uint64, body []byte) error {
	return f.send(ctx, http.MethodPut, fmt.Sprintf("http://%s/document?version=%d", f.platform, version), body, nil)
}

// Status returns the status page of a daemon.
func (f *Fleet) Status(ctx context.Context, name string) (admin.Status, error) {
	var s admin.Status
	d := f.daemon(name)
	if d == nil {
		return s, eris.Errorf("there is no daemon %q", name)
	}
	return s, f.get(ctx, "http://"+d.Admin.String()+"/status", &s)
}

func (f *Fleet) publishList(ctx context.Context) error {
	b, err := json.Marshal(f.list())
	if err != nil {
		return err
	}
	return f.send(ctx, http.MethodPut, "http://"+f.platform.String()+"/instances", b, nil)
}

// Fault posts fault switches as JSON to a stand-in.
func (f *Fleet) Fault(ctx context.Context, name, body string) error {
	u := f.url(name)
	if u == "" || f.daemon(name) != nil {
		return eris.Errorf("%q is no stand-in", name)
	}
	base, err := url.Parse(u)
	if err != nil {
		return err
	}
	return f.send(ctx, http.MethodPost, base.ResolveReference(&url.URL{Path: "/fault"}).String(), []byte(body), nil)
}

// Held returns what the engines that answer hold, by name.
func (f *Fleet) Held(ctx context.Context) (map[string]engine.Held, error) {
	out := map[string]engine.Held{}
	var errs []error
	for _, e := range f.Document().Engines {
		var h engine.Held
		if err := f.get(ctx, "http://"+e.Address.String()+"/held", &h); err != nil {
			errs = append(errs, err)
			continue
		}
		out[e.Name] = h
	}
	return out, errors.Join(errs...)
}

// Runs returns the runs of a path by the hash of path and body, summed over
// all plain servers that answer.
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

// Reads returns the platform's counts of reads.
func (f *Fleet) Reads(ctx context.Context) (platfm.Reads, error) {
	var r platfm.Reads
	return r, f.get(ctx, "http://"+f.platform.String()+"/reads", &r)
}

// Metrics returns the metrics page of a daemon.
func (f *Fleet) Metrics(ctx context.Context, name string) (string, error) {
	d := f.daemon(name)
	if d == nil {
		return "", eris.Errorf("there is no daemon %q", name)
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
		return eris.Errorf("%s answered %d: %s", address, resp.StatusCode, bytes.TrimSpace(b))
	}
	if out != nil {
		out.Write(b)
	}
	return nil
}

// Close stops all processes gracefully, the daemons first. It returns an error
// for each process that was still running and did not exit with code 0.
func (f *Fleet) Close() error {
	var errs []error
	if f.router != nil {
		errs = append(errs, f.router.Close())
	}
	first, second := map[string]*proc{}, map[string]*proc{}
	for name, p := range f.all() {
		if f.daemon(name) != nil {
			first[name] = p
		} else {
			second[name] = p
		}
	}
	for _, set := range []map[string]*proc{first, second} {
		ended := make(chan error, len(set))
		for _, p := range set {
			go func() { ended <- p.end(leaving) }()
		}
		for range set {
			errs = append(errs, <-ended)
		}
	}
	f.client.CloseIdleConnections()
	f.relay.close()
	return errors.Join(errs...)
}
