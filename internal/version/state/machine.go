// Package state implements the replicated state machine of the control plane. It
// is deterministic and does no I/O: replicas that apply the same commands hold
// the same state and return the same results.
package state

import (
	"crypto/sha256"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
	"github.com/fescuejunction/fescuejunction/internal/version/hostroute"
	"github.com/fescuejunction/fescuejunction/internal/version/view"
	"google.golang.org/protobuf/proto"
)

// Bounds of the state and its commands.
const (
	maxHistory  = 100   // revisions kept per section
	maxOutcomes = 16384 // change identifiers kept; two weeks at 1,100 changes a day
	maxDeparted = 16384 // departed instance/incarnation pairs kept; four months at 120 a day
	maxProblems = 50    // problems kept per rejected change
	// MaxSectionBytes bounds the size of one section's YAML.
	MaxSectionBytes = 1 << 20
	// MaxNameBytes bounds a change identifier, team, instance, service, data centre or
	// target ID.
	MaxNameBytes = 128
)

// Machine is the replicated state. Its methods are safe for concurrent use;
// one goroutine calls Apply and Restore.
type Machine struct {
	mu            sync.RWMutex
	view          *view.View
	history       map[string][]*fescuepb.Section // by team, oldest first, with the YAML as the log held it
	outcomes      map[outcomeKey]*fescuepb.ChangeOutcome
	outcomeOrder  []outcomeKey                   // keys of outcomes, oldest first
	departed      map[string]bool                // instance/incarnation pairs that may not join again
	departedOrder []string                       // keys of departed, oldest first
	sources       map[string]*document.Source    // parsed current sections, by team
	claims        map[string]groupClaims         // by groupKey
	checked       atomic.Pointer[checkedSection] // the last one, until the next accepted change; not part of the state
	observer      func(u *fescuepb.Update, restored bool)
}

type outcomeKey struct{ team, changeID string }

// New returns an empty machine at version 0.
func New() *Machine {
	return &Machine{
		view:     view.New(),
		history:  map[string][]*fescuepb.Section{},
		outcomes: map[outcomeKey]*fescuepb.ChangeOutcome{},
		departed: map[string]bool{},
		sources:  map[string]*document.Source{},
		claims:   map[string]groupClaims{},
	}
}

// Observe makes the machine call observer with the full content of each new
// version, in order, before Apply or Restore returns. The argument restored is
// true if the version comes from Restore; versions before it may then not have
// been observed. Call Observe before the first command.
func (m *Machine) Observe(observer func(u *fescuepb.Update, restored bool)) { m.observer = observer }

// notify calls the observer if the version differs from before.
func (m *Machine) notify(before uint64, restored bool) {
	if m.observer != nil && m.Version() != before {
		m.observer(m.full(), restored)
	}
}

// full returns the whole content.
func (m *Machine) full() *fescuepb.Update {
	m.mu.Lock() // the view keeps the order of its routes
	defer m.mu.Unlock()
	return m.view.Full()
}

// Apply executes the command in data, a fescuepb.Command, as log entry index
// and returns an encoded fescuepb.CommandResult.
func (m *Machine) Apply(index uint64, data []byte) []byte {
	before := m.Version()
	result := m.applyWithLock(index, data)
	m.notify(before, false)
	return result
}

// applyWithLock acquires the lock and returns the encoded result of a command.
func (m *Machine) applyWithLock(index uint64, data []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	res := m.apply(index, data)
	res.Version = m.view.Version
	out, err := proto.MarshalOptions{Deterministic: true}.Marshal(res)
	if err != nil {
		return nil // encoding fails only for invalid UTF-8, and a command that has it cannot be decoded
	}
	return out
}

func (m *Machine) apply(index uint64, data []byte) *fescuepb.CommandResult {
	var cmd fescuepb.Command
	if err := proto.Unmarshal(data, &cmd); err != nil {
		return errorResult(errkind.Internal, "the command cannot be decoded")
	}
	switch body := cmd.Body.(type) {
	case *fescuepb.Command_Apply:
		return m.applyChange(index, body.Apply)
	case *fescuepb.Command_Join:
		return m.applyJoin(index, body.Join.GetMember())
	case *fescuepb.Command_Leave:
		return m.applyLeave(index, body.Leave)
	case *fescuepb.Command_BlockTable:
		return m.applyBlockTable(index, body.BlockTable)
	case *fescuepb.Command_Claim:
		return m.applyClaim(body.Claim)
	case *fescuepb.Command_Session:
		return m.applySession(index, body.Session)
	case *fescuepb.Command_Targets:
		return m.applyTargets(index, body.Targets)
	case *fescuepb.Command_Suspects:
		return m.applySuspects(index, body.Suspects)
	}
	return errorResult(errkind.Internal, "the type of the command is unknown")
}

