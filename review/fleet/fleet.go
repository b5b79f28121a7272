// Package fleet starts routers as separate processes on loopback addresses, with
// stand-ins of the platform's store, of backend servers and of clients, for the cases of
// the second review.
package fleet

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Record writes what was sent, answered and run, with the seconds since the start.
type Record struct {
	begin time.Time
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
}

// NewRecord creates the record at a path.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{begin: time.Now(), out: bufio.NewWriter(f), file: f}, nil
}

// Line writes one line.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.begin).Seconds()}, args...)...)
	_ = r.out.Flush() // the record is complete as far as the disk allows
}

// Close closes the record.
func (r *Record) Close() {
	_ = r.out.Flush()
	_ = r.file.Close()
}

// Ports are the ports that all daemons of a fleet use, each on its own address.
type Ports struct{ Front, Ready, Control, Peer, Metrics int }

// Daemon is one machine with a router.
type Daemon struct {
	Name, IP, Zone string
	Ports          Ports
	settings, log  string
	program        string
	record         *Record

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// Settings are the settings that all daemons of a fleet share.
type Settings struct {
	Store string
	Seeds []string
	// Extra are further lines of the settings file.
	Extra []string
}

// Fleet is a set of daemons with the store they read.
type Fleet struct {
	Record  *Record
	Store   *Store
	Daemons []*Daemon
	Ports   Ports
	dir     string
}

// program is the router as the deploy file builds and runs it.
const program = "target/citronrock-front"

// zones are the failure domains of the stand-in deployment.
var zones = []string{"thu-duc", "binh-thanh", "di-an"}

// New prepares a fleet of n machines. The first three are the seeds. Nothing is started
// but the store.
func New(rec *Record, n int, extra ...string) (*Fleet, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("build the deploy file first: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Record: rec, dir: dir}
	if f.Store, err = StartStore(rec); err != nil {
		return nil, err
	}
	base := os.Getpid()
	var ips []string
	for i := range n {
		ips = append(ips, fmt.Sprintf("127.%d.%d.%d", 64+base%60, 1+(base/60)%250, 10+i))
	}
	if f.Ports, err = freePorts(ips); err != nil {
		return nil, err
	}
	var seeds []string
	for _, ip := range ips[:min(3, n)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, f.Ports.Control))
	}
	for i, ip := range ips {
		d := &Daemon{Name: fmt.Sprintf("frontend-%d", i+1), IP: ip, Zone: zones[i%len(zones)], Ports: f.Ports, program: program, record: rec,
			settings: filepath.Join(dir, fmt.Sprintf("local-%d.conf", i+1)), log: filepath.Join(dir, fmt.Sprintf("log-%d.txt", i+1))}
		if err := d.writeSettings(Settings{Store: f.Store.Addr, Seeds: seeds, Extra: extra}); err != nil {
			return nil, err
		}
		f.Daemons = append(f.Daemons, d)
	}
	return f, nil
}

// freePorts returns ports that are free on all addresses.
func freePorts(ips []string) (Ports, error) {
	var found []int
	for port := 18000 + os.Getpid()%8000; port < 32000 && len(found) < 5; port++ {
		if isFree(ips, port) {
			found = append(found, port)
		}
	}
	if len(found) < 5 {
		return Ports{}, errors.New("no free ports")
	}
	return Ports{Front: found[0], Ready: found[1], Control: found[2], Peer: found[3], Metrics: found[4]}, nil
}

func isFree(ips []string, port int) bool {
	for _, ip := range ips {
		addr := fmt.Sprintf("%s:%d", ip, port)
		l, err := net.Listen("tcp4", addr)
		if err != nil {
			return false
		}
		l.Close()
		p, err := net.ListenPacket("udp4", addr)
		if err != nil {
			return false
		}
		_ = p.Close()
	}
	return true
}

