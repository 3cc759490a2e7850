package state

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
	"github.com/fescuejunction/fescuejunction/internal/version/hostroute"
	"google.golang.org/protobuf/proto"
)

// CheckRequest returns an error of kind BadRequest if a change request is
// malformed, which does not depend on the state.
func CheckRequest(r *fescuepb.ApplyRequest) error {
	switch {
	case r.Team == "" || len(r.Team) > MaxNameBytes:
		return errkind.New(errkind.BadRequest, "team: 1 to %d bytes are required", MaxNameBytes)
	case r.ChangeId == "" || len(r.ChangeId) > MaxNameBytes:
		return errkind.New(errkind.BadRequest, "change_id: 1 to %d bytes are required", MaxNameBytes)
	case len(r.Yaml) > MaxSectionBytes:
		return errkind.New(errkind.BadRequest, "yaml: %d bytes exceed the limit of %d", len(r.Yaml), MaxSectionBytes)
	case r.Delete && len(r.Yaml) > 0:
		return errkind.New(errkind.BadRequest, "yaml: must be empty when a section is deleted")
	}
	return nil
}

// changeDigest returns a hash of the content of a change request. It detects a
// change identifier that is reused for another change.
func changeDigest(r *fescuepb.ApplyRequest) uint64 {
	var d xxhash.Digest
	d.Reset()
	header := binary.BigEndian.AppendUint64(nil, r.ExpectedRevision)
	if r.Delete {
		header = append(header, 1)
	}
	_, _ = d.Write(header)
	_, _ = d.Write(r.Yaml)
	return d.Sum64()
}

// Check returns the result that Apply would give for a change, without modifying
// the state: a reply if the change was decided before, conflicts or is invalid,
// and nil if it would be accepted. The errors are of the kinds BadRequest,
// KeyReused and NotFound.
func (m *Machine) Check(r *fescuepb.ApplyRequest) (*fescuepb.ApplyReply, error) {
	if err := CheckRequest(r); err != nil {
		return nil, err
	}
	m.mu.RLock()
	defer m.mu.RUnlock()
	res, known := m.recordedOutcome(r)
	if !known {
		var src *document.Source
		if src, res = m.evaluateChange(r); res == nil && src != nil {
			m.checked.Store(&checkedSection{team: r.Team, yaml: r.Yaml, src: src})
		}
	}
	if res == nil {
		return nil, nil
	}
	return res.Apply, ResultError(res)
}

// checkedSection is a section that Check found valid, with its content.
type checkedSection struct {
	team string
	yaml []byte
	src  *document.Source
}

// parse parses the section in a request. If Check has just parsed it, the result is
// taken from there, which is the same, because it depends on the request alone.
func (m *Machine) parse(r *fescuepb.ApplyRequest) (*document.Source, []document.Problem) {
	if c := m.checked.Load(); c != nil && c.team == r.Team && bytes.Equal(c.yaml, r.Yaml) {
		return c.src, nil
	}
	return document.ParseAfter(m.sources[r.Team], r.Team, r.Yaml)
}

// Validate returns the problems of the whole document with the section of a team
// replaced by yaml.
func (m *Machine) Validate(team string, yaml []byte) []*fescuepb.FieldProblem {
	m.mu.RLock()
	defer m.mu.RUnlock()
	_, problems := m.validate(&fescuepb.ApplyRequest{Team: team, Yaml: yaml})
	return problems
}

// ResultError returns the error in a command's result, or nil if there is none.
func ResultError(res *fescuepb.CommandResult) error {
	if res.GetErrorKind() == "" {
		return nil
	}
	return errkind.New(errkind.Kind(res.ErrorKind), "%s", res.Error)
}

// recordedOutcome returns the first outcome of a change identifier and whether
// the identifier is known. If it was used for another change, the result is an
// error of kind KeyReused.
func (m *Machine) recordedOutcome(r *fescuepb.ApplyRequest) (*fescuepb.CommandResult, bool) {
	outcome := m.outcomes[outcomeKey{r.Team, r.ChangeId}]
	if outcome == nil {
		return nil, false
	}
	if outcome.Digest != changeDigest(r) {
		return errorResult(errkind.KeyReused, fmt.Sprintf("change identifier %q was used for another change of team %q", r.ChangeId, r.Team)), true
	}
	return &fescuepb.CommandResult{Apply: &fescuepb.ApplyReply{
		Revision:       outcome.Revision,
		Version:        outcome.Version,
		RepeatedChange: true,
		Conflict:       outcome.Conflict,
		Problems:       outcome.Problems,
	}}, true
}

