package target

import (
	"net"
	"sync"

	"github.com/fescuejunction/fescuejunction/internal/lab/journal"
)

// limitListener closes connections over the limit of the target.
type limitListener struct {
	net.Listener
	target *Target
}

// Accept returns the next connection within the limit.
func (l limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.target.connect() {
			return &countedConn{Conn: c, target: l.target}, nil
		}
		c.Close()
	}
}

type countedConn struct {
	net.Conn
	target *Target
	once   sync.Once
}

// Close closes the connection and counts it once.
func (c *countedConn) Close() error {
	c.once.Do(c.target.disconnect)
	return c.Conn.Close()
}

func (t *Target) connect() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.connections >= t.spec.Connections {
		t.refused++
		t.write(journal.Target{}, journal.Refuse)
		return false
	}
	t.connections++
	return true
}

func (t *Target) disconnect() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.connections--
}
