package target

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"
)

const (
	// crashCheckTimeout limits a check whether a target has crashed. A refusal takes
	// one round trip within a region.
	crashCheckTimeout = 250 * time.Millisecond
	// crashCheckTTL is how long the result of a check is used. The connections of a
	// crashed process break together, and it takes longer to start again.
	crashCheckTTL = 300 * time.Millisecond
)

// crashCheck is a check whether the target at an address has crashed.
type crashCheck struct {
	done    chan struct{} // closed when crashed is set
	crashed bool
	at      time.Time // when the check began
}

// brokenOff reports whether err means that the other side ended a connection.
func brokenOff(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Crashed reports whether the process of the target at addr has crashed, after a
// request to it ended with err. An error other than a broken connection is no reason to
// think so, and also sound targets break connections. A process that has ended refuses
// new connections; a connection that is accepted is kept for a later request. Checks of
// one address that are called together share one attempt.
func (t *Transport) Crashed(addr string, err error) bool {
	if !brokenOff(err) {
		return false
	}
	now := time.Now()
	t.mu.Lock()
	c := t.checks[addr]
	if c != nil && now.Sub(c.at) < crashCheckTTL {
		t.mu.Unlock()
		<-c.done
		return c.crashed
	}
	c = &crashCheck{done: make(chan struct{}), at: now}
	t.addCheckLocked(addr, c, now)
	t.mu.Unlock()
	c.crashed = t.refuses(addr)
	close(c.done)
	return c.crashed
}

// addCheckLocked stores a check and removes those that are no longer used.
func (t *Transport) addCheckLocked(addr string, c *crashCheck, now time.Time) {
	for a, old := range t.checks {
		if now.Sub(old.at) >= crashCheckTTL {
			delete(t.checks, a)
		}
	}
	if t.checks == nil {
		t.checks = map[string]*crashCheck{}
	}
	t.checks[addr] = c
}

// refuses opens a connection and reports whether it is refused.
func (t *Transport) refuses(addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	raw, err := t.Dial(ctx, "tcp", addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	c := newConn(raw, addr)
	c.expires = time.Now().Add(newConnTimeout)
	t.putIdle(c)
	return false
}

// newConnTimeout is how long a connection that has carried no request yet is kept.
const newConnTimeout = 2 * time.Second
