package control

import (
	"context"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// InitialSection is a section of the steering document to load into an empty
// state.
type InitialSection struct {
	Team string
	YAML []byte
}

// LoadInitial creates the sections in order, unless a change other than an initial
// load has been accepted. All initial sections have the same change identifier, so
// that replicas that load them at the same time create each section only once. If a
// section is invalid, the error has kind InvalidDocument.
func (s *Server) LoadInitial(ctx context.Context, sections []InitialSection) error {
	if err := s.waitConfirmed(ctx); err != nil {
		return err
	}
	if s.cfg.Machine.HasOtherChanges(initialChangeID) {
		return nil
	}
	for _, sec := range sections {
		reply, err := s.changeSection(ctx, &fescuepb.ApplyRequest{
			Team: sec.Team, Yaml: sec.YAML, ChangeId: initialChangeID,
		}, sec.Team)
		if errkind.Of(err) == errkind.KeyReused {
			continue // already loaded, from a file that has changed since
		}
		if err != nil {
			return err
		}
		if len(reply.Problems) > 0 {
			p := reply.Problems[0]
			return errkind.New(errkind.InvalidDocument, "initial section of team %q, line %d: %s: %s", sec.Team, p.Line, p.Field, p.Message)
		}
	}
	return nil
}

// CreateSection creates a section unless it exists or has existed. If it is
// invalid, the error has kind InvalidDocument.
func (s *Server) CreateSection(ctx context.Context, team string, yaml []byte) error {
	if err := s.waitConfirmed(ctx); err != nil {
		return err
	}
	if revision, _ := s.cfg.Machine.ParsedSection(team); revision > 0 {
		return nil
	}
	reply, err := s.changeSectionConfirmed(ctx, &fescuepb.ApplyRequest{Team: team, Yaml: yaml, ChangeId: initialChangeID}, team)
	if errkind.Of(err) == errkind.KeyReused {
		return nil // another replica has created it with different settings
	}
	if err != nil {
		return err
	}
	if len(reply.Problems) > 0 {
		p := reply.Problems[0]
		return errkind.New(errkind.InvalidDocument, "section of team %q, line %d: %s: %s", team, p.Line, p.Field, p.Message)
	}
	return nil
}

// initialChangeID is the change identifier of all sections loaded from settings.
const initialChangeID = "initial-document"
