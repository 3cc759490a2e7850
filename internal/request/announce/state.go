package announce

import (
	"cmp"
	"slices"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
)

// maxPauses bounds the pauses that a State holds. Of more, the one that ends first
// is dropped.
const maxPauses = 1024

// State holds what targets have announced to one entry. It reads no clock and is
// not safe for concurrent use. The zero value is empty.
type State struct {
	left   dispatch.Departures
	pauses []pause
}

// pause is a target that wants no requests from the entry.
type pause struct {
	target  dispatch.Process
	service string
	until   time.Time
}

// Leave records that a target leaves and reports whether that is new.
func (s *State) Leave(p dispatch.Process) bool { return s.left.Add(p) }

// Leaves reports whether a target has announced that it leaves.
func (s *State) Leaves(p dispatch.Process) bool { return s.left.Has(p) }

// Pause records that a target wants no requests for the given time from now. Of
// overlapping pauses, the one that ends last counts. It returns by how much the
// pause of the target became longer.
func (s *State) Pause(now time.Time, service string, p dispatch.Process, length time.Duration) (added time.Duration) {
	before, until := s.PauseLeft(now, p), now.Add(length)
	if length <= before {
		return 0
	}
	s.pauses = slices.DeleteFunc(s.pauses, func(old pause) bool { return old.target == p || !now.Before(old.until) })
	if len(s.pauses) == maxPauses {
		first := slices.MinFunc(s.pauses, func(a, b pause) int { return cmp.Compare(a.until.UnixNano(), b.until.UnixNano()) })
		s.pauses = slices.DeleteFunc(s.pauses, func(old pause) bool { return old == first })
	}
	s.pauses = append(s.pauses, pause{p, service, until})
	return length - before
}

// PauseLeft returns for how long a target still wants no requests, 0 without a
// pause.
func (s *State) PauseLeft(now time.Time, p dispatch.Process) time.Duration {
	left := time.Duration(0)
	for _, o := range s.pauses {
		if o.target.Same(p) {
			left = max(left, o.until.Sub(now))
		}
	}
	return left
}

// Pauses returns the pauses of the targets of a service.
func (s *State) Pauses(now time.Time, service string) []dispatch.Pause {
	var out []dispatch.Pause
	for _, o := range s.pauses {
		if left := o.until.Sub(now); left > 0 && o.service == service {
			out = append(out, dispatch.Pause{Target: o.target, Left: left})
		}
	}
	return out
}