// evaluateChange decides on a change whose identifier is not known yet. A nil
// result means that the change can be accepted. The source is nil for a
// deletion.
func (m *Machine) evaluateChange(r *fescuepb.ApplyRequest) (*document.Source, *fescuepb.CommandResult) {
	cur := m.view.Sections[r.Team]
	if cur.GetRevision() != r.ExpectedRevision {
		return nil, m.rejectChange(r, &fescuepb.Conflict{
			Revision: cur.GetRevision(),
			Author:   cur.GetAuthor(),
			ChangeId: cur.GetChangeId(),
		}, nil)
	}
	if r.Delete && (cur == nil || cur.Deleted) {
		return nil, errorResult(errkind.NotFound, fmt.Sprintf("team %q has no section", r.Team))
	}
	src, problems := m.validate(r)
	if p := m.checkSerial(r.Team, src); p != nil {
		problems = append(problems, p)
	}
	if len(problems) > 0 {
		return nil, m.rejectChange(r, nil, problems)
	}
	return src, nil
}

// checkSerial returns a problem unless the change increases the serial of the
// section. The check applies only if the section has a serial before the change.
func (m *Machine) checkSerial(team string, src *document.Source) *fescuepb.FieldProblem {
	cur := m.sources[team]
	if src == nil || cur == nil || cur.Section.Serial == 0 || src.Section.Serial > cur.Section.Serial {
		return nil
	}
	p := src.File.Problem([]any{"serial"}, "%d must be above %d, the serial in force", src.Section.Serial, cur.Section.Serial)
	return pbProblems([]document.Problem{p})[0]
}

// rejectChange returns the result of a change that is not accepted, because of a
// conflict or of problems.
func (m *Machine) rejectChange(r *fescuepb.ApplyRequest, c *fescuepb.Conflict, problems []*fescuepb.FieldProblem) *fescuepb.CommandResult {
	return &fescuepb.CommandResult{Apply: &fescuepb.ApplyReply{
		Revision: m.view.Sections[r.Team].GetRevision(),
		Version:  m.view.Version,
		Conflict: c,
		Problems: problems,
	}}
}

// validate validates the whole document as it would be after the change. The
// source is nil for a deletion and if the section does not parse.
func (m *Machine) validate(r *fescuepb.ApplyRequest) (*document.Source, []*fescuepb.FieldProblem) {
	var src *document.Source
	if !r.Delete {
		var problems []document.Problem
		src, problems = m.parse(r)
		if len(problems) == 0 && src.Section.Team != r.Team {
			problems = append(problems, src.File.Problem([]any{"team"}, "%q is not the team %q that the change is for", src.Section.Team, r.Team))
		}
		if len(problems) > 0 {
			return nil, pbProblems(problems)
		}
	}
	var all []*document.Source
	for _, team := range sortedKeys(m.sources) {
		if team != r.Team {
			all = append(all, m.sources[team])
		}
	}
	if src != nil {
		all = append(all, src)
	}
	return src, pbProblems(document.Validate(all))
}

// pbProblems converts problems to messages and keeps the first maxProblems. The
// messages become part of the replicated state with the outcome of a change, so
// replicas of different software versions hold different states if one of them
// words a problem differently.
func pbProblems(problems []document.Problem) []*fescuepb.FieldProblem {
	var out []*fescuepb.FieldProblem
	for _, p := range problems {
		if len(out) == maxProblems {
			break
		}
		out = append(out, &fescuepb.FieldProblem{File: p.File, Line: int32(p.Line), Field: p.Field, Message: strings.ToValidUTF8(p.Message, "?")})
	}
	return out
}

