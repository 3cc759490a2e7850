package group

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/steady"
)

// Timeouts of a ping and of the connection attempt that follows a failed one.
const (
	pingTimeout  = time.Second
	probeTimeout = 300 * time.Millisecond
)

// pingOrProbe pings one member. If the ping fails, it checks whether the member's
// address refuses connections.
func (m *Manager) pingOrProbe(ctx context.Context, peer *fescuepb.Member) {
	defer func() {
		m.mu.Lock()
		delete(m.pingsInFlight, peer.Instance)
		m.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	if err := m.ping(ctx, peer); err != nil {
		m.probeRefused(ctx, peer)
	}
}

func (m *Manager) ping(ctx context.Context, peer *fescuepb.Member) error {
	conn, err := m.cfg.Dial(peer.GrpcAddr)
	if err != nil {
		return err
	}
	m.mu.Lock()
	req := m.core.PingRequest(peer.Instance)
	m.mu.Unlock()
	sentAt := steady.Now()
	reply, err := fescuepb.NewPeersClient(conn).Ping(ctx, req)
	if err != nil {
		return err
	}
	m.update(func() { m.core.OnPingReply(peer.Instance, reply, sentAt, steady.Now()) })
	return nil
}

// probeRefused checks whether the address of a member that did not answer
// refuses connections, which proves that its process does not run. It opens a
// new connection because the state of a pooled one may be out of date.
func (m *Manager) probeRefused(ctx context.Context, peer *fescuepb.Member) {
	sentAt := steady.Now()
	d := net.Dialer{Timeout: probeTimeout}
	conn, err := d.DialContext(ctx, "tcp", peer.GrpcAddr)
	if err == nil {
		_ = conn.Close()
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		m.update(func() { m.core.OnRefused(peer.Instance, sentAt) })
	}
}
