package follow

import (
	"context"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	callTimeout = 2 * time.Second // of one Join or Leave at one replica
	// rejoinInterval is how often a follower checks that it is a member.
	rejoinInterval = 3 * time.Second
)

// keepJoined joins, and joins again if the confirmed members lack this
// instance. It fails if the incarnation has already left.
func (f *Follower) maintainMembership(ctx context.Context) error {
	wait := time.Duration(0)
	for {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil
		}
		wait = randomBetween(rejoinInterval, 2*rejoinInterval)
		if f.isMember() {
			continue
		}
		err := f.join(ctx)
		switch {
		case err == nil:
			f.cfg.Log.Info("joined")
		case status.Code(err) == codes.Aborted:
			return errkind.Wrap(errkind.Conflict, err, "join")
		case ctx.Err() == nil:
			f.cfg.Log.WithError(err).Warn("could not join")
			wait = randomBetween(maxRetryDelay/2, maxRetryDelay)
		}
	}
}

// isMember reports whether the view has this instance, or it must not join.
func (f *Follower) isMember() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving || f.view.Members[f.cfg.Self.Instance].GetIncarnation() == f.cfg.Self.Incarnation
}

func (f *Follower) join(ctx context.Context) error {
	return f.callMembers(ctx, membershipSources, func(ctx context.Context, c fescuepb.MembersClient) error {
		_, err := c.Join(ctx, &fescuepb.JoinRequest{Member: f.cfg.Self})
		return err
	})
}

// Leave tells control that the instance is leaving (no new requests) or, if
// gone is set, that the process is about to exit.
func (f *Follower) Leave(ctx context.Context, gone bool) error {
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	return f.callMembers(ctx, membershipSources, func(ctx context.Context, c fescuepb.MembersClient) error {
		_, err := c.Leave(ctx, &fescuepb.LeaveRequest{
			Instance: f.cfg.Self.Instance, Incarnation: f.cfg.Self.Incarnation, Gone: gone,
		})
		return err
	})
}

// controlThenRelays is the order in which a join or leave is tried: an entry
// that does not reach control may reach another entry that does.
var membershipSources = []sourceKind{fromControl, fromRelay, fromPeer}

// callMembers calls the sources of the kinds in turn until one answers. A
// refusal by the state machine is final.
func (f *Follower) callMembers(ctx context.Context, kinds []sourceKind, call func(context.Context, fescuepb.MembersClient) error) error {
	err := errkind.New(errkind.NoQuorum, "no control replica is known")
	for _, s := range filterKinds(f.sources(), kinds) {
		if err = f.callSource(ctx, s.addr, call); err == nil {
			return nil
		}
		switch status.Code(err) {
		case codes.Aborted, codes.InvalidArgument, codes.NotFound:
			return err
		}
	}
	return err
}

// ofKinds returns the sources of the kinds, in the order of the kinds.
func filterKinds(list []source, kinds []sourceKind) []source {
	var out []source
	for _, k := range kinds {
		for _, s := range list {
			if s.kind == k {
				out = append(out, s)
			}
		}
	}
	return out
}

// reportSession records a session that this instance serves as a relay.
func (f *Follower) reportSession(ctx context.Context, c *fescuepb.SessionChange) error {
	return f.callMembers(ctx, []sourceKind{fromControl}, func(ctx context.Context, m fescuepb.MembersClient) error {
		_, err := m.Session(ctx, c)
		return err
	})
}

func (f *Follower) callSource(ctx context.Context, addr string, call func(context.Context, fescuepb.MembersClient) error) error {
	conn, err := f.cfg.Dial(addr)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return call(ctx, fescuepb.NewMembersClient(conn))
}
