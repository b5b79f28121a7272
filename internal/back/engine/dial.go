package engine

import (
	"errors"
	"net"
	"syscall"
)

var dialer = &net.Dialer{Timeout: dialTimeout}

// refused reports whether err says that no process listens at the address.
func refused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
