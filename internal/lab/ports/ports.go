// Package ports reserves loopback TCP ports for processes that are started, stopped
// and started again on the same address.
package ports

import (
	"fmt"
	"os"
	"syscall"
)

// Reserve returns a loopback address with a port that the kernel gives to nobody else
// until release is called. A process can listen at the address, stop, and listen
// again. While none does, connections are refused.
//
// The port is held by a socket that is bound and does not listen. Linux lets a further
// socket listen there if both have SO_REUSEADDR, as listeners of package net do, but
// leaves the port out when it chooses one for a connection or for port 0. A port that
// was found free and closed can be taken in between.
func Reserve() (addr string, release func(), err error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", nil, os.NewSyscallError("socket", err)
	}
	port, err := bindLoopback(fd)
	if err != nil {
		_ = syscall.Close(fd)
		return "", nil, err
	}
	return fmt.Sprintf("127.0.0.1:%d", port), func() { _ = syscall.Close(fd) }, nil
}

// Test is the part of testing.TB that For needs.
type Test interface {
	Helper()
	Fatal(args ...any)
	Cleanup(f func())
}

// For returns a reserved address that is released at the end of the test.
func For(t Test) string {
	t.Helper()
	addr, release, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	return addr
}

// bindLoopback binds a socket to a port that the kernel chooses, and returns the port.
func bindLoopback(fd int) (int, error) {
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return 0, os.NewSyscallError("setsockopt", err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return 0, os.NewSyscallError("bind", err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		return 0, os.NewSyscallError("getsockname", err)
	}
	in, ok := name.(*syscall.SockaddrInet4)
	if !ok {
		return 0, fmt.Errorf("a loopback socket has an address of type %T", name)
	}
	return in.Port, nil
}
