package ports

import (
	"net"
	"testing"
)

// Guards against a reserved port that another socket of the machine gets while no
// process listens there, and against one at which the process that it is meant for
// cannot listen again.
func TestReserve(t *testing.T) {
	const reservations, sockets = 300, 400
	reserved := map[string]bool{}
	for range reservations {
		addr, release, err := Reserve()
		if err != nil {
			t.Fatal(err)
		}
		defer release()
		if reserved[addr] {
			t.Fatalf("%s was reserved twice", addr)
		}
		reserved[addr] = true
	}
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	for range sockets {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer lis.Close()
		conn, err := net.Dial("tcp", server.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		for _, addr := range []string{lis.Addr().String(), conn.LocalAddr().String()} {
			if reserved[addr] {
				t.Fatalf("the reserved address %s was given to another socket", addr)
			}
		}
	}
	for addr := range reserved {
		for range 2 {
			if _, err := net.Dial("tcp", addr); err == nil {
				t.Fatalf("%s accepts connections, though nobody listens", addr)
			}
			lis, err := net.Listen("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				if conn, err := lis.Accept(); err == nil {
					_ = conn.Close()
				}
			}()
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			_ = conn.Close()
			_ = lis.Close()
		}
	}
}
