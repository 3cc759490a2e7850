package control

import (
	"context"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/version/state"
	"google.golang.org/protobuf/proto"
)

// members serves the Members service.
type members struct {
	fescuepb.UnimplementedMembersServer
	s *Server
}

// Join commits the joining of a member and returns the resulting version.
func (m *members) Join(ctx context.Context, r *fescuepb.JoinRequest) (*fescuepb.JoinReply, error) {
	version, err := m.s.join(ctx, r.Member)
	if err != nil {
		return nil, rpcError(err)
	}
	return &fescuepb.JoinReply{Version: version}, nil
}

// Join commits the joining of a member on behalf of this process, without a gRPC
// call.
func (s *Server) Join(ctx context.Context, member *fescuepb.Member) error {
	_, err := s.join(ctx, member)
	return err
}

func (s *Server) join(ctx context.Context, member *fescuepb.Member) (uint64, error) {
	if err := state.CheckMember(member); err != nil {
		return 0, err
	}
	res, err := s.commit(ctx, &fescuepb.Command{Body: &fescuepb.Command_Join{Join: &fescuepb.JoinRequest{Member: member}}})
	if err != nil {
		return 0, err
	}
	s.cfg.Logger.WithFields(map[string]any{
		"member": member.Instance, "incarnation": member.Incarnation,
		"data_centre": member.DataCentre, "version": res.Version,
	}).Info("member joined")
	return res.Version, nil
}

// Leave commits that a member is leaving or permanently gone.
func (m *members) Leave(ctx context.Context, r *fescuepb.LeaveRequest) (*fescuepb.LeaveReply, error) {
	res, err := m.s.commit(ctx, &fescuepb.Command{Body: &fescuepb.Command_Leave{Leave: r}})
	if err != nil {
		return nil, rpcError(err)
	}
	m.s.cfg.Logger.WithFields(map[string]any{
		"member": r.Instance, "incarnation": r.Incarnation, "gone": r.Gone, "version": res.Version,
	}).Info("member left")
	return &fescuepb.LeaveReply{Version: res.Version}, nil
}

// RemoveMember commits that a member's process and instance are permanently gone.
func (s *Server) RemoveMember(ctx context.Context, instance string, incarnation uint64) error {
	leave := &fescuepb.LeaveRequest{Instance: instance, Incarnation: incarnation, Gone: true}
	_, err := s.commit(ctx, &fescuepb.Command{Body: &fescuepb.Command_Leave{Leave: leave}})
	return err
}

// Session commits that a member's watch was opened or lost.
func (m *members) Session(ctx context.Context, c *fescuepb.SessionChange) (*fescuepb.SessionReply, error) {
	if err := m.s.RecordSession(ctx, c); err != nil {
		return nil, rpcError(err)
	}
	return &fescuepb.SessionReply{Version: m.s.cfg.Machine.Version()}, nil
}

// RecordSession commits that a member's watch was opened or lost.
func (s *Server) RecordSession(ctx context.Context, c *fescuepb.SessionChange) error {
	_, err := s.commit(ctx, &fescuepb.Command{Body: &fescuepb.Command_Session{Session: c}})
	return err
}

// RecordTargets commits a change of the list of targets.
func (s *Server) RecordTargets(ctx context.Context, c *fescuepb.TargetsChange) error {
	_, err := s.commit(ctx, &fescuepb.Command{Body: &fescuepb.Command_Targets{Targets: c}})
	return err
}

// Suspects commits evidence about requests that may crash targets.
func (m *members) Suspects(ctx context.Context, c *fescuepb.SuspectsChange) (*fescuepb.SuspectsReply, error) {
	if err := state.CheckSuspects(c); err != nil {
		return nil, rpcError(err)
	}
	if err := m.s.RecordSuspects(ctx, c); err != nil {
		return nil, rpcError(err)
	}
	return &fescuepb.SuspectsReply{Version: m.s.cfg.Machine.Version()}, nil
}

// RecordSuspects commits evidence about requests that may crash targets.
func (s *Server) RecordSuspects(ctx context.Context, c *fescuepb.SuspectsChange) error {
	_, err := s.commit(ctx, &fescuepb.Command{Body: &fescuepb.Command_Suspects{Suspects: c}})
	return err
}

// ClaimGroup commits the claim of an instance to dispatch a group. The reply tells
// whether the claim was accepted.
func (m *members) ClaimGroup(ctx context.Context, c *fescuepb.GroupClaim) (*fescuepb.ClaimReply, error) {
	if err := state.CheckClaim(c); err != nil {
		return nil, rpcError(err)
	}
	res, err := m.s.commit(ctx, &fescuepb.Command{Body: &fescuepb.Command_Claim{Claim: c}})
	if err != nil {
		return nil, rpcError(err)
	}
	m.s.cfg.Logger.WithFields(map[string]any{
		"service": c.Group.Service, "data_centre": c.Group.DataCentre, "epoch": c.Epoch, "home": c.Home,
		"accepted": res.Claim.Accepted, "previous_home": res.Claim.GetPrevious().GetHome(),
	}).Info("group claimed")
	return res.Claim, nil
}

// commit proposes cmd and returns its result once it is applied.
func (s *Server) commit(ctx context.Context, cmd *fescuepb.Command) (*fescuepb.CommandResult, error) {
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "encode the command")
	}
	return s.propose(ctx, data)
}
