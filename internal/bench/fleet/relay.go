package fleet

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"

	"citronrock.example/citronrock/internal/wire/peer"
)

// relay forwards the peer traffic of daemons, TCP and UDP, and drops it between the
// two sides of a partition. The sender of a datagram is taken from the datagram, that
// of a connection is the process that owns its socket.
type relay struct {
	pids func() map[string]int

	mu       sync.Mutex
	isolated map[string]bool
	conns    map[*link]struct{}
	udp      map[string]*net.UDPConn
	closers  []io.Closer
	group    sync.WaitGroup
}

// link is one forwarded connection.
type link struct {
	from, to string
	ends     [2]net.Conn
}

func newRelay(pids func() map[string]int) *relay {
	return &relay{pids: pids, isolated: map[string]bool{}, conns: map[*link]struct{}{}, udp: map[string]*net.UDPConn{}}
}

// add starts to forward the traffic to listed to the daemon at target.
func (r *relay) add(name string, listed, target netip.AddrPort) error {
	l, err := net.Listen("tcp", listed.String())
	if err != nil {
		return err
	}
	u, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listed))
	if err != nil {
		_ = l.Close()
		return err
	}
	r.mu.Lock()
	r.udp[name] = u
	r.closers = append(r.closers, l, u)
	r.mu.Unlock()
	r.group.Go(func() { r.accept(name, l, target) })
	r.group.Go(func() { r.forwardPackets(name, u, target) })
	return nil
}

// partition puts the named daemons on one side and all others on the other side.
// Connections between the sides are closed, new ones as soon as they are accepted.
func (r *relay) partition(names ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isolated = map[string]bool{}
	for _, n := range names {
		r.isolated[n] = true
	}
	for h := range r.conns {
		if r.isolated[h.from] != r.isolated[h.to] {
			h.close()
		}
	}
}

func (r *relay) partitioned(from, to string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isolated[from] != r.isolated[to]
}

func (l *link) close() {
	_ = l.ends[0].Close()
	_ = l.ends[1].Close()
}

func (r *relay) forwardPackets(to string, u *net.UDPConn, target netip.AddrPort) {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := u.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		var p peer.Packet
		if proto.Unmarshal(buf[:n], &p) != nil || r.partitioned(p.From, to) {
			continue
		}
		// Daemons learn the address of a peer from the source of its datagrams, so
		// the datagram must come from the sender's listed address.
		r.mu.Lock()
		from := r.udp[p.From]
		r.mu.Unlock()
		if from != nil {
			_, _ = from.WriteToUDPAddrPort(buf[:n], target)
		}
	}
}

func (r *relay) accept(to string, l net.Listener, target netip.AddrPort) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.group.Go(func() { r.forwardConn(to, c, target) })
	}
}

func (r *relay) forwardConn(to string, c net.Conn, target netip.AddrPort) {
	defer func() { _ = c.Close() }()
	from, ok := r.senderOf(c.RemoteAddr().(*net.TCPAddr).AddrPort())
	if !ok || r.partitioned(from, to) {
		return
	}
	d, err := net.Dial("tcp", target.String())
	if err != nil {
		return
	}
	h := &link{from: from, to: to, ends: [2]net.Conn{c, d}}
	defer h.close()
	r.mu.Lock()
	if r.isolated[from] != r.isolated[to] {
		r.mu.Unlock()
		return
	}
	r.conns[h] = struct{}{}
	r.mu.Unlock()
	var both sync.WaitGroup
	for i := range 2 {
		both.Go(func() {
			_, _ = io.Copy(h.ends[i], h.ends[1-i])
			h.close()
		})
	}
	both.Wait()
	r.mu.Lock()
	delete(r.conns, h)
	r.mu.Unlock()
}

// senderOf returns the daemon that owns the TCP socket with this local address.
func (r *relay) senderOf(a netip.AddrPort) (string, bool) {
	inode := inodeOf(a)
	if inode == "" {
		return "", false
	}
	for name, pid := range r.pids() {
		files, _ := filepath.Glob("/proc/" + strconv.Itoa(pid) + "/fd/*")
		for _, f := range files {
			if to, err := os.Readlink(f); err == nil && to == "socket:["+inode+"]" {
				return name, true
			}
		}
	}
	return "", false
}

// inodeOf returns the inode of the TCP socket with a local address on 127.0.0.1, or
// an empty string if there is none.
func inodeOf(a netip.AddrPort) string {
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	// The kernel prints the address in the byte order of the machine; this is the
	// little-endian form of 127.0.0.1.
	local := fmt.Sprintf("0100007F:%04X", a.Port())
	for _, line := range strings.Split(string(b), "\n") {
		if f := strings.Fields(line); len(f) > 9 && f[1] == local && f[9] != "0" {
			return f[9]
		}
	}
	return ""
}

func (r *relay) close() {
	r.mu.Lock()
	for _, c := range r.closers {
		_ = c.Close()
	}
	for h := range r.conns {
		h.close()
	}
	r.mu.Unlock()
	r.group.Wait()
}
