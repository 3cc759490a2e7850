package control

import (
	"context"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// Log is the replicated log to which the server proposes commands. Package replica
// implements it.
type Log interface {
	// Propose replicates a command. Once a majority has synced it to disk and it
	// is applied locally, Propose returns the result of the state machine and
	// the index of the command.
	Propose(ctx context.Context, data []byte) (result []byte, index uint64, err error)
	// Read returns an index that a quorum confirmed after the call began. The
	// state of at least that index includes every write accepted before the call.
	Read(ctx context.Context) (uint64, error)
	// Counter returns the latest freshness counter that a quorum confirmed, as
	// far as this replica knows. It never decreases, not even when the leader
	// changes, and every command accepted before it reached its value is applied
	// locally.
	Counter() uint64
	// Applied returns the index of the last command applied locally.
	Applied() uint64
	// IsLeader reports whether this replica considers itself the leader.
	IsLeader() bool
	// LeaderAddr returns the address of the leader, or "" if none is known.
	LeaderAddr() string
	// Changed returns a channel that is closed when the counter or the applied
	// index advances.
	Changed() <-chan struct{}
}

// waitConfirmed waits until everything that was accepted before the call is applied
// locally, as confirmed by a quorum. The error has kind NotReady.
func (s *Server) waitConfirmed(ctx context.Context) error {
	var index uint64
	err := retry(ctx, func(ctx context.Context) (err error) {
		index, err = s.cfg.Log.Read(ctx)
		return err
	})
	if err != nil {
		return errkind.New(errkind.NotReady, "no quorum confirmed the state; nothing was changed: %s", err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		changed := s.cfg.Log.Changed()
		if s.cfg.Log.Applied() >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errkind.New(errkind.NotReady, "the replica did not apply the confirmed state in time; nothing was changed")
		}
	}
}
