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

// steeringTimeout bounds a change or read made through Steering. A caller
// that has waited for a second asks another instance, and a change that is
// tried again later could undo what was accepted there meanwhile.
const steeringTimeout = 900 * time.Millisecond

// Steering changes sections for programs that run a control replica with an
// interface of their own. Its methods are safe for concurrent use.
type Steering struct{ s *Server }

// Steering returns the changes and reads for other interfaces.
func (s *Server) Steering() Steering { return Steering{s} }

// SerialChange is a change of a section that builds on a serial.
type SerialChange struct {
	Team   string
	Author string
	Base   uint64 // serial that the change builds on; 0 if there is no section yet
	// Order identifies the order of the operator: the same order that is sent
	// again has the same value, any other order a different one.
	RequestID string
	// Build returns the section that replaces cur, which is nil if there is none
	// and must not be changed. An error refuses the change.
	Build func(cur *document.Section) (*document.Section, error)
}

// Section returns the section of a team as confirmed by a quorum, or nil. It
// must not be changed. The error has kind NotReady if nothing was confirmed.
func (st Steering) Section(ctx context.Context, team string) (*document.Section, error) {
	ctx, cancel := context.WithTimeout(ctx, steeringTimeout)
	defer cancel()
	if err := st.s.waitConfirmed(ctx); err != nil {
		return nil, err
	}
	_, sec := st.s.cfg.Machine.Parsed(team)
	return sec, nil
}

// Change replaces a section. An order that was accepted before succeeds again.
// The error kinds are Conflict if the section has another serial than the
// base, InvalidDocument if it would not be valid, and NotReady or another kind
// if the outcome is not known.
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

// tryChange decides on the confirmed section and proposes the change. It is
// not done if another change of the section came first.
func (st Steering) tryChange(ctx context.Context, c SerialChange) (done bool, err error) {
	if err := st.s.waitConfirmed(ctx); err != nil {
		return false, err
	}
	if revision, _ := st.s.cfg.Machine.Parsed(document.PlatformTeam); revision == 0 && st.s.cfg.RequirePlatformSection {
		return false, errkind.New(errkind.NotReady, "the section of team %q does not exist yet", document.PlatformTeam)
	}
	if st.s.cfg.Machine.Accepted(c.Team, func(changeID string) bool { return requestIDOf(changeID) == c.RequestID }) {
		st.log(c, "accepted before", 0)
		return true, nil
	}
	revision, current := st.s.cfg.Machine.Parsed(c.Team)
	if serialOf(current) != c.Base {
		st.log(c, "conflict", revision)
		return false, errkind.New(errkind.Conflict, "the section of team %q has serial %d, the change builds on %d", c.Team, serialOf(current), c.Base)
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

func (st Steering) propose(ctx context.Context, team, author, changeID string, revision uint64, next *document.Section) (*fescuepb.ApplyReply, error) {
	yaml, err := document.Encode(next)
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

// A change identifier joins an order with the revision that it was decided
// on: an order that was refused on one revision may be accepted on another.
func changeIDFor(requestID string, revision uint64) string {
	return fmt.Sprintf("%s@%d", requestID, revision)
}

func requestIDOf(changeID string) string {
	for i := len(changeID) - 1; i >= 0; i-- {
		if changeID[i] == '@' {
			return changeID[:i]
		}
	}
	return changeID
}

func serialOf(s *document.Section) uint64 {
	if s == nil {
		return 0
	}
	return s.Serial
}

// Drain takes a data centre out of service for new requests, or puts it back.
// Repeating it changes nothing. The error kinds are those of Change.
func (st Steering) Drain(ctx context.Context, dc, author string, drained bool) error {
	ctx, cancel := context.WithTimeout(ctx, steeringTimeout)
	defer cancel()
	for {
		done, err := st.tryDrain(ctx, dc, author, drained)
		if !done && err == nil {
			continue // another change came first
		}
		entry := st.s.cfg.Logger.WithFields(map[string]any{"dc": dc, "drained": drained, "author": author, "version": st.s.cfg.Machine.Version()})
		if err != nil {
			entry = entry.WithError(err)
		}
		entry.WithField("accepted", err == nil).Info("drain of a data centre decided")
		return err
	}
}

func (st Steering) tryDrain(ctx context.Context, dc, author string, drained bool) (done bool, err error) {
	if err := st.s.waitConfirmed(ctx); err != nil {
		return false, err
	}
	revision, current := st.s.cfg.Machine.Parsed(document.PlatformTeam)
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
