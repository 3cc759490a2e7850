package view

import (
	"cmp"
	"slices"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"google.golang.org/protobuf/proto"
)

// Position says how much content a follower holds: the objects up to Key of
// Version, and all of lower versions. Objects are ordered by the version that last
// changed them, then by key, and this order is the same at every source, so a
// follower can continue an update at another source.
type Position struct {
	Version uint64
	Key     string // empty: all objects of Version
	// AsOf is the version of the view that the content was taken from. Only a view
	// of this version or a later one can continue, because an object that changed
	// in between has moved behind the position.
	AsOf uint64
	// Since is the version after which removals are still to be learned of.
	Since uint64
}

// At returns the position of a follower that holds a whole version.
func At(version uint64) Position { return Position{Version: version, AsOf: version, Since: version} }

// PositionOf returns the position in a message.
func PositionOf(m *fescuepb.Position) Position {
	return Position{Version: m.GetVersion(), Key: m.GetKey(), AsOf: m.GetAsOf(), Since: m.GetSince()}
}

// Message returns the position as a message.
func (p Position) Message() *fescuepb.Position {
	return &fescuepb.Position{Version: p.Version, Key: p.Key, AsOf: p.AsOf, Since: p.Since}
}

// IsWhole reports whether the position is that of a whole version.
func (p Position) IsWhole() bool { return p.Key == "" }

// includes reports whether the object with a version and a key lies up to p.
func (p Position) includes(version uint64, key string) bool {
	return version < p.Version || version == p.Version && (p.Key == "" || key <= p.Key)
}

// reaches reports whether everything up to q lies up to p.
func (p Position) reaches(q Position) bool {
	if q.Key == "" {
		return q.Version < p.Version || q.Version == p.Version && p.Key == ""
	}
	return p.includes(q.Version, q.Key)
}

// object is an object of a view in the order of positions.
type object struct {
	version  uint64
	kind, id string        // unique within the view; no kind is the beginning of another
	message  proto.Message // nil for a removal
	addTo    func(u *fescuepb.Update)
}

func (o *object) key() string { return o.kind + "/" + o.id }

// size returns the size of the object when it is encoded, in bytes.
func (o *object) size() int {
	if o.message == nil {
		return len(o.id) + removalOverhead
	}
	return proto.Size(o.message)
}

// removalOverhead is the size of a removed route beyond its names, in bytes: three tags,
// three lengths and a version.
const removalOverhead = 16

// Page returns an update that takes a follower from p towards the view's version,
// with about maxBytes of encoded content or less, but at least one object. Next is set in it
// unless it is the last page. A follower that is not behind, or whose content is
// newer than the view, gets an update without content.
func (v *View) Page(p Position, maxBytes int) *fescuepb.Update {
	if p.AsOf > v.Version || p.IsWhole() && p.Version == v.Version {
		return v.Beat(p)
	}
	u := &fescuepb.Update{Version: v.Version}
	if p.Since < v.MinDeltaBase && p != (Position{}) {
		p, u.Restart = Position{}, true
	}
	u.Base = p.Version
	if !p.IsWhole() {
		u.From = p.Message()
	}
	since := p.Since
	if p == (Position{}) {
		since = v.Version
	}
	objects, size := append(v.objectsAfter(p), v.removalsAfter(p, since)...), 0
	for i, o := range objects {
		if size += o.size(); size > maxBytes && i > 0 {
			last := objects[i-1]
			u.Next = Position{Version: last.version, Key: last.key(), AsOf: v.Version, Since: since}.Message()
			return u
		}
		o.addTo(u)
	}
	return u
}

// Beat returns an update without content for a follower at p, which tells the
// version of the view.
func (v *View) Beat(p Position) *fescuepb.Update {
	u := &fescuepb.Update{Base: p.Version, Version: v.Version}
	if !p.IsWhole() || p.Version != v.Version {
		u.From, u.Next = p.Message(), p.Message()
	}
	return u
}

