package fleet

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// proc is one process with its log file. It can be started again after it exits.
type proc struct {
	name string
	path string
	args []string
	log  string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	code int
}

func newProc(work, name, path string, args ...string) *proc {
	return &proc{name: name, path: path, args: args, log: filepath.Join(work, name+".log")}
}

// start runs the process; its output is appended to its log file.
func (p *proc) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.alive() {
		return eris.Errorf("%s is already running", p.name)
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return eris.Wrapf(err, "can't open the log file of %s", p.name)
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = out, out
	// In its own process group the process doesn't get the SIGINT of the terminal,
	// so that the fleet controls the order of the stop.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return eris.Wrapf(err, "can't start %s; build it first", p.path)
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait()
		p.mu.Lock()
		p.code = cmd.ProcessState.ExitCode()
		p.mu.Unlock()
		close(done)
	}()
	return nil
}

// alive reports whether the process runs. The caller holds mu.
func (p *proc) alive() bool {
	if p.done == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *proc) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.alive() {
		return eris.Errorf("%s is not running", p.name)
	}
	return p.cmd.Process.Signal(s)
}

func (p *proc) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.alive() {
		return 0
	}
	return p.cmd.Process.Pid
}

// wait returns the exit code, or false if the process still runs after d. The code
// of a process that was killed by a signal is -1.
func (p *proc) wait(d time.Duration) (int, bool) {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return 0, true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// The timer may have fired at the same time as the process exited.
	return p.code, !p.alive()
}

// stop sends SIGTERM, and SIGKILL if the process still runs after d.
func (p *proc) stop(d time.Duration) error {
	if p.pid() == 0 {
		return nil
	}
	_ = p.signal(syscall.SIGCONT)
	_ = p.signal(syscall.SIGTERM)
	code, ok := p.wait(d)
	if !ok {
		_ = p.signal(syscall.SIGKILL)
		p.wait(d)
		return eris.Errorf("%s did not stop within %s and was killed: %s", p.name, d, p.logTail())
	}
	if code != 0 {
		return eris.Errorf("%s stopped with exit code %d: %s", p.name, code, p.logTail())
	}
	return nil
}

// logTail returns the last lines of the log.
func (p *proc) logTail() string {
	b, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	return strings.Join(lines[max(0, len(lines)-5):], "\n")
}