// errorResult returns the result of a command that failed with an error.
func errorResult(kind errkind.Kind, message string) *fescuepb.CommandResult {
	return &fescuepb.CommandResult{ErrorKind: string(kind), Error: message}
}

// applyBlockTable replaces the client-block table.
func (m *Machine) applyBlockTable(index uint64, t *fescuepb.BlockTable) *fescuepb.CommandResult {
	for _, h := range t.ChunkHashes {
		if len(h) != sha256.Size {
			return errorResult(errkind.BadRequest, "a chunk hash has the wrong length")
		}
	}
	t.Version = index
	m.view.SetBlocks(t, index)
	return &fescuepb.CommandResult{}
}

// Version returns the log index of the last command that changed the content.
func (m *Machine) Version() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.view.Version
}

// Blocks returns the current client-block table, or nil if there is none.
func (m *Machine) Blocks() *fescuepb.BlockTable {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.view.Blocks
}

// Since returns the update from version base to the current version.
func (m *Machine) Since(base uint64) *fescuepb.Update {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.view.Since(base)
}

// Page returns a page of the update from a position to the current version, as
// view.View.Page does.
func (m *Machine) Page(p view.Position, maxBytes int) *fescuepb.Update {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.view.Page(p, maxBytes)
}

// Beat returns an update without content, as view.View.Beat does.
func (m *Machine) Beat(p view.Position) *fescuepb.Update {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.view.Beat(p)
}

// Sections returns the current version and its sections, or only the section of
// team if that is not empty. Deleted sections are excluded.
func (m *Machine) Sections(team string) (uint64, []*fescuepb.Section) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if team == "" {
		return m.view.Version, m.view.LiveSections()
	}
	s := m.view.Sections[team]
	if s == nil || s.Deleted {
		return m.view.Version, nil
	}
	return m.view.Version, []*fescuepb.Section{s}
}

// ParsedSection returns the revision of a team's section and its content. The
// content is nil if there is no section, and must not be modified.
func (m *Machine) ParsedSection(team string) (revision uint64, sec *document.Section) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if src := m.sources[team]; src != nil {
		sec = src.Section
	}
	return m.view.Sections[team].GetRevision(), sec
}

// EncodeSection encodes a section that is to replace the one of its team. Of the host
// routes, only those that differ are encoded again.
func (m *Machine) EncodeSection(sec *document.Section) ([]byte, error) {
	m.mu.RLock()
	cur := m.sources[sec.Team]
	m.mu.RUnlock()
	return document.EncodeAfter(cur, sec)
}

// HasAcceptedChange reports whether any stored revision of a section was made by
// a change whose identifier matches.
func (m *Machine) HasAcceptedChange(team string, match func(changeID string) bool) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, s := range m.history[team] {
		if match(s.ChangeId) {
			return true
		}
	}
	return false
}

// Members returns the members, ordered by instance.
func (m *Machine) Members() []*fescuepb.Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.view.MemberList()
}

// History returns the newest revisions of a section, newest first, and at most
// limit of them. A limit of 0 means all stored revisions.
func (m *Machine) History(team string, limit int) []*fescuepb.Section {
	m.mu.RLock()
	defer m.mu.RUnlock()
	list := m.history[team]
	if limit <= 0 || limit > len(list) {
		limit = len(list)
	}
	out := make([]*fescuepb.Section, 0, limit)
	for i := len(list) - 1; len(out) < limit; i-- {
		if yaml, err := unpack(list[i].Yaml); err == nil { // it was read when the revision was accepted
			out = append(out, withYAML(list[i], yaml))
		} else {
			out = append(out, list[i])
		}
	}
	return out
}

