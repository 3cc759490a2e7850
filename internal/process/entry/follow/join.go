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
	callTimeout = 2 * time.Second // of one call to one instance
	// rejoinInterval is the shortest interval between two checks that the
	// follower is a member; the longest is twice that.
	rejoinInterval = 3 * time.Second
)

// maintainMembership joins, and joins again whenever the view does not contain
// this incarnation. It returns an error of kind Conflict if the incarnation has
// already left, and nil when ctx ends.
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
			f.cfg.Log.WithError(err).Warn("joining failed; will be retried")
			wait = randomBetween(maxRetryDelay/2, maxRetryDelay)
		}
	}
}

// isMember reports whether the view contains this incarnation. It is also true
// once Leave was called, since the instance must not join again then.
func (f *Follower) isMember() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving || f.received.View.Members[f.cfg.Self.Instance].GetIncarnation() == f.cfg.Self.Incarnation
}

// join registers this instance as a member.
func (f *Follower) join(ctx context.Context) error {
	return f.callMembers(ctx, membershipSources, func(ctx context.Context, c fescuepb.MembersClient) error {
		_, err := c.Join(ctx, &fescuepb.JoinRequest{Member: f.cfg.Self})
		return err
	})
}

// Leave tells control that the instance is leaving and takes no new requests or,
// if gone is set, that the process is about to exit.
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

// membershipSources is the order in which the kinds of sources are asked to join
// or leave. An entry that cannot reach control may reach another entry that can.
var membershipSources = []sourceKind{fromControl, fromRelay, fromPeer}

// callMembers calls the sources of the kinds in turn until a call succeeds. An
// error with code Aborted, InvalidArgument or NotFound is a refusal by the
// replicated state and is returned without asking further sources.
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

// filterKinds returns the sources that have one of the kinds, in the order of
// kinds.
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

// reportSession reports to control a session that this instance, as a relay, has
// opened or lost.
func (f *Follower) reportSession(ctx context.Context, c *fescuepb.SessionChange) error {
	return f.callMembers(ctx, []sourceKind{fromControl}, func(ctx context.Context, m fescuepb.MembersClient) error {
		_, err := m.Session(ctx, c)
		return err
	})
}

// ReportSuspects reports evidence about requests that may crash targets to control.
func (f *Follower) ReportSuspects(ctx context.Context, c *fescuepb.SuspectsChange) error {
	return f.callMembers(ctx, []sourceKind{fromControl}, func(ctx context.Context, m fescuepb.MembersClient) error {
		_, err := m.Suspects(ctx, c)
		return err
	})
}

// callSource makes one call to the Members service at an address, within
// callTimeout.
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
