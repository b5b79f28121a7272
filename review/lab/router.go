package lab

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program and its arguments are those of the deploy file.
var program = []string{"target/citronrock-front", "--metrics", "9464"}

// Router is one process of the router at its own loopback address.
type Router struct {
	Name  string
	Front string
	// Holder is the address that stands in its orders.
	Holder string
	ready  string
	root   string
	file   string
	logs   string
	rec    *Record

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// Fleet is the routers of one case.
type Fleet []*Router

// NewFleet prepares n routers and writes their settings to a folder. root is the root of
// the repository, settings are lines that replace the usual ones.
func NewFleet(rec *Record, root, dir, store string, n int, settings ...string) (Fleet, error) {
	net := byte(1 + os.Getpid()%250)
	ip := func(i int) netip.Addr { return netip.AddrFrom4([4]byte{127, 90, net, byte(i + 1)}) }
	var ports [4]uint16
	for i := range ports {
		p, err := freePort(ip(0))
		if err != nil {
			return nil, err
		}
		ports[i] = p
	}
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, netip.AddrPortFrom(ip(i), ports[2]).String())
	}
	zones := []string{"gent", "mechelen", "hasselt"}
	var out Fleet
	for i := range n {
		at := func(k int) string { return netip.AddrPortFrom(ip(i), ports[k]).String() }
		r := &Router{Name: fmt.Sprint("frontend-", i+1), Front: at(0), Holder: at(3), ready: at(1), root: root, rec: rec,
			file: filepath.Join(dir, fmt.Sprint("node", i+1, ".conf")), logs: filepath.Join(dir, fmt.Sprint("node", i+1, ".log"))}
		lines := []string{"node_name=" + r.Name, "role=router", "machine_class=frontend", "serves=frontend,control_plane",
			"ip=" + ip(i).String(), "zone=" + zones[i%3], "region=vlaanderen",
			"zones.gent=vlaanderen", "zones.mechelen=vlaanderen", "zones.hasselt=vlaanderen",
			"listen_addresses.front=" + at(0), "listen_addresses.ready=" + at(1), "listen_addresses.control=" + at(2),
			fmt.Sprintf("internal_port_range=%d,%d", ports[3], ports[3]+15), "seed_nodes=" + strings.Join(seeds, ","),
			"bootstrap=true", "counts_as_loss=false", "limits.cpu_share=0.4", "limits.cpu_cores=1", "limits.memory_mb=134",
			"limits.file_descriptors=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform",
			"heartbeat_interval_ms=1200", "contracts=base,drain,config,cost,retry,recover,split,stream,engine,platform",
			"bounds.seed_lag_s=3", "bounds.address_reuse_s=2", "bounds.contact_window_ms=3000", "bounds.drain_timeout_ms=2000",
			"bounds.grace_period_s=8", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000", "bounds.rollback_slack_ms=250",
			"bounds.max_skew_ms=5000", "bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.budget_slack=52",
			"bounds.recovery_s=12", "bounds.transit_ms=120", "bounds.reuse_window_s=3", "bounds.require_fencing=true",
			"bounds.lease_duration_ms=3000", "bounds.thaw_slack_ms=300", "platform.address=" + store, "platform.form=read",
			"platform.reads_per_s=2000", "platform.history_retention_s=20", "platform.value_bytes=1048576"}
		lines = append(lines, settings...)
		if err := os.WriteFile(r.file, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

// Start starts all routers and waits until they are ready.
func (f Fleet) Start() error {
	for _, r := range f {
		if err := r.Start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, r := range f {
			if r.IsReady() {
				ready++
			}
		}
		if ready == len(f) {
			return nil
		}
	}
	return fmt.Errorf("not all routers are ready")
}

// Stop ends all routers.
func (f Fleet) Stop() {
	for _, r := range f {
		r.Signal(syscall.SIGCONT)
		r.Signal(syscall.SIGKILL)
	}
	for _, r := range f {
		if done := r.Exited(); done != nil {
			<-done
		}
	}
}

// Start starts the process.
func (r *Router) Start() error {
	out, err := os.OpenFile(r.logs, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(r.root, program[0]), program[1:]...)
	cmd.Dir = r.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "CITRONROCK_NODE_FILE=" + r.file}
	cmd.Stdout, cmd.Stderr = out, out
	// A killed case leaves no processes behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started, exited := make(chan error), make(chan struct{})
	go func() {
		runtime.LockOSThread() // the signal comes at the end of the thread
		err := cmd.Start()
		started <- err
		_ = out.Close() // the process has its own descriptor
		if err == nil {
			err = cmd.Wait()
			r.rec.Add("%s ended: %v", r.Name, err)
			close(exited)
		}
	}()
	if err := <-started; err != nil {
		return err
	}
	r.mu.Lock()
	r.cmd, r.exited = cmd, exited
	r.mu.Unlock()
	r.rec.Add("%s started, pid %d, front %s", r.Name, cmd.Process.Pid, r.Front)
	return nil
}

// Exited returns a channel that is closed at the end of the process, nil before its start.
func (r *Router) Exited() chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.exited
}

// Signal sends a signal to the process.
func (r *Router) Signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd == nil {
		return
	}
	if err := r.cmd.Process.Signal(s); err == nil {
		r.rec.Add("%s gets %v", r.Name, s)
	}
}

// IsReady asks the router whether it is ready.
func (r *Router) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + r.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // only the status matters
	return resp.StatusCode == http.StatusOK
}

// Set adds lines to the settings. They replace earlier ones.
func (r *Router) Set(lines ...string) error {
	f, err := os.OpenFile(r.file, os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = f.WriteString(strings.Join(lines, "\n") + "\n")
	return errors.Join(err, f.Close())
}
