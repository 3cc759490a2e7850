package control

import (
	"context"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/version/state"
	"google.golang.org/protobuf/proto"
)

type members struct {
	fescuepb.UnimplementedMembersServer
	s *Server
}

// Join commits a member.
func (m *members) Join(ctx context.Context, r *fescuepb.JoinRequest) (*fescuepb.JoinReply, error) {
	if err := state.CheckMember(r.Member); err != nil {
		return nil, rpcError(err)
	}
	res, err := m.commit(ctx, &fescuepb.Command{Body: &fescuepb.Command_Join{Join: r}})
	if err != nil {
		return nil, rpcError(err)
	}
	m.s.cfg.Logger.WithFields(map[string]any{
		"member": r.Member.Instance, "incarnation": r.Member.Incarnation,
		"data_centre": r.Member.DataCentre, "version": res.Version,
	}).Info("member joined")
	return &fescuepb.JoinReply{Version: res.Version}, nil
}

// Leave commits that a member is leaving or gone.
func (m *members) Leave(ctx context.Context, r *fescuepb.LeaveRequest) (*fescuepb.LeaveReply, error) {
	res, err := m.commit(ctx, &fescuepb.Command{Body: &fescuepb.Command_Leave{Leave: r}})
	if err != nil {
		return nil, rpcError(err)
	}
	m.s.cfg.Logger.WithFields(map[string]any{
		"member": r.Instance, "incarnation": r.Incarnation, "gone": r.Gone, "version": res.Version,
	}).Info("member left")
	return &fescuepb.LeaveReply{Version: res.Version}, nil
}

func (m *members) commit(ctx context.Context, cmd *fescuepb.Command) (*fescuepb.CommandResult, error) {
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "encode the command")
	}
	return m.s.propose(ctx, data)
}
