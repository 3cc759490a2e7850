// Package view holds the replicated content that followers see (sections,
// members, targets, suspects, block table) at one version, and advances it to later
// versions by updates. Control replicas and relays use the same type, so a relay
// can produce deltas as well.
package view

import (
	"maps"
	"sort"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// maxRemovals bounds the recorded removals, of members, targets and suspects each, that
// a delta can be made from. With 120 replaced instances a day it covers a month.
// A follower that is further behind gets a full update.
const maxRemovals = 4096

// View is the content at one version. Its messages are shared with updates and
// are never modified in place. A View is not safe for concurrent use.
type View struct {
	Version         uint64
	Sections        map[string]*fescuepb.Section // by team, including deleted sections
	Members         map[string]*fescuepb.Member  // by instance
	Blocks          *fescuepb.BlockTable
	BlocksChanged   uint64                       // version that last changed Blocks
	RemovedMembers  map[string]uint64            // instance to the version that removed it
	Targets         map[string]*fescuepb.Target  // by target ID
	RemovedTargets  map[string]uint64            // target ID to the version that removed it
	Suspects        map[string]*fescuepb.Suspect // by fingerprint
	RemovedSuspects map[string]uint64            // fingerprint to the version that removed it
	Routes          map[RouteKey]*fescuepb.HostRoute
	RemovedRoutes   map[RouteKey]uint64 // route to the version that removed it
	// heads holds, by team, the sections whose routes are in Routes, without the
	// routes. A view that was received from a source has no other form of them.
	heads        map[string]*fescuepb.Section
	routeList    []*fescuepb.HostRoute // Routes in order; nil after a change
	MinDeltaBase uint64                // oldest base version of a delta
}

// New returns an empty view at version 0.
func New() *View {
	return &View{
		Sections:       map[string]*fescuepb.Section{},
		Members:        map[string]*fescuepb.Member{},
		RemovedMembers: map[string]uint64{},

		Targets:        map[string]*fescuepb.Target{},
		RemovedTargets: map[string]uint64{},

		Suspects:        map[string]*fescuepb.Suspect{},
		RemovedSuspects: map[string]uint64{},

		Routes:        map[RouteKey]*fescuepb.HostRoute{},
		RemovedRoutes: map[RouteKey]uint64{},
		heads:         map[string]*fescuepb.Section{},
	}
}

// clone returns a copy that shares the messages with v.
func (v *View) clone() *View {
	c := *v
	c.Sections, c.heads = maps.Clone(v.Sections), maps.Clone(v.heads)
	c.Members, c.RemovedMembers = maps.Clone(v.Members), maps.Clone(v.RemovedMembers)
	c.Targets, c.RemovedTargets = maps.Clone(v.Targets), maps.Clone(v.RemovedTargets)
	c.Suspects, c.RemovedSuspects = maps.Clone(v.Suspects), maps.Clone(v.RemovedSuspects)
	c.Routes, c.RemovedRoutes = maps.Clone(v.Routes), maps.Clone(v.RemovedRoutes)
	return &c
}

// SetSection stores s and advances the view to version s.Version. If s does not
// have its routes apart, it replaces those of its team.
func (v *View) SetSection(s *fescuepb.Section) {
	old := v.Sections[s.Team]
	v.Sections[s.Team] = s
	if s.RoutesApart {
		if v.heads[s.Team] == nil {
			v.separateRoutes(old)
		}
		v.heads[s.Team] = s
	} else {
		v.removeRoutes(s.Team, s.Version)
	}
	v.advanceTo(s.Version)
}

// SetMember stores m and advances the view to version m.ChangedVersion.
func (v *View) SetMember(m *fescuepb.Member) {
	v.Members[m.Instance] = m
	delete(v.RemovedMembers, m.Instance)
	v.advanceTo(m.ChangedVersion)
}

// RemoveMember removes an instance and advances the view to version.
func (v *View) RemoveMember(instance string, version uint64) {
	delete(v.Members, instance)
	v.RemovedMembers[instance] = version
	v.advanceTo(version)
	v.trimRemovals(v.RemovedMembers)
}

// SetTarget stores t and advances the view to version t.ChangedVersion.
func (v *View) SetTarget(t *fescuepb.Target) {
	v.Targets[t.Id] = t
	delete(v.RemovedTargets, t.Id)
	v.advanceTo(t.ChangedVersion)
}

// RemoveTarget removes a target and advances the view to version.
func (v *View) RemoveTarget(id string, version uint64) {
	delete(v.Targets, id)
	v.RemovedTargets[id] = version
	v.advanceTo(version)
	v.trimRemovals(v.RemovedTargets)
}

// SetSuspect stores s and advances the view to version s.ChangedVersion.
func (v *View) SetSuspect(s *fescuepb.Suspect) {
	v.Suspects[s.Id] = s
	delete(v.RemovedSuspects, s.Id)
	v.advanceTo(s.ChangedVersion)
}

// RemoveSuspect removes a suspect and advances the view to version.
func (v *View) RemoveSuspect(id string, version uint64) {
	delete(v.Suspects, id)
	v.RemovedSuspects[id] = version
	v.advanceTo(version)
	v.trimRemovals(v.RemovedSuspects)
}

// SetBlocks replaces the block table and advances the view to version.
func (v *View) SetBlocks(t *fescuepb.BlockTable, version uint64) {
	v.Blocks = t
	v.BlocksChanged = version
	v.advanceTo(version)
}

// advanceTo raises the version. A lower version has no effect.
func (v *View) advanceTo(version uint64) {
	if version > v.Version {
		v.Version = version
	}
}

// trimRemovals deletes the oldest removals once there are more than maxRemovals,
// and raises MinDeltaBase, since a delta that starts before a deleted removal
// would omit it. Removals of the same version are deleted together, so that the
// result does not depend on the map order.
func (v *View) trimRemovals(removed map[string]uint64) { trimOldest(v, removed) }

func trimOldest[K comparable](v *View, removed map[K]uint64) {
	if len(removed) <= maxRemovals {
		return
	}
	versions := make([]uint64, 0, len(removed))
	for _, version := range removed {
		versions = append(versions, version)
	}
	sort.Slice(versions, func(i, j int) bool { return versions[i] < versions[j] })
	v.MinDeltaBase = max(v.MinDeltaBase, versions[len(versions)-maxRemovals/2])
	for name, version := range removed {
		if version <= v.MinDeltaBase {
			delete(removed, name)
		}
	}
}

// Since returns the update that takes a follower from version base to the view's
// version: a delta if possible, otherwise a full update, which has base 0. A
// follower that is not behind gets an update without content. The sections include
// their routes, unless the view itself was received without them.
func (v *View) Since(base uint64) *fescuepb.Update {
	if base >= v.Version {
		return &fescuepb.Update{Base: v.Version, Version: v.Version}
	}
	if base < v.MinDeltaBase {
		base = 0
	}
	u := &fescuepb.Update{Base: base, Version: v.Version}
	for _, s := range v.Sections {
		if s.Version > base && (base > 0 || !s.Deleted) {
			u.Sections = append(u.Sections, s)
		}
	}
	for _, m := range v.Members {
		if m.ChangedVersion > base {
			u.Members = append(u.Members, m)
		}
	}
	for instance, version := range v.RemovedMembers {
		if base > 0 && version > base {
			u.RemovedMembers = append(u.RemovedMembers, instance)
		}
	}
	for _, t := range v.Targets {
		if t.ChangedVersion > base {
			u.Targets = append(u.Targets, t)
		}
	}
	for id, version := range v.RemovedTargets {
		if base > 0 && version > base {
			u.RemovedTargets = append(u.RemovedTargets, id)
		}
	}
	v.addSuspects(u)
	if v.Blocks != nil && v.BlocksChanged > base {
		u.BlockTable = v.Blocks
	}
	sortUpdate(u)
	return u
}

// addSuspects adds to u the suspects that changed or were removed after its base.
func (v *View) addSuspects(u *fescuepb.Update) {
	for _, s := range v.Suspects {
		if s.ChangedVersion > u.Base {
			u.Suspects = append(u.Suspects, s)
		}
	}
	for id, version := range v.RemovedSuspects {
		if u.Base > 0 && version > u.Base {
			u.RemovedSuspects = append(u.RemovedSuspects, id)
		}
	}
}

// sortUpdate orders the content of u, so that it does not depend on the map order.
func sortUpdate(u *fescuepb.Update) {
	sort.Slice(u.Sections, func(i, j int) bool { return u.Sections[i].Team < u.Sections[j].Team })
	sort.Slice(u.Members, func(i, j int) bool { return u.Members[i].Instance < u.Members[j].Instance })
	sort.Strings(u.RemovedMembers)
	sort.Slice(u.Targets, func(i, j int) bool { return u.Targets[i].Id < u.Targets[j].Id })
	sort.Strings(u.RemovedTargets)
	sort.Slice(u.Suspects, func(i, j int) bool { return u.Suspects[i].Id < u.Suspects[j].Id })
	sort.Strings(u.RemovedSuspects)
}

// Outcome is the effect of an update on a view.
type Outcome int

// The outcomes of View.Apply.
const (
	Unchanged Outcome = iota // the update is old, repeated or without content
	Advanced                 // the view is now at the update's version
	Gap                      // the update's base is above the view's version
	Paged                    // a page of a later version was added; the view is unchanged
)

// Apply applies u. An update that does not lead to a higher version has no
// effect, so lost, repeated, reordered and old updates are harmless. The base of
// a delta may be below the view's version, because the delta holds every object
// that changed since its base, with the content at its version.
func (v *View) Apply(u *fescuepb.Update) Outcome {
	if u.Version <= v.Version {
		return Unchanged
	}
	if u.Base > v.Version {
		return Gap
	}
	if u.Base == 0 {
		v.reset(u.Version)
	}
	v.merge(u)
	v.Version = u.Version
	return Advanced
}

// merge stores the content of u.
func (v *View) merge(u *fescuepb.Update) {
	for _, s := range u.Sections {
		v.SetSection(s)
	}
	for _, r := range u.Routes {
		v.setRoute(r)
	}
	for _, r := range u.RemovedRoutes {
		v.removeRoute(RouteKey{r.Team, r.Name}, r.Version)
	}
	for _, m := range u.Members {
		v.SetMember(m)
	}
	for _, instance := range u.RemovedMembers {
		v.RemoveMember(instance, u.Version)
	}
	for _, t := range u.Targets {
		v.SetTarget(t)
	}
	for _, id := range u.RemovedTargets {
		v.RemoveTarget(id, u.Version)
	}
	for _, s := range u.Suspects {
		v.SetSuspect(s)
	}
	for _, id := range u.RemovedSuspects {
		v.RemoveSuspect(id, u.Version)
	}
	if u.BlockTable != nil {
		v.SetBlocks(u.BlockTable, u.Version)
	}
}

// reset clears the view for a full update. The removals before the update's
// version are unknown, so deltas cannot start before it.
func (v *View) reset(version uint64) {
	*v = *New()
	v.MinDeltaBase = version
}

// LiveSections returns the sections that are not deleted, ordered by team.
func (v *View) LiveSections() []*fescuepb.Section {
	out := make([]*fescuepb.Section, 0, len(v.Sections))
	for _, s := range v.Sections {
		if !s.Deleted {
			out = append(out, s)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Team < out[j].Team })
	return out
}

// TargetList returns the targets, ordered by ID.
func (v *View) TargetList() []*fescuepb.Target {
	out := make([]*fescuepb.Target, 0, len(v.Targets))
	for _, t := range v.Targets {
		out = append(out, t)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Id < out[j].Id })
	return out
}

// SuspectList returns the suspects, ordered by fingerprint.
func (v *View) SuspectList() []*fescuepb.Suspect {
	out := make([]*fescuepb.Suspect, 0, len(v.Suspects))
	for _, s := range v.Suspects {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Id < out[j].Id })
	return out
}

// MemberList returns the members, ordered by instance.
func (v *View) MemberList() []*fescuepb.Member {
	out := make([]*fescuepb.Member, 0, len(v.Members))
	for _, m := range v.Members {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Instance < out[j].Instance })
	return out
}
