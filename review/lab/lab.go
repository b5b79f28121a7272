// Package lab has the stand-ins for the cases in review/: the platform's store, backend
// servers, clients, and the processes of the router. They do only what the users' pages
// allow them.
package lab

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Record writes record.txt: what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record at a path.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Add writes one line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes one line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }

// freePort returns a port of an address that is free for TCP and UDP.
func freePort(ip netip.Addr) (uint16, error) {
	for range 100 {
		l, err := net.Listen("tcp4", netip.AddrPortFrom(ip, 0).String())
		if err != nil {
			return 0, err
		}
		at := netip.MustParseAddrPort(l.Addr().String())
		_ = l.Close() // it was opened to find a port
		u, err := net.ListenPacket("udp4", at.String())
		if err == nil {
			_ = u.Close() // opened for the same reason
			return at.Port(), nil
		}
	}
	return 0, fmt.Errorf("no free port at %s", ip)
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // if it fails, the connection is closed normally
	}
	_ = c.Close()
}

// Case is one play of a case.
type Case struct {
	Rec *Record
	// Root is the root of the repository, Dir a temporary folder.
	Root, Dir string
	// Trouble is unset if the disruption is left out.
	Trouble bool
}

// Main plays a case with the arguments of the command, which are the folder of the case and
// the root of the repository, and exits with the code that play returns.
func Main(play func(*Case) (int, error)) {
	code, err := run(play)
	if err != nil {
		fmt.Println("the case could not run:", err)
		code = NotRun
	}
	os.Exit(code)
}

func run(play func(*Case) (int, error)) (code int, err error) {
	if len(os.Args) != 3 {
		return NotRun, fmt.Errorf("want the folder of the case and the root of the repository")
	}
	rec, err := NewRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		return NotRun, err
	}
	defer rec.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return NotRun, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	return play(&Case{Rec: rec, Root: os.Args[2], Dir: dir, Trouble: os.Getenv("TROUBLE") != "0"})
}
