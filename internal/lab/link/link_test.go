package link

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/version/document"
)

// echo returns a link to an echo server, and an open connection through it.
func echo(t *testing.T, spec Spec) (*Link, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	spec.Listen, spec.To = "127.0.0.1:0", l.Addr().String()
	link, err := New(spec, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	go func() { _ = link.Serve() }()
	return link, dial(t, link)
}

func dial(t *testing.T, l *Link) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Status().Listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// ask sends text and waits for its echo.
func ask(c net.Conn, text string, limit time.Duration) error {
	_ = c.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(c, text); err != nil {
		return err
	}
	got := make([]byte, len(text))
	if _, err := io.ReadFull(c, got); err != nil {
		return err
	}
	if string(got) != text {
		return errors.New("echo differs")
	}
	return nil
}

const soon, long = 200 * time.Millisecond, 10 * time.Second

// Guards against a link that delivers too early, or loses or reorders bytes.
func TestDelayAndBandwidth(t *testing.T) {
	spec := Spec{Delay: document.Duration(30 * time.Millisecond), Jitter: document.Duration(5 * time.Millisecond), BytesPerSecond: 1 << 20}
	_, c := echo(t, spec)
	start := time.Now()
	if err := ask(c, "x", long); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(start); took < 60*time.Millisecond {
		t.Errorf("echo after %s, want at least 60ms", took)
	}
	start = time.Now()
	if err := ask(c, string(bytes.Repeat([]byte("0123456789abcdef"), 16<<10)), long); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(start); took < 250*time.Millisecond {
		t.Errorf("256 KiB at 1 MiB/s took %s, want at least 250ms", took)
	}
}

// Guards against a cut that the caller notices, or after which a stream with
// a hole goes on.
func TestCutIsSilent(t *testing.T) {
	l, c := echo(t, Spec{})
	if err := ask(c, "a", long); err != nil {
		t.Fatal(err)
	}
	l.Set(Cut)
	fresh := dial(t, l)
	for _, conn := range []net.Conn{c, fresh} {
		if err := ask(conn, "b", soon); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("during the cut: %v, want a timeout", err)
		}
	}
	l.Set(Open)
	for _, conn := range []net.Conn{c, fresh} {
		if err := ask(conn, "c", long); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("after the cut: %v, want a reset", err)
		}
	}
	if err := ask(dial(t, l), "d", long); err != nil {
		t.Fatalf("new connection after the cut: %v", err)
	}
}

// Guards against a freeze that loses bytes, and a reset that leaves
// connections open.
func TestFreezeAndReset(t *testing.T) {
	l, c := echo(t, Spec{})
	if err := ask(c, "a", long); err != nil {
		t.Fatal(err)
	}
	l.Set(Frozen)
	if err := ask(c, "b", soon); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("while frozen: %v, want a timeout", err)
	}
	l.Set(Open)
	_ = c.SetDeadline(time.Now().Add(long))
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		t.Fatalf("after the freeze: %v", err)
	}
	l.Set(Reset)
	fresh, err := net.Dial("tcp", l.Status().Listen) // may see the reset already
	if err == nil {
		defer fresh.Close()
		err = ask(fresh, "c", long)
	}
	for _, err := range []error{err, ask(c, "c", long)} {
		if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("after the reset: %v, want a reset", err)
		}
	}
}
