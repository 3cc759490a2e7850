package target

import (
	"net"
	"syscall"
)

// usable reports whether an idle connection is open and has no data to read.
// Data on an idle connection belongs to no request, so a connection with data
// is not usable. A connection without access to its file descriptor, such as
// one with TLS, cannot be tested and counts as usable.
func usable(c net.Conn) bool {
	if w, ok := c.(*Conn); ok {
		c = w.Conn
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, err := syscall.Read(int(fd), b[:])
		usable = n < 0 && err == syscall.EAGAIN
		return true
	})
	return err == nil && usable
}
