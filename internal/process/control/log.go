package control

import (
	"context"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// Log is the replicated log that the server proposes commands to; package
// replica provides it.
type Log interface {
	// Propose returns the result of the state machine and the index of the
	// command once a majority has synced it and it is applied locally.
	Propose(ctx context.Context, data []byte) (result []byte, index uint64, err error)
	// Read returns an index, confirmed by a quorum after the call began,
	// that a read must have applied.
	Read(ctx context.Context) (uint64, error)
	// Counter returns the last quorum-confirmed freshness counter known
	// here. It never goes down, also not when the leader changes, and every
	// command accepted before it took its value is applied here.
	Counter() uint64
	// Applied returns the index of the last command applied here.
	Applied() uint64
	IsLeader() bool
	LeaderAddr() string
	// Changed returns a channel that is closed when the counter or the
	// applied index advances.
	Changed() <-chan struct{}
}

// confirm waits until everything accepted before the call is applied here.
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
			return errkind.New(errkind.NotReady, "the replica did not catch up in time; nothing was changed")
		}
	}
}
