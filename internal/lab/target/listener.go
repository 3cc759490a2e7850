package target

import (
	"net"
	"sync"

	"github.com/fescuejunction/fescuejunction/internal/lab/journal"
)

// limitListener accepts connections up to the connection limit of the target
// and closes those beyond it.
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
		if l.target.admitConnection() {
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
	c.once.Do(c.target.removeConnection)
	return c.Conn.Close()
}

func (t *Target) admitConnection() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.connections >= t.spec.Connections {
		t.refused++
		t.appendRecord(journal.Target{}, journal.Refuse)
		return false
	}
	t.connections++
	return true
}

func (t *Target) removeConnection() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.connections--
}