// Full returns the whole content of the view. Routes that are apart from their
// section stay so.
func (v *View) Full() *fescuepb.Update {
	u := &fescuepb.Update{
		Version: v.Version, Routes: v.RouteList(), Members: v.MemberList(), Targets: v.TargetList(),
		Suspects: v.SuspectList(), BlockTable: v.Blocks,
	}
	for _, s := range v.LiveSections() {
		u.Sections = append(u.Sections, v.head(s))
	}
	return u
}

// head returns the section as followers get it.
func (v *View) head(s *fescuepb.Section) *fescuepb.Section {
	if head := v.heads[s.Team]; head != nil {
		return head
	}
	return s
}

// objectsAfter returns the objects of the view after p, in order.
func (v *View) objectsAfter(p Position) []object {
	var out []object
	add := func(version uint64, kind, id string, m proto.Message, addTo func(u *fescuepb.Update)) {
		if version < p.Version {
			return
		}
		o := object{version, kind, id, m, addTo}
		if version > p.Version || !p.includes(version, o.key()) {
			out = append(out, o)
		}
	}
	for team, s := range v.Sections {
		s = v.head(s)
		if !s.Deleted || p.Version > 0 {
			add(s.Version, "section", team, s, func(u *fescuepb.Update) { u.Sections = append(u.Sections, s) })
		}
	}
	for _, r := range v.Routes {
		if r.ChangedVersion < p.Version { // spares the key, since most routes are old
			continue
		}
		add(r.ChangedVersion, "route", r.Team+"/"+r.Name, r, func(u *fescuepb.Update) { u.Routes = append(u.Routes, r) })
	}
	for id, m := range v.Members {
		add(m.ChangedVersion, "member", id, m, func(u *fescuepb.Update) { u.Members = append(u.Members, m) })
	}
	for id, t := range v.Targets {
		add(t.ChangedVersion, "target", id, t, func(u *fescuepb.Update) { u.Targets = append(u.Targets, t) })
	}
	for id, s := range v.Suspects {
		add(s.ChangedVersion, "suspect", id, s, func(u *fescuepb.Update) { u.Suspects = append(u.Suspects, s) })
	}
	if b := v.Blocks; b != nil {
		add(b.Version, "blocks", "", b, func(u *fescuepb.Update) { u.BlockTable = b })
	}
	slices.SortFunc(out, compareObjects)
	return out
}

// removalsAfter returns the removals after a version as objects of the view's version
// that come behind all others, ordered by name, as far as they lie after p. They are
// not ordered by the version that removed them, because relays know a removal by
// a later version than control does.
func (v *View) removalsAfter(p Position, since uint64) []object {
	var out []object
	add := func(kind, id string, removed uint64, addTo func(u *fescuepb.Update)) {
		o := object{v.Version, kind, id, nil, addTo}
		if removed > since && !p.includes(v.Version, o.key()) {
			out = append(out, o)
		}
	}
	for id, removed := range v.RemovedMembers {
		add("~member", id, removed, func(u *fescuepb.Update) { u.RemovedMembers = append(u.RemovedMembers, id) })
	}
	for key, removed := range v.RemovedRoutes {
		add("~route", key.Team+"/"+key.Name, removed, func(u *fescuepb.Update) {
			u.RemovedRoutes = append(u.RemovedRoutes, &fescuepb.RouteVersion{Team: key.Team, Name: key.Name, Version: removed})
		})
	}
	for id, removed := range v.RemovedTargets {
		add("~target", id, removed, func(u *fescuepb.Update) { u.RemovedTargets = append(u.RemovedTargets, id) })
	}
	for id, removed := range v.RemovedSuspects {
		add("~suspect", id, removed, func(u *fescuepb.Update) { u.RemovedSuspects = append(u.RemovedSuspects, id) })
	}
	slices.SortFunc(out, compareObjects)
	return out
}

// compareObjects orders objects by position.
func compareObjects(a, b object) int {
	return cmp.Or(cmp.Compare(a.version, b.version), cmp.Compare(a.kind, b.kind), cmp.Compare(a.id, b.id))
}
