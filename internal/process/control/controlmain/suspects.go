package controlmain

import (
	"context"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/steady"
	"github.com/fescuejunction/fescuejunction/internal/version/quarantine"
	"github.com/sirupsen/logrus"
)

// suspectInterval is how often the suspects are checked. It is small against
// quarantine.Period.
const suspectInterval = 5 * time.Second

// suspectKeeper allows trials of quarantined requests and removes suspects when their
// time is over. It is active only at the leader. A new leader counts the time from its
// election, because the replicated state has no clock. It is not safe for concurrent
// use.
type suspectKeeper struct {
	p    *process
	seen map[string]seenSuspect // by fingerprint
}

// seenSuspect is the version that last changed a suspect and when it was first seen,
// as a time of package steady.
type seenSuspect struct {
	version uint64
	at      time.Time
}

func (k *suspectKeeper) run(ctx context.Context) {
	k.p.runWhileLeading(ctx, suspectInterval, func() { k.check(ctx) }, func() { k.seen = nil })
}

// check commits the steps of the suspects whose time is over.
func (k *suspectKeeper) check(ctx context.Context) {
	change := k.due(k.p.machine.Suspects(), steady.Now())
	if len(change.TrialsDue)+len(change.Cleared) == 0 {
		return
	}
	err := k.p.server.RecordSuspects(ctx, change)
	log := k.p.log.WithFields(logrus.Fields{"trials_due": change.TrialsDue, "forgotten": change.Cleared})
	if err != nil {
		log.WithError(err).Warn("change of the suspect requests not committed; retrying")
		return
	}
	log.Info("suspect requests: time over")
}

// due returns the steps of the suspects whose time is over.
func (k *suspectKeeper) due(suspects []*fescuepb.Suspect, now time.Time) *fescuepb.SuspectsChange {
	change, seen := &fescuepb.SuspectsChange{}, map[string]seenSuspect{}
	for _, s := range suspects {
		last, known := k.seen[s.Id]
		if !known || last.version != s.ChangedVersion {
			last = seenSuspect{s.ChangedVersion, now}
		}
		seen[s.Id] = last
		switch quarantine.Next(s, now.Sub(last.at)) {
		case quarantine.Due:
			change.TrialsDue = append(change.TrialsDue, s.Id)
		case quarantine.Forget:
			change.Cleared = append(change.Cleared, s.Id)
		}
	}
	k.seen = seen
	return change
}
