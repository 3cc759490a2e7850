package target

import (
	"net"
	"testing"
)

// Guards against a request that is sent after its lease has expired without the
// process noticing. This happens if the function set by AfterWrite is called
// before the bytes have been passed to the kernel and the process is suspended
// in between.
func TestConnReportsAfterWrite(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	read := make(chan struct{})
	go func() {
		_, _ = b.Read(make([]byte, 8))
		close(read)
	}()
	c := &Conn{Conn: a}
	reported := false
	c.AfterWrite(func() {
		<-read // Write to a net.Pipe returns after the bytes have been read
		reported = true
	})
	if _, err := c.Write([]byte("request")); err != nil || !reported {
		t.Fatalf("write: %v, reported %v", err, reported)
	}
}
