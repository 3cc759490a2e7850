package controlmain

import (
	"context"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/steady"
	"github.com/fescuejunction/fescuejunction/internal/version/state"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

const (
	// targetsInterval is how often the list of targets is read if it is short. Together
	// with the delay of the list itself, it limits how late a leaving target is known.
	targetsInterval = 500 * time.Millisecond
	// maxTargetsInterval is the same for a long list. A leaving target is known in all
	// entries about half a second after the reading that shows it.
	maxTargetsInterval = time.Second
	// intervalPerPage makes readings of a long list rarer, because each page is a call that
	// the platform charges for.
	intervalPerPage = 40 * time.Millisecond
	// staleTargetsWarningInterval is how often the log repeats that the list of targets
	// cannot be read.
	staleTargetsWarningInterval = 2 * time.Second
)

// targetReader reads the list of targets and commits its changes. It reads only at
// the leader, because calls that read the list are costly. It is not safe for
// concurrent use.
type targetReader struct {
	p        *process
	list     *listReader
	metrics  tally.Scope
	readAt   time.Time // start of the last complete reading, or of the first one as leader
	begunAt  time.Time // start of the last reading as leader, complete or not
	pages    int       // of the last reading
	warnedAt time.Time // when the log last said that the list cannot be read; zero after a success
}

func newTargetReader(p *process, source TargetSource, metrics tally.Scope) *targetReader {
	return &targetReader{p: p, list: newListReader(source, p.settings.TargetsCallsPerSecond, p.log), metrics: metrics}
}

func (r *targetReader) run(ctx context.Context) {
	r.p.runWhileLeading(ctx, targetsInterval, func() { r.readIfDue(ctx) }, func() { r.readAt, r.begunAt, r.warnedAt = time.Time{}, time.Time{}, time.Time{} })
}

// readIfDue reads the list unless the last reading began a short time ago.
func (r *targetReader) readIfDue(ctx context.Context) {
	if now := steady.Now(); now.Sub(r.begunAt) > readInterval(r.pages)-targetsInterval/2 {
		r.begunAt = now
		r.read(ctx)
	}
}

// readInterval returns the time from one reading of a list with this number of pages to the
// next.
func readInterval(pages int) time.Duration {
	return min(max(time.Duration(pages)*intervalPerPage, targetsInterval), maxTargetsInterval)
}

// read reads the list and commits its changes, if there are any. If some data centres
// cannot be read, it commits the changes of the others.
func (r *targetReader) read(ctx context.Context) {
	start := steady.Now()
	if r.readAt.IsZero() {
		r.readAt = start
	}
	term := r.p.leadership.Term()
	list, err := r.list.read(ctx, listedDataCentres(r.p.settings.DataCentres, r.p.machine.Targets()))
	if ctx.Err() != nil {
		return
	}
	r.pages = list.pages
	took := steady.Since(start)
	r.metrics.Timer("targets_read").Record(took)
	if err != nil {
		r.metrics.Counter("targets_read_failures").Inc(1)
	} else {
		r.readAt = start
	}
	r.metrics.Gauge("targets_age_seconds").Update(steady.Since(r.readAt).Seconds())
	r.logReading(took, list, err)
	if !r.p.leadership.IsLeader() || r.p.leadership.Term() != term {
		return // a newer leader may have committed a newer reading
	}
	change := targetChanges(r.p.machine.Targets(), list)
	if len(change.Set) == 0 && len(change.Removed) == 0 {
		return
	}
	r.commit(ctx, change)
}

// logReading logs, at a bounded rate, that the list cannot be read and how old the one
// in force is, and once when it can be read again.
func (r *targetReader) logReading(took time.Duration, list *targetList, err error) {
	now := steady.Now()
	log := r.p.log.WithFields(logrus.Fields{
		"took_ms": took.Milliseconds(), "pages": list.pages, "targets": len(list.targets), "age_ms": now.Sub(r.readAt).Milliseconds(),
	})
	switch {
	case err != nil && now.Sub(r.warnedAt) >= staleTargetsWarningInterval:
		r.warnedAt = now
		log.WithError(err).Warn("cannot read the list of targets; the last one remains in force")
	case err == nil && !r.warnedAt.IsZero():
		r.warnedAt = time.Time{}
		log.Info("list of targets can be read again")
	}
}

// commit commits a change and logs each changed target.
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
		r.p.log.WithError(err).Warn("change of targets not committed; retrying at the next read")
	}
}

// targetChanges returns the change that turns the committed targets of the data
// centres that were read into the listed ones.
func targetChanges(committed []*fescuepb.Target, list *targetList) *fescuepb.TargetsChange {
	old := make(map[string]*fescuepb.Target, len(committed))
	for _, t := range committed {
		old[t.Id] = t
	}
	change := &fescuepb.TargetsChange{}
	listedIDs := map[string]bool{}
	for _, t := range list.targets {
		if listedIDs[t.Id] {
			continue // listed on two pages, because the list changed in between
		}
		listedIDs[t.Id] = true
		if targetChanged(old[t.Id], t) {
			change.Set = append(change.Set, t)
		}
	}
	for _, t := range committed {
		if !listedIDs[t.Id] && list.covers(t.DataCentre) {
			change.Removed = append(change.Removed, t.Id)
		}
	}
	return change
}

// targetChanged reports whether a listed target differs from the committed one. The
// remaining time for which a target is cold is lower at each read, and committing
// that would cause a commit at each read. Only its end and an increase, which means
// that the target has become cold again, count as changes.
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