// Snapshot returns the encoded state, a fescuepb.StateImage. Equal states
// have equal encodings.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	image := &fescuepb.StateImage{
		Version:       m.view.Version,
		Members:       m.view.MemberList(),
		BlockTable:    m.view.Blocks,
		BlocksChanged: m.view.BlocksChanged,
		DeltaFloor:    m.view.MinDeltaBase,
		Departed:      m.departedOrder,
		Targets:       m.view.TargetList(),
		Suspects:      m.view.SuspectList(),
	}
	for _, team := range sortedKeys(m.view.Sections) {
		image.Sections = append(image.Sections, m.view.Sections[team])
		image.History = append(image.History, m.history[team]...)
	}
	for _, key := range m.outcomeOrder {
		image.Outcomes = append(image.Outcomes, m.outcomes[key])
	}
	for _, group := range sortedKeys(m.claims) {
		image.Claims = append(image.Claims, m.claims[group].claim)
		image.PreviousClaims = append(image.PreviousClaims, m.claims[group].previous)
	}
	image.Removed = encodeRemovals(m.view.RemovedMembers)
	image.RemovedTargets = encodeRemovals(m.view.RemovedTargets)
	image.RemovedSuspects = encodeRemovals(m.view.RemovedSuspects)
	image.Routes, image.RemovedRoutes = m.view.RouteVersions()
	return proto.MarshalOptions{Deterministic: true}.Marshal(image)
}

// encodeRemovals converts removals to messages, ordered by name.
func encodeRemovals(versions map[string]uint64) []*fescuepb.RemovedMember {
	out := make([]*fescuepb.RemovedMember, 0, len(versions))
	for _, name := range sortedKeys(versions) {
		out = append(out, &fescuepb.RemovedMember{Instance: name, Version: versions[name]})
	}
	return out
}

// Restore replaces the state by an encoded one of Snapshot. If it returns an
// error, which is of kind CorruptLog, the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	var image fescuepb.StateImage
	if err := proto.Unmarshal(data, &image); err != nil {
		return errkind.Wrap(errkind.CorruptLog, err, "decode the state snapshot")
	}
	restored := New()
	if err := restored.load(&image); err != nil {
		return err
	}
	before := m.Version()
	m.replace(restored)
	m.notify(before, true)
	return nil
}

// replace takes over the state of a restored machine, but keeps the observer.
func (m *Machine) replace(restored *Machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view, m.history, m.sources = restored.view, restored.history, restored.sources
	m.outcomes, m.outcomeOrder = restored.outcomes, restored.outcomeOrder
	m.departed, m.departedOrder = restored.departed, restored.departedOrder
	m.claims = restored.claims
}

// load fills an empty machine from a decoded state.
func (m *Machine) load(image *fescuepb.StateImage) error {
	versions := map[view.RouteKey]uint64{}
	for _, r := range image.Routes {
		versions[view.RouteKey{Team: r.Team, Name: r.Name}] = r.Version
	}
	for _, r := range image.RemovedRoutes {
		m.view.RemovedRoutes[view.RouteKey{Team: r.Team, Name: r.Name}] = r.Version
	}
	for _, s := range image.Sections {
		if s.Deleted {
			m.view.RestoreSection(s, s, nil, nil)
			continue
		}
		src, problems := document.ParseAfter(nil, s.Team, s.Yaml)
		if len(problems) > 0 {
			return errkind.New(errkind.CorruptLog, "section of team %q in the state snapshot: %s", s.Team, problems[0])
		}
		m.sources[s.Team] = src
		head, routes, err := hostroute.Split(s, src.Section)
		if err != nil {
			return err
		}
		m.view.RestoreSection(s, head, routes, versions)
	}
	for _, s := range image.History {
		m.history[s.Team] = append(m.history[s.Team], s)
	}
	for _, member := range image.Members {
		m.view.Members[member.Instance] = member
	}
	for _, r := range image.Removed {
		m.view.RemovedMembers[r.Instance] = r.Version
	}
	for _, t := range image.Targets {
		m.view.Targets[t.Id] = t
	}
	for _, r := range image.RemovedTargets {
		m.view.RemovedTargets[r.Instance] = r.Version
	}
	for _, s := range image.Suspects {
		m.view.Suspects[s.Id] = s
	}
	for _, r := range image.RemovedSuspects {
		m.view.RemovedSuspects[r.Instance] = r.Version
	}
	for _, o := range image.Outcomes {
		m.recordOutcome(o)
	}
	for _, pair := range image.Departed {
		m.departed[pair] = true
	}
	m.departedOrder = image.Departed
	if err := m.loadClaims(image.Claims, image.PreviousClaims); err != nil {
		return err
	}
	m.view.Version, m.view.MinDeltaBase = image.Version, max(m.view.MinDeltaBase, image.DeltaFloor)
	m.view.Blocks, m.view.BlocksChanged = image.BlockTable, image.BlocksChanged
	return nil
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
