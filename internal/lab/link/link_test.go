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

// newEchoLink returns a link to an echo server and an open connection through
// it.
func newEchoLink(t *testing.T, spec Spec) (*Link, net.Conn) {
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

// roundTrip sends text and waits for its echo.
func roundTrip(c net.Conn, text string, limit time.Duration) error {
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

const shortTimeout, longTimeout = 200 * time.Millisecond, 10 * time.Second

// Guards against a link that delivers too early, or loses or reorders bytes.
func TestDelayAndBandwidth(t *testing.T) {
	spec := Spec{Delay: document.Duration(30 * time.Millisecond), Jitter: document.Duration(5 * time.Millisecond), BytesPerSecond: 1 << 20}
	_, c := newEchoLink(t, spec)
	start := time.Now()
	if err := roundTrip(c, "x", longTimeout); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(start); took < 60*time.Millisecond {
		t.Errorf("echo after %s, want at least 60ms", took)
	}
	start = time.Now()
	if err := roundTrip(c, string(bytes.Repeat([]byte("0123456789abcdef"), 16<<10)), longTimeout); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(start); took < 250*time.Millisecond {
		t.Errorf("256 KiB at 1 MiB/s took %s, want at least 250ms", took)
	}
}

// Guards against a cut that the caller notices while it lasts, and against a
// stream that continues with missing bytes after the cut.
func TestCutIsSilent(t *testing.T) {
	l, c := newEchoLink(t, Spec{})
	if err := roundTrip(c, "a", longTimeout); err != nil {
		t.Fatal(err)
	}
	l.SetState(Cut)
	fresh := dial(t, l)
	for _, conn := range []net.Conn{c, fresh} {
		if err := roundTrip(conn, "b", shortTimeout); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("during the cut: %v, want a timeout", err)
		}
	}
	l.SetState(Open)
	for _, conn := range []net.Conn{c, fresh} {
		if err := roundTrip(conn, "c", longTimeout); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("after the cut: %v, want a reset", err)
		}
	}
	if err := roundTrip(dial(t, l), "d", longTimeout); err != nil {
		t.Fatalf("new connection after the cut: %v", err)
	}
}

// Guards against a freeze that loses bytes, and a reset that leaves
// connections open.
func TestFreezeAndReset(t *testing.T) {
	l, c := newEchoLink(t, Spec{})
	if err := roundTrip(c, "a", longTimeout); err != nil {
		t.Fatal(err)
	}
	l.SetState(Frozen)
	if err := roundTrip(c, "b", shortTimeout); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("while frozen: %v, want a timeout", err)
	}
	l.SetState(Open)
	_ = c.SetDeadline(time.Now().Add(longTimeout))
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		t.Fatalf("after the freeze: %v", err)
	}
	l.SetState(Reset)
	fresh, err := net.Dial("tcp", l.Status().Listen) // may already fail with the reset
	if err == nil {
		defer fresh.Close()
		err = roundTrip(fresh, "c", longTimeout)
	}
	for _, err := range []error{err, roundTrip(c, "c", longTimeout)} {
		if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("after the reset: %v, want a reset", err)
		}
	}
}
