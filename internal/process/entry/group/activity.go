package group

import (
	"time"

	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
)

// activity is since when a target is active in the snapshots, or not.
type activity struct {
	active bool
	since  time.Time // zero if the target was so when it was first seen
}

// observeActivityLocked takes over which targets of this region are active. A target that
// was not has had no requests and may be cold. A dispatcher forgets that if the target
// comes to another part, so it is kept here.
func (g *Guarded) observeActivityLocked() {
	now, seen := g.Now(), map[string]activity{}
	for _, name := range g.snap.ServiceNames() {
		svc := g.snap.Services[name]
		if !svc.GuardedSlots || svc.ColdStart == nil {
			continue
		}
		for _, dc := range g.snap.DataCentres(g.snap.Region(g.DataCentre)) {
			for _, t := range g.snap.Targets(name, dc) {
				state := activity{active: targetInfo(g.snap, svc, t).State == dispatch.Active}
				if before, known := g.activeSince[t.Id]; known && before.active == state.active {
					state = before
				} else if known {
					state.since = now
				}
				seen[t.Id] = state
			}
		}
	}
	g.activeSince = seen
}

// coldAfterPauseLocked returns how much longer a target may be cold that has become active.
func (g *Guarded) coldAfterPauseLocked(info *dispatch.TargetInfo) time.Duration {
	a := g.activeSince[info.ID]
	if !a.active || a.since.IsZero() {
		return 0
	}
	return max(0, info.ColdDuration-g.Now().Sub(a.since))
}