// applyChange decides on a change. Check has decided on it before it was
// proposed, but other changes may have been accepted since.
func (m *Machine) applyChange(index uint64, c *fescuepb.ApplyCommand) *fescuepb.CommandResult {
	r := c.GetRequest()
	logged := r.Yaml
	yaml, err := unpack(logged)
	if err != nil {
		return errorResult(errkind.BadRequest, err.Error())
	}
	r.Yaml = yaml
	if err := CheckRequest(r); err != nil {
		return errorResult(errkind.BadRequest, err.Error())
	}
	if res, known := m.recordedOutcome(r); known {
		return res
	}
	src, res := m.evaluateChange(r)
	if res == nil {
		res = m.acceptChange(index, c, src, logged)
	}
	if res.Apply != nil {
		m.recordOutcome(&fescuepb.ChangeOutcome{
			Team: r.Team, ChangeId: r.ChangeId, Digest: changeDigest(r),
			Revision: res.Apply.Revision, Version: res.Apply.Version,
			Conflict: res.Apply.Conflict, Problems: res.Apply.Problems,
		})
	}
	return res
}

// acceptChange stores the new revision of a section. Src is nil for a deletion. Logged
// is the YAML as the log holds it, possibly packed.
func (m *Machine) acceptChange(index uint64, c *fescuepb.ApplyCommand, src *document.Source, logged []byte) *fescuepb.CommandResult {
	r := c.Request
	s := &fescuepb.Section{
		Team:           r.Team,
		Revision:       r.ExpectedRevision + 1,
		Yaml:           r.Yaml,
		Author:         c.Author,
		ChangeId:       r.ChangeId,
		AcceptedUnixMs: c.AcceptedUnixMs,
		Deleted:        r.Delete,
		Version:        index,
	}
	if err := m.storeSection(s, src); err != nil {
		return errorResult(errkind.Of(err), err.Error())
	}
	m.history[r.Team] = append(m.history[r.Team], withYAML(s, logged))
	if list := m.history[r.Team]; len(list) > maxHistory {
		m.history[r.Team] = append([]*fescuepb.Section(nil), list[len(list)-maxHistory:]...)
	}
	if r.Delete {
		delete(m.sources, r.Team)
	} else {
		m.sources[r.Team] = src
	}
	m.checked.Store(nil)
	return &fescuepb.CommandResult{Apply: &fescuepb.ApplyReply{Revision: s.Revision, Version: index}}
}

// withYAML returns a copy of a section with other YAML.
func withYAML(s *fescuepb.Section, yaml []byte) *fescuepb.Section {
	return &fescuepb.Section{
		Team: s.Team, Revision: s.Revision, Yaml: yaml, Author: s.Author, ChangeId: s.ChangeId,
		AcceptedUnixMs: s.AcceptedUnixMs, Deleted: s.Deleted, Version: s.Version,
	}
}

// storeSection stores a new revision of a section. Src is nil for a deletion.
func (m *Machine) storeSection(s *fescuepb.Section, src *document.Source) error {
	if src == nil {
		m.view.SetSection(s)
		return nil
	}
	head, routes, err := hostroute.Split(s, src.Section)
	switch {
	case err != nil:
		return err
	case head.RoutesApart:
		m.view.SetSectionWithRoutes(s, head, routes)
	default:
		m.view.SetSection(s)
	}
	return nil
}

// recordOutcome records the first outcome of a change identifier and deletes the
// oldest outcome beyond maxOutcomes.
func (m *Machine) recordOutcome(outcome *fescuepb.ChangeOutcome) {
	key := outcomeKey{outcome.Team, outcome.ChangeId}
	m.outcomes[key] = outcome
	m.outcomeOrder = append(m.outcomeOrder, key)
	if len(m.outcomeOrder) > maxOutcomes {
		delete(m.outcomes, m.outcomeOrder[0])
		m.outcomeOrder = m.outcomeOrder[1:]
	}
}

// EncodeChange returns the encoded command for a change request that Check accepts.
func EncodeChange(r *fescuepb.ApplyRequest, author string, acceptedUnixMs int64) ([]byte, error) {
	yaml, err := pack(r.Yaml)
	if err != nil {
		return nil, err
	}
	r = &fescuepb.ApplyRequest{Team: r.Team, Yaml: yaml, ExpectedRevision: r.ExpectedRevision, ChangeId: r.ChangeId, Delete: r.Delete}
	return proto.Marshal(&fescuepb.Command{Body: &fescuepb.Command_Apply{Apply: &fescuepb.ApplyCommand{
		Request: r, Author: author, AcceptedUnixMs: acceptedUnixMs,
	}}})
}

// HasOtherChanges reports whether the current revision of any section, deleted
// ones included, was made by a change with another identifier than except.
func (m *Machine) HasOtherChanges(except string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, s := range m.view.Sections {
		if s.ChangeId != except {
			return true
		}
	}
	return false
}
