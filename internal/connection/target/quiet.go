package target

import (
	"net"
	"syscall"
)

// quiet reports whether an idle connection is open and has nothing to read.
// Bytes on it belong to no request. A connection that does not allow the test,
// such as TLS, counts as quiet.
func quiet(c net.Conn) bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, err := syscall.Read(int(fd), b[:])
		quiet = n < 0 && err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
