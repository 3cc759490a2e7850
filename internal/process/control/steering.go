package control

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
	"github.com/oklog/ulid/v2"
)

// steeringTimeout bounds a change or read made through Steering. Callers send the
// request to another instance after waiting for a second. A change that was still
// retried after that could undo what the other instance accepted in the meantime.
const steeringTimeout = 900 * time.Millisecond

// Steering reads and changes sections for programs that embed a control replica and
// give it an API of their own. Its methods are safe for concurrent use.
type Steering struct{ s *Server }

// Steering returns the interface for programs that embed the server.
func (s *Server) Steering() Steering { return Steering{s} }

// SerialChange is a change of a section that is based on a serial of that section.
type SerialChange struct {
	Team   string
	Author string
	Base   uint64 // serial that the change is based on; 0 if there is no section yet
	// RequestID identifies the operator's request. A request that is sent again
	// has the same value, any other request a different one.
	RequestID string
	// Build returns the section that replaces cur. cur is nil if there is no
	// section, and must not be modified. If Build fails, the change is refused
	// with its error.
	Build func(cur *document.Section) (*document.Section, error)
}

// Section returns the section of a team as confirmed by a quorum, or nil if there
// is none. It must not be modified. The error has kind NotReady if no quorum
// confirmed the state in time.
func (st Steering) Section(ctx context.Context, team string) (*document.Section, error) {
	ctx, cancel := context.WithTimeout(ctx, steeringTimeout)
	defer cancel()
	if err := st.s.waitConfirmed(ctx); err != nil {
		return nil, err
	}
	_, sec := st.s.cfg.Machine.ParsedSection(team)
	return sec, nil
}

// Change replaces a section. A request that was accepted before succeeds without
// changing anything. The error has kind Conflict if the serial of the section
// differs from the base, InvalidDocument if the new section is invalid, and
// NotReady or another kind if the outcome is unknown.
func (st Steering) Change(ctx context.Context, c SerialChange) error {
	ctx, cancel := context.WithTimeout(ctx, steeringTimeout)
	defer cancel()
	for {
		done, err := st.tryChange(ctx, c)
		if done || err != nil {
			return err
		}
	}
}

// tryChange checks the change against the confirmed section and proposes it. done is
// false if another change of the section was accepted in between.
func (st Steering) tryChange(ctx context.Context, c SerialChange) (done bool, err error) {
	if err := st.s.waitConfirmed(ctx); err != nil {
		return false, err
	}
	if revision, _ := st.s.cfg.Machine.ParsedSection(document.PlatformTeam); revision == 0 && st.s.cfg.RequirePlatformSection {
		return false, errkind.New(errkind.NotReady, "the section of team %q does not exist yet", document.PlatformTeam)
	}
	if st.s.cfg.Machine.HasAcceptedChange(c.Team, func(changeID string) bool { return requestIDOf(changeID) == c.RequestID }) {
		st.log(c, "accepted before", 0)
		return true, nil
	}
	revision, current := st.s.cfg.Machine.ParsedSection(c.Team)
	if serialOf(current) != c.Base {
		st.log(c, "conflict", revision)
		return false, errkind.New(errkind.Conflict, "the section of team %q has serial %d, but the change is based on %d", c.Team, serialOf(current), c.Base)
	}
	next, err := c.Build(current)
	if err != nil {
		return false, err
	}
	reply, err := st.propose(ctx, c.Team, c.Author, changeIDFor(c.RequestID, revision), revision, next)
	if err != nil {
		return false, err
	}
	if len(reply.Problems) > 0 {
		p := reply.Problems[0]
		st.log(c, "invalid", revision)
		return false, errkind.New(errkind.InvalidDocument, "%s: %s", p.Field, p.Message)
	}
	return reply.Conflict == nil, nil
}

// propose proposes next as the section of a team, on condition that its revision is
// still the given one.
func (st Steering) propose(ctx context.Context, team, author, changeID string, revision uint64, next *document.Section) (*fescuepb.ApplyReply, error) {
	yaml, err := st.s.cfg.Machine.EncodeSection(next)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "encode the section")
	}
	r := &fescuepb.ApplyRequest{Team: team, Yaml: yaml, ExpectedRevision: revision, ChangeId: changeID}
	reply, err := st.s.changeSectionConfirmed(ctx, r, author)
	if err != nil {
		return nil, err
	}
	st.s.logChange(r, author, reply)
	return reply, nil
}

func (st Steering) log(c SerialChange, outcome string, revision uint64) {
	st.s.cfg.Logger.WithFields(map[string]any{
		"team": c.Team, "order": c.RequestID, "base": c.Base, "revision": revision, "outcome": outcome,
	}).Info("order decided")
}

// changeIDFor returns the change identifier of a request. It includes the revision
// that the change was checked against, because a request that was refused for one
// revision may be accepted for another.
func changeIDFor(requestID string, revision uint64) string {
	return fmt.Sprintf("%s@%d", requestID, revision)
}

// requestIDOf returns the request in a change identifier made by changeIDFor.
func requestIDOf(changeID string) string {
	for i := len(changeID) - 1; i >= 0; i-- {
		if changeID[i] == '@' {
			return changeID[:i]
		}
	}
	return changeID
}

// serialOf returns the serial of a section, or 0 if there is none.
func serialOf(s *document.Section) uint64 {
	if s == nil {
		return 0
	}
	return s.Serial
}

// Drain takes a data centre out of service for new requests, or puts it back into
// service. Repeating it changes nothing. The error kinds are those of Change.
func (st Steering) Drain(ctx context.Context, dc, author string, drained bool) error {
	ctx, cancel := context.WithTimeout(ctx, steeringTimeout)
	defer cancel()
	for {
		done, err := st.tryDrain(ctx, dc, author, drained)
		if !done && err == nil {
			continue // another change was accepted in between
		}
		entry := st.s.cfg.Logger.WithFields(map[string]any{"dc": dc, "drained": drained, "author": author, "version": st.s.cfg.Machine.Version()})
		if err != nil {
			entry = entry.WithError(err)
		}
		entry.WithField("accepted", err == nil).Info("drain of a data centre decided")
		return err
	}
}

// tryDrain proposes the drain or its end. done is false if another change of the
// section was accepted in between.
func (st Steering) tryDrain(ctx context.Context, dc, author string, drained bool) (done bool, err error) {
	if err := st.s.waitConfirmed(ctx); err != nil {
		return false, err
	}
	revision, current := st.s.cfg.Machine.ParsedSection(document.PlatformTeam)
	if current == nil {
		return false, errkind.New(errkind.NotReady, "the section of team %q does not exist yet", document.PlatformTeam)
	}
	drain := document.Drain{DataCentre: dc}
	if slices.Contains(current.Drains, drain) == drained {
		return true, nil
	}
	next := *current
	next.Drains = slices.DeleteFunc(slices.Clone(current.Drains), func(d document.Drain) bool { return d == drain })
	if drained {
		next.Drains = append(next.Drains, drain)
	}
	reply, err := st.propose(ctx, document.PlatformTeam, author, ulid.Make().String(), revision, &next)
	if err != nil {
		return false, err
	}
	if len(reply.Problems) > 0 {
		return false, errkind.New(errkind.InvalidDocument, "%s: %s", reply.Problems[0].Field, reply.Problems[0].Message)
	}
	return reply.Conflict == nil, nil
}
