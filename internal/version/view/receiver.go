package view

import "github.com/fescuejunction/fescuejunction/api/fescuepb"

// Receiver holds the newest whole view of a follower and, while pages of a later
// version arrive, what it has of that version. A Receiver is not safe for concurrent
// use.
type Receiver struct {
	View     *View    // whole; replaced once a later version is whole
	partial  *View    // nil if no pages are held
	position Position // of partial
	full     bool     // partial began empty
}

// NewReceiver returns a receiver with an empty view.
func NewReceiver() *Receiver { return &Receiver{View: New()} }

// Position returns what the receiver holds, including the pages.
func (r *Receiver) Position() Position {
	if r.partial != nil {
		return r.position
	}
	return At(r.View.Version)
}

// Apply applies an update or a page of one. The outcome is Advanced if the view is
// at a later version, Paged if a page was added, and Gap only for an update that is
// not a page. Lost, repeated, reordered and old pages are harmless.
func (r *Receiver) Apply(u *fescuepb.Update) Outcome {
	if u.From == nil && u.Next == nil && !u.Restart {
		outcome := r.View.Apply(u)
		if r.partial != nil && r.View.Version >= r.position.AsOf {
			r.partial = nil
		}
		return outcome
	}
	if u.Version <= r.View.Version {
		return Unchanged
	}
	if u.Restart {
		r.partial = nil
	}
	if r.partial == nil && u.From == nil {
		r.begin(u)
	}
	return r.add(u)
}

// begin starts to hold pages with the first page of an update.
func (r *Receiver) begin(u *fescuepb.Update) {
	r.full = u.Base == 0
	switch {
	case r.full:
		r.partial, r.position = New(), Position{Since: u.Next.GetSince()}
	case u.Base <= r.View.Version:
		r.partial, r.position = r.View.clone(), At(r.View.Version)
	}
}

// add adds a page to those held, if it continues them.
func (r *Receiver) add(u *fescuepb.Update) Outcome {
	from := At(u.Base)
	if u.From != nil {
		from = PositionOf(u.From)
	}
	if r.partial == nil || !r.position.reaches(from) || u.Version < r.position.AsOf {
		return Unchanged
	}
	if u.From != nil && from.Since > r.position.Since { // does not list all removals
		return Unchanged
	}
	if u.Next == nil {
		return r.finish(u)
	}
	next := PositionOf(u.Next)
	if r.position.reaches(next) {
		return Unchanged
	}
	r.partial.merge(u)
	next.Since = r.position.Since
	r.position = next
	return Paged
}

// finish adds the last page and replaces the view. Replicas that restored snapshots of
// an earlier build at different versions order the routes differently, so pages of
// several of them may lack some.
func (r *Receiver) finish(u *fescuepb.Update) Outcome {
	r.partial.merge(u)
	if !r.partial.hasAllRoutes() {
		r.partial = nil // begins anew from the whole view
		return Unchanged
	}
	r.partial.Version = u.Version
	if r.full {
		r.partial.MinDeltaBase = u.Version // earlier removals are not all known
	}
	r.View, r.partial = r.partial, nil
	return Advanced
}
