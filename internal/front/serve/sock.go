package serve

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// ignoreHandshakes makes the kernel drop the segments that begin a handshake with a
// listening socket. Handshakes that have begun complete, and clients whose segment was
// dropped send it again.
func ignoreHandshakes(l syscall.Conn) error {
	const (
		flags       = 13 // the offset of the flags in a TCP header
		synAck, syn = 0x12, 0x02
		whole       = 1 << 18
	)
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flags},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: synAck},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: syn, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: whole},
	}
	program := &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	return control(l, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
	})
}

// acceptable returns whether an established connection waits in the accept queue.
func acceptable(l syscall.Conn) (waits bool, err error) {
	err = control(l, func(fd int) error {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		for errors.Is(err, unix.EINTR) {
			n, err = unix.Poll(fds, 0)
		}
		waits = n > 0 && fds[0].Revents&unix.POLLIN != 0
		return err
	})
	return waits, err
}

// unread returns whether bytes of a connection have arrived that were not read.
func unread(c syscall.Conn) (arrived bool, err error) {
	err = control(c, func(fd int) error {
		n, _, err := unix.Recvfrom(fd, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		arrived = n > 0
		if errors.Is(err, unix.EAGAIN) {
			return nil
		}
		return err
	})
	return arrived, err
}

// control calls f with the descriptor of a socket, which stays open meanwhile.
func control(c syscall.Conn, f func(fd int) error) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	if err := raw.Control(func(fd uintptr) { failure = f(int(fd)) }); err != nil {
		return err
	}
	return failure
}
