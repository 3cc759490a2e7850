package controlmain

import (
	"context"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/state"
	"github.com/sirupsen/logrus"
)

const (
	// targetsInterval is how often the list of targets is read. With the list's
	// own lag it bounds how late a leaving target is known.
	targetsInterval = 500 * time.Millisecond
	targetsTimeout  = 1500 * time.Millisecond
)

// TargetSource reads the platform's list of targets.
type TargetSource interface {
	// List returns all targets that can be used or are leaving. Entries that
	// cannot be read are left out.
	List(ctx context.Context) ([]*fescuepb.Target, error)
}

// targetReader commits the changes of the list of targets. Only the leader's
// reads: calls of the list have a price. It is owned by its goroutine.
type targetReader struct {
	p              *process
	source         TargetSource
	lastReadFailed bool // the last read
}

func (r *targetReader) run(ctx context.Context) {
	r.p.runWhileLeading(ctx, targetsInterval, func() { r.read(ctx) }, func() {})
}

func (r *targetReader) read(ctx context.Context) {
	reading, cancel := context.WithTimeout(ctx, targetsTimeout)
	defer cancel()
	list, err := r.source.List(reading)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		if !r.lastReadFailed {
			r.p.log.WithError(err).Warn("list of targets not read; the last one stays in force")
		}
		r.lastReadFailed = true
		return
	}
	if r.lastReadFailed {
		r.p.log.WithField("targets", len(list)).Info("list of targets is read again")
	}
	r.lastReadFailed = false
	change := targetChanges(r.p.machine.Targets(), list)
	if len(change.Set) == 0 && len(change.Removed) == 0 {
		return
	}
	r.commit(ctx, change)
}

func (r *targetReader) commit(ctx context.Context, change *fescuepb.TargetsChange) {
	err := r.p.server.RecordTargets(ctx, change)
	for _, t := range change.Set {
		r.p.log.WithFields(logrus.Fields{
			"target": t.Id, "service": t.Service, "addr": t.Address, "dc": t.DataCentre,
			"leaving": t.Leaving, "cold_ms": t.ColdMs, "committed": err == nil,
		}).Info("target listed")
	}
	for _, id := range change.Removed {
		r.p.log.WithFields(logrus.Fields{"target": id, "committed": err == nil}).Info("target no longer listed")
	}
	if err != nil {
		r.p.log.WithError(err).Warn("change of targets not committed; the next reading decides again")
	}
}

// targetChanges returns what turns the committed targets into the listed ones.
func targetChanges(committed, listed []*fescuepb.Target) *fescuepb.TargetsChange {
	old := make(map[string]*fescuepb.Target, len(committed))
	for _, t := range committed {
		old[t.Id] = t
	}
	change := &fescuepb.TargetsChange{}
	listedIDs := map[string]bool{}
	for _, t := range listed {
		if listedIDs[t.Id] {
			continue // listed twice while the list changes between two pages
		}
		listedIDs[t.Id] = true
		if targetChanged(old[t.Id], t) {
			change.Set = append(change.Set, t)
		}
	}
	for _, t := range committed {
		if !listedIDs[t.Id] {
			change.Removed = append(change.Removed, t.Id)
		}
	}
	return change
}

// targetChanged reports whether a listed target differs from the committed
// one. How long it stays cold shrinks with each reading, so only the beginning
// and the end of that time count, and a rise, which means that it began anew.
func targetChanged(old, listed *fescuepb.Target) bool {
	if old == nil {
		return true
	}
	restarted := listed.ColdMs > old.ColdMs
	ended := old.ColdMs > 0 && listed.ColdMs == 0
	if restarted || ended {
		return true
	}
	cold := listed.ColdMs
	listed.ColdMs = old.ColdMs
	same := state.SameTarget(old, listed)
	listed.ColdMs = cold
	return !same
}
