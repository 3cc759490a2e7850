package caller

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// A process that is short of processor time may learn of a connection or a request
// long after it has arrived. When a planned stop closes the listener and the
// connections without a request, these functions take what has arrived without
// waiting, immediately before the close would reset it.

// lastLookTime is how long a connection without access to its file descriptor, such
// as one with TLS, is looked at before it is closed.
const lastLookTime = 20 * time.Millisecond

// takeArrived takes the bytes that have arrived on the connection, and reports whether
// a request may be read.
func (c *conn) takeArrived() bool {
	if c.raw.SetReadDeadline(time.Now().Add(lastLookTime)) != nil {
		return false
	}
	sc, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	data := readAvailable(sc)
	if len(data) == 0 {
		return false
	}
	c.limited.r = io.MultiReader(bytes.NewReader(data), c.raw)
	return true
}

// readAvailable reads bytes without waiting for them.
func readAvailable(c syscall.Conn) []byte {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil
	}
	buf, n := make([]byte, readBufferSize), 0
	err = raw.Read(func(fd uintptr) bool {
		n, _ = syscall.Read(int(fd), buf)
		return true
	})
	if err != nil || n <= 0 {
		return nil
	}
	return buf[:n]
}

// acceptAvailable returns a connection that is established already, or nil.
func acceptAvailable(l syscall.Conn) net.Conn {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil
	}
	fd, acceptErr := -1, error(nil)
	err = raw.Control(func(lis uintptr) {
		fd, _, acceptErr = syscall.Accept4(int(lis), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	})
	if errors.Join(err, acceptErr) != nil {
		return nil
	}
	f := os.NewFile(uintptr(fd), "")
	defer f.Close() // the connection has its own copy
	c, err := net.FileConn(f)
	if err != nil {
		return nil
	}
	return c
}
