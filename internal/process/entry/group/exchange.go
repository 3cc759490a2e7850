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

// Timeouts of the exchange with another entry.
const (
	pingTimeout   = time.Second
	refuseTimeout = 300 * time.Millisecond
)

// exchange pings one member.
func (m *Manager) exchange(ctx context.Context, peer *fescuepb.Member) {
	defer func() {
		m.mu.Lock()
		delete(m.inFlight, peer.Instance)
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
	req := m.core.Ping(peer.Instance)
	m.mu.Unlock()
	sentAt := steady.Now()
	reply, err := fescuepb.NewPeersClient(conn).Ping(ctx, req)
	if err != nil {
		return err
	}
	m.update(func() { m.core.OnPingReply(peer.Instance, reply, sentAt, steady.Now()) })
	return nil
}

// probeRefused finds out whether the address of a member that did not answer
// refuses connections. A connection of its own is tried because the state of
// a pooled one may be old.
func (m *Manager) probeRefused(ctx context.Context, peer *fescuepb.Member) {
	sentAt := steady.Now()
	d := net.Dialer{Timeout: refuseTimeout}
	conn, err := d.DialContext(ctx, "tcp", peer.GrpcAddr)
	if err == nil {
		_ = conn.Close()
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		m.update(func() { m.core.OnRefused(peer.Instance, sentAt) })
	}
}
