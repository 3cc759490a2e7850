package target

import (
	"net"
	"testing"
)

// Guards against a request that leaves the process unnoticed after its lease
// was checked: the report must come after the bytes are with the kernel.
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
		<-read // net.Pipe has handed the bytes over before Write returns
		reported = true
	})
	if _, err := c.Write([]byte("request")); err != nil || !reported {
		t.Fatalf("write: %v, reported %v", err, reported)
	}
}
