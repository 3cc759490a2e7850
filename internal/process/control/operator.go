package control

import (
	"context"
	"slices"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/version/state"
)

// operator serves the Operator service.
type operator struct {
	fescuepb.UnimplementedOperatorServer
	s *Server
}

// Apply changes the section of the calling team. A failed compare-and-set of the
// revision and failed validation are reported in the reply, not as an error.
func (o *operator) Apply(ctx context.Context, r *fescuepb.ApplyRequest) (*fescuepb.ApplyReply, error) {
	author, err := o.s.authorizeEdit(ctx, r.Team)
	if err != nil {
		return nil, rpcError(err)
	}
	reply, err := o.s.changeSection(ctx, r, author)
	if err != nil {
		return nil, rpcError(err)
	}
	o.s.logChange(r, author, reply)
	return reply, nil
}

// changeSection checks a request against the confirmed state and proposes it. The
// check avoids log entries for most requests that would be refused; the state
// machine checks the request again when it applies it.
func (s *Server) changeSection(ctx context.Context, r *fescuepb.ApplyRequest, author string) (*fescuepb.ApplyReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.waitConfirmed(ctx); err != nil {
		return nil, err
	}
	return s.changeSectionConfirmed(ctx, r, author)
}

// changeSectionConfirmed is changeSection for callers that have just confirmed the
// state.
func (s *Server) changeSectionConfirmed(ctx context.Context, r *fescuepb.ApplyRequest, author string) (*fescuepb.ApplyReply, error) {
	if reply, err := s.cfg.Machine.Check(r); reply != nil || err != nil {
		return reply, err
	}
	data, err := state.EncodeChange(r, author, time.Now().UnixMilli())
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "encode the change")
	}
	res, err := s.propose(ctx, data)
	if err != nil {
		return nil, err
	}
	return res.Apply, nil
}

func (s *Server) logChange(r *fescuepb.ApplyRequest, author string, reply *fescuepb.ApplyReply) {
	s.cfg.Logger.WithFields(map[string]any{
		"team": r.Team, "author": author, "change_id": r.ChangeId, "expected_revision": r.ExpectedRevision,
		"revision": reply.Revision, "version": reply.Version, "repeated": reply.RepeatedChange,
		"conflict": reply.Conflict != nil, "problems": len(reply.Problems),
	}).Info("change decided")
}

// Validate checks the whole document as it would be with a proposed section,
// without changing it.
func (o *operator) Validate(ctx context.Context, r *fescuepb.ValidateRequest) (*fescuepb.ValidateReply, error) {
	if _, err := o.s.cfg.Auth.Team(ctx); err != nil {
		return nil, rpcError(err)
	}
	if err := o.s.waitConfirmed(ctx); err != nil {
		return nil, rpcError(err)
	}
	return &fescuepb.ValidateReply{Problems: o.s.cfg.Machine.Validate(r.Team, r.Yaml)}, nil
}

// Get returns the section of a team, or all sections if no team is given, as
// confirmed by a quorum.
func (o *operator) Get(ctx context.Context, r *fescuepb.GetRequest) (*fescuepb.GetReply, error) {
	if _, err := o.s.cfg.Auth.Team(ctx); err != nil {
		return nil, rpcError(err)
	}
	if err := o.s.waitConfirmed(ctx); err != nil {
		return nil, rpcError(err)
	}
	version, sections := o.s.cfg.Machine.Sections(r.Team)
	if r.Team != "" && len(sections) == 0 {
		return nil, rpcError(errkind.New(errkind.NotFound, "team %q has no section", r.Team))
	}
	return &fescuepb.GetReply{Version: version, Sections: sections}, nil
}

// Release ends the suspicion and the quarantine of a request. The error has kind
// NotFound if it is no suspect.
func (o *operator) Release(ctx context.Context, r *fescuepb.ReleaseRequest) (*fescuepb.ReleaseReply, error) {
	if err := o.s.requirePlatformTeam(ctx); err != nil {
		return nil, rpcError(err)
	}
	if err := o.s.waitConfirmed(ctx); err != nil {
		return nil, rpcError(err)
	}
	isIt := func(s *fescuepb.Suspect) bool { return s.Id == r.Suspect }
	if !slices.ContainsFunc(o.s.cfg.Machine.Suspects(), isIt) {
		return nil, rpcError(errkind.New(errkind.NotFound, "%q is not the fingerprint of a suspect request", r.Suspect))
	}
	if err := o.s.RecordSuspects(ctx, &fescuepb.SuspectsChange{Cleared: []string{r.Suspect}}); err != nil {
		return nil, rpcError(err)
	}
	o.s.cfg.Logger.WithField("fingerprint", r.Suspect).Info("suspect request released by an operator")
	return &fescuepb.ReleaseReply{Version: o.s.cfg.Machine.Version()}, nil
}

// History returns the latest revisions of a section, newest first.
func (o *operator) History(ctx context.Context, r *fescuepb.HistoryRequest) (*fescuepb.HistoryReply, error) {
	if _, err := o.s.cfg.Auth.Team(ctx); err != nil {
		return nil, rpcError(err)
	}
	if err := o.s.waitConfirmed(ctx); err != nil {
		return nil, rpcError(err)
	}
	return &fescuepb.HistoryReply{Revisions: o.s.cfg.Machine.History(r.Team, int(r.Limit))}, nil
}
