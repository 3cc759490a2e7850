package entry

import (
	"context"
	"slices"
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
	// suspectRetryDelay is after which time a report that failed is repeated. It is
	// repeated until control accepts it: a request may crash targets while control is
	// away and come again afterwards.
	suspectRetryDelay = 250 * time.Millisecond
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
	for ctx.Err() == nil {
		first, err := r.events.Take(ctx)
		if err != nil {
			return
		}
		b := &suspectBatch{}
		b.add(first)
		r.collect(ctx, b)
		r.deliver(ctx, b)
	}
}

// collect adds the events to a batch that arrive within the delay of the most urgent
// event.
func (r *suspectReporter) collect(ctx context.Context, b *suspectBatch) {
	due := time.NewTimer(answeredBatchDelay)
	defer due.Stop()
	for hurried := false; !b.full(); {
		if b.urgent && !hurried {
			hurried = true
			due.Reset(suspectBatchDelay)
		}
		select {
		case ev := <-r.events.C():
			b.add(ev)
		case <-due.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// deliver sends a batch until it is accepted or ctx ends. Events that are queued
// meanwhile are added to the batch.
func (r *suspectReporter) deliver(ctx context.Context, b *suspectBatch) {
	for failed := false; ctx.Err() == nil; failed = true {
		c := b.change(r.instance)
		log := r.log.WithFields(logrus.Fields{"crashes": len(c.Crashes), "cleared": c.Cleared, "claims": c.Claims})
		err := r.send(ctx, c)
		if err == nil {
			log.Info("evidence about suspect requests reported")
			return
		}
		if !failed {
			log.WithError(err).Warn("evidence about suspect requests not reported; retrying")
		}
		waitFor(ctx, suspectRetryDelay)
		for r.events.Len() > 0 && !b.full() {
			b.add(<-r.events.C())
		}
	}
}

// suspectBatch combines events into one report. The last one about a fingerprint
// decides whether it is cleared: an answer clears it of earlier crashes only.
type suspectBatch struct {
	events []quarantine.Event // distinct, in order
	urgent bool               // the batch has more than answers
}

// full reports whether the batch takes no more events.
func (b *suspectBatch) full() bool { return len(b.events) >= suspectEvents }

func (b *suspectBatch) add(ev quarantine.Event) {
	b.urgent = b.urgent || !ev.Answered
	b.events = slices.DeleteFunc(b.events, func(earlier quarantine.Event) bool {
		return earlier == ev || ev.Answered && earlier.Fingerprint == ev.Fingerprint
	})
	b.events = append(b.events, ev)
}

// change returns the report of the batch. Control removes what is cleared before it
// adds crashes.
func (b *suspectBatch) change(instance string) *fescuepb.SuspectsChange {
	c := &fescuepb.SuspectsChange{Instance: instance}
	crashes := map[string]*fescuepb.TargetCrash{}
	for _, ev := range b.events {
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
	return c
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
