package entry

import (
	"context"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/ring"
	"github.com/fescuejunction/fescuejunction/internal/version/quarantine"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

const (
	// suspectEvents is how many events may wait for their report. Further ones are
	// dropped: this entry has acted on them, and the other entries see evidence of
	// their own.
	suspectEvents = 512
	// suspectBatchDelay is how long a report of crashes or claims waits for further
	// events. All requests in flight at a target see its crash at about the same time.
	suspectBatchDelay = 20 * time.Millisecond
	// answeredBatchDelay is how long a report waits that only clears suspects. Each
	// report is a version that every entry puts in force, and after the crash of many
	// targets hundreds of suspects are answered one after the other.
	answeredBatchDelay = 500 * time.Millisecond
	// A report that fails is repeated every suspectRetryDelay for suspectReportLife.
	suspectRetryDelay = 250 * time.Millisecond
	suspectReportLife = 10 * time.Second
)

// suspectReporter reports evidence about requests that may crash targets to control,
// from where it reaches the other entries with the next version.
type suspectReporter struct {
	instance string
	events   *ring.Ring[quarantine.Event]
	send     func(ctx context.Context, c *fescuepb.SuspectsChange) error
	log      *logrus.Entry
	dropped  tally.Counter
}

// report queues an event for the next report.
func (r *suspectReporter) report(ev quarantine.Event) {
	if !r.events.Offer(ev) {
		r.dropped.Inc(1)
	}
}

// run reports the queued events until ctx ends.
func (r *suspectReporter) run(ctx context.Context) {
	for {
		first, err := r.events.Take(ctx)
		if err != nil {
			return
		}
		r.deliver(ctx, r.batch(ctx, first))
	}
}

// batch combines the first event and those that arrive within the delay of the most
// urgent of them into one report.
func (r *suspectReporter) batch(ctx context.Context, first quarantine.Event) *fescuepb.SuspectsChange {
	c := &fescuepb.SuspectsChange{Instance: r.instance}
	crashes := map[string]*fescuepb.TargetCrash{}
	seen := map[quarantine.Event]bool{}
	due := time.NewTimer(answeredBatchDelay)
	defer due.Stop()
	urgent := false
	for ev := first; len(seen) < suspectEvents; {
		if !ev.Answered && !urgent {
			urgent = true
			due.Reset(suspectBatchDelay)
		}
		if !seen[ev] {
			seen[ev] = true
			addEvent(c, crashes, ev)
		}
		select {
		case ev = <-r.events.C():
		case <-due.C:
			return c
		case <-ctx.Done():
			return c
		}
	}
	return c
}

// addEvent adds an event to a report. crashes holds those of the report by target.
func addEvent(c *fescuepb.SuspectsChange, crashes map[string]*fescuepb.TargetCrash, ev quarantine.Event) {
	id := ev.Fingerprint.String()
	switch {
	case ev.Answered:
		c.Cleared = append(c.Cleared, id)
	case ev.Claim:
		c.Claims = append(c.Claims, id)
	default:
		crash := crashes[ev.Crash]
		if crash == nil {
			crash = &fescuepb.TargetCrash{Target: ev.Crash}
			crashes[ev.Crash] = crash
			c.Crashes = append(c.Crashes, crash)
		}
		crash.Suspects = append(crash.Suspects, id)
	}
}

// deliver sends a report until it is accepted or suspectReportLife has passed.
func (r *suspectReporter) deliver(ctx context.Context, c *fescuepb.SuspectsChange) {
	ctx, cancel := context.WithTimeout(ctx, suspectReportLife)
	defer cancel()
	log := r.log.WithFields(logrus.Fields{"crashes": len(c.Crashes), "cleared": c.Cleared, "claims": c.Claims})
	for {
		err := r.send(ctx, c)
		if err == nil {
			log.Info("evidence about suspect requests reported")
			return
		}
		waitFor(ctx, suspectRetryDelay)
		if ctx.Err() != nil {
			log.WithError(err).Warn("evidence about suspect requests not reported")
			return
		}
	}
}

// waitFor waits for d or until ctx ends.
func waitFor(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// applySuspects takes over the suspect requests of a snapshot.
func (p *process) applySuspects(s *snapshot.Snapshot) {
	now := time.Now()
	for _, q := range p.suspects.Apply(now, s.Suspects) {
		p.log.WithFields(logrus.Fields{
			"fingerprint": q.Id, "crashes": q.Crashes, "until": now.Add(quarantine.Period), "trials": q.Trials, "version": s.Version,
		}).Warn("request quarantined: targets crashed while they ran it")
	}
	p.scope.Gauge("suspect_requests").Update(float64(p.suspects.Len()))
}