// writeSettings writes the settings file of a small deployment (DEPLOY.md).
func (d *Daemon) writeSettings(s Settings) error {
	lines := []string{
		"node_name=" + d.Name, "role=router", "machine_class=frontend", "serves=frontend,control_plane",
		"ip=" + d.IP, "zone=" + d.Zone, "region=south",
		"zones.thu-duc=south", "zones.binh-thanh=south", "zones.di-an=south",
		fmt.Sprintf("listen_addresses.front=%s:%d", d.IP, d.Ports.Front),
		fmt.Sprintf("listen_addresses.ready=%s:%d", d.IP, d.Ports.Ready),
		fmt.Sprintf("listen_addresses.control=%s:%d", d.IP, d.Ports.Control),
		fmt.Sprintf("internal_port_range=%d,%d", d.Ports.Peer, d.Ports.Peer),
		"seed_nodes=" + strings.Join(s.Seeds, ","),
		"bootstrap=true", "counts_as_loss=false", "limits.cpu_share=0.4", "limits.cpu_cores=1", "limits.memory_mb=284",
		"limits.file_descriptors=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform", "entry=virtual_ip",
		"heartbeat_interval_ms=1200", "contracts=base,drain,config,cost,retry,recover,split,stream,engine,platform",
		"fault_tolerance.machines=2", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.address_reuse_s=2", "bounds.contact_window_ms=3000", "bounds.ack_timeout_ms=4000",
		"bounds.catch_up_s=4", "bounds.drain_timeout_ms=2000", "bounds.grace_period_s=8", "bounds.loss_slack_ms=200",
		"bounds.config_apply_ms=2000", "bounds.rollback_slack_ms=250", "bounds.max_skew_ms=5000", "bounds.retry_budget_ratio=0.2",
		"bounds.budget_window_s=10", "bounds.budget_slack=54", "bounds.recovery_s=12", "bounds.transit_ms=120",
		"bounds.reuse_window_s=3", "bounds.require_fencing=true", "bounds.lease_duration_ms=3000", "bounds.thaw_slack_ms=300",
		"platform.address=" + s.Store, "platform.form=read", "platform.writes_per_s=400", "platform.reads_per_s=2000",
		"platform.history_retention_s=20", "platform.value_bytes=1048576", "platform.min_ttl_ms=1000",
	}
	lines = append(lines, s.Extra...)
	return os.WriteFile(d.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// Start starts the router with the command of the deploy file.
func (d *Daemon) Start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(d.program, "--metrics", fmt.Sprint(d.Ports.Metrics))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CITRONROCK_NODE_FILE=" + d.settings}
	cmd.Stdout, cmd.Stderr = log, log
	// The routers end with this program, also if it is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	d.cmd, d.done = cmd, make(chan struct{})
	d.record.Line("daemon %s started at %s, pid %d", d.Name, d.IP, cmd.Process.Pid)
	go func(done chan struct{}) {
		err := cmd.Wait()
		_ = log.Close()
		d.record.Line("daemon %s ended: %v", d.Name, err)
		close(done)
	}(d.done)
	return nil
}

// Signal sends a signal to the router.
func (d *Daemon) Signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		d.record.Line("daemon %s gets signal %s", d.Name, s)
		_ = d.cmd.Process.Signal(s) // it may have ended
	}
}

// Wait waits for the end of the router, for a time at most, and reports whether it ended.
func (d *Daemon) Wait(most time.Duration) bool {
	d.mu.Lock()
	done := d.done
	d.mu.Unlock()
	if done == nil {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(most):
		return false
	}
}

// Kill ends the router with SIGKILL and waits for its end.
func (d *Daemon) Kill() {
	d.Signal(syscall.SIGKILL)
	d.Wait(5 * time.Second)
}

// Front returns the address for clients.
func (d *Daemon) Front() string { return fmt.Sprintf("%s:%d", d.IP, d.Ports.Front) }

// Ready asks the router whether it is ready, as the platform does.
func (d *Daemon) Ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/readiness", d.IP, d.Ports.Ready))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until the routers are ready.
func AwaitReady(daemons []*Daemon, most time.Duration) error {
	end := time.Now().Add(most)
	for _, d := range daemons {
		for !d.Ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", d.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Close ends all routers and removes their files, unless KEEP names a folder for the logs.
func (f *Fleet) Close() {
	for _, d := range f.Daemons {
		d.Kill()
	}
	f.Store.Close()
	if to := os.Getenv("KEEP"); to != "" {
		_ = os.CopyFS(to, os.DirFS(f.dir)) // a copy for the reader only
	}
	_ = os.RemoveAll(f.dir)
}

// Trouble reports whether the disruption is wanted: TROUBLE=0 leaves it out.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Exit codes of a case.
const (
	Held     = 0
	Broken   = 1
	Unusable = 2
)
