package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/process/ring"
	"github.com/fescuejunction/fescuejunction/internal/version/view"
	"github.com/sirupsen/logrus"
)

const (
	eventCapacity = 16 // updates waiting between the watches and the loop
	// abandonJitter spreads the followers of a failed source.
	abandonJitter = 100 * time.Millisecond
	// Delays before the next source after a failed one; they grow with each
	// failure in a row.
	minRetry = 20 * time.Millisecond
	maxRetry = 500 * time.Millisecond
	// Delays before a better kind of source is tried again.
	minUpgrade = 3 * time.Second
	maxUpgrade = 8 * time.Second
)

// loop chooses the source. It has one watch in use and tries at most one
// candidate, which is taken into use once its counter keeps up.
type loop struct {
	f         *Follower
	events    *ring.Ring[event]
	current   *watch
	candidate *watch
	next      int    // position in the plan of the next candidate
	stopped   string // address of the source abandoned last, which is tried last
	failures  int    // in a row
	openAt    time.Time
	upgradeAt time.Time
}

func newLoop(f *Follower) *loop {
	return &loop{f: f, events: ring.New[event](eventCapacity)}
}

func (l *loop) run(ctx context.Context) {
	defer l.close(&l.current)
	defer l.close(&l.candidate)
	for ctx.Err() == nil {
		l.step(ctx, l.f.now())
		timer := time.NewTimer(l.untilWake())
		select {
		case ev := <-l.events.C():
			l.handle(ev, l.f.now())
		case <-l.f.ack:
			l.acknowledge()
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// untilWake returns how long step need not run without an event.
func (l *loop) untilWake() time.Duration {
	now := l.f.now()
	return l.wakeAt(now).Sub(now)
}

// step abandons watches whose counter stopped and opens the next one.
func (l *loop) step(ctx context.Context, now time.Time) {
	l.expire(now)
	if l.candidate != nil || now.Before(l.openAt) {
		return
	}
	if l.current == nil {
		l.openNext(ctx)
	} else if !now.Before(l.upgradeAt) {
		l.tryBetter(ctx, now)
	}
}

// expire abandons watches whose counter stopped.
func (l *loop) expire(now time.Time) {
	if l.current != nil && now.Sub(l.current.counters.progress) >= abandonAfter {
		l.abandon(&l.current, "counter stopped", now)
		l.openAt = now.Add(randomBetween(0, abandonJitter))
	}
	if l.candidate != nil && now.Sub(l.candidate.counters.progress) >= abandonAfter {
		l.abandon(&l.candidate, "counter did not advance", now)
	}
}

// wakeAt returns when step must run again without an event.
func (l *loop) wakeAt(now time.Time) time.Time {
	at := now.Add(maxUpgrade)
	earliest := func(t time.Time) {
		if t.Before(at) {
			at = t
		}
	}
	for _, w := range []*watch{l.current, l.candidate} {
		if w != nil {
			earliest(w.counters.progress.Add(abandonAfter))
		}
	}
	if l.candidate == nil && l.current == nil {
		earliest(l.openAt)
	}
	if l.candidate == nil && l.current != nil {
		earliest(l.upgradeAt)
	}
	return at
}

func (l *loop) openNext(ctx context.Context) {
	plan := l.f.sources()
	if len(plan) == 0 {
		l.openAt = l.f.now().Add(maxRetry)
		return
	}
	pick := plan[l.next%len(plan)]
	if pick.addr == l.stopped {
		l.next++
		pick = plan[l.next%len(plan)]
	}
	l.next++
	l.candidate = l.f.openWatch(ctx, pick, l.events)
}

// tryBetter opens a candidate of the best rank if the current source has
// another one, for example after the relays of the data centre changed.
func (l *loop) tryBetter(ctx context.Context, now time.Time) {
	l.upgradeAt = now.Add(randomBetween(minUpgrade, maxUpgrade))
	plan := l.f.sources()
	if len(plan) == 0 || plan[0].rank() == rankIn(plan, l.current.addr) {
		return
	}
	best := 1
	for best < len(plan) && plan[best].rank() == plan[0].rank() {
		best++
	}
	l.candidate = l.f.openWatch(ctx, plan[rand.IntN(best)], l.events)
}

// handle takes an event. Watches expire first: after this process was
// frozen, the counters that waited in its socket are old.
func (l *loop) handle(ev event, now time.Time) {
	l.expire(now)
	slot := l.slotOf(ev.w)
	if slot == nil {
		return // the watch was closed
	}
	if ev.err != nil {
		l.abandon(slot, ev.err.Error(), now)
		return
	}
	if l.f.take(&ev.w.counters, ev.u, now) == view.Gap {
		l.abandon(slot, "update starts beyond the version held", now)
		return
	}
	if ev.w == l.candidate && ev.w.counters.level {
		l.promote(now)
	}
}

func (l *loop) slotOf(w *watch) **watch {
	switch w {
	case l.current:
		return &l.current
	case l.candidate:
		return &l.candidate
	}
	return nil
}

// promote takes the candidate into use.
func (l *loop) promote(now time.Time) {
	l.close(&l.current)
	l.current, l.candidate = l.candidate, nil
	l.current.session.Store(l.f.nextSession())
	l.current.acknowledge()
	l.next, l.failures = 0, 0
	l.upgradeAt = now.Add(randomBetween(minUpgrade, maxUpgrade))
	l.f.cfg.Metrics.Counter("follow_source_changes").Inc(1)
	l.f.cfg.Log.WithFields(logrus.Fields{"source": l.current.addr, "kind": string(l.current.kind)}).Info("following source")
}

// abandon closes a watch and plans the next one.
func (l *loop) abandon(slot **watch, reason string, now time.Time) {
	w := *slot
	if w == l.current {
		l.stopped = w.addr
	} else if l.stopped != "" && l.next >= len(l.f.sources()) {
		l.stopped = "" // every other source was tried
	}
	l.close(slot)
	l.failures++
	delay := min(maxRetry, minRetry<<min(l.failures-1, 5))
	l.openAt = now.Add(randomBetween(delay/2, delay))
	l.f.cfg.Metrics.Counter("follow_sources_abandoned").Inc(1)
	l.f.cfg.Log.WithFields(logrus.Fields{"source": w.addr, "kind": string(w.kind), "reason": reason}).Info("source abandoned")
}

func (l *loop) close(slot **watch) {
	if *slot != nil {
		(*slot).cancel()
		*slot = nil
	}
}

func (l *loop) acknowledge() {
	for _, w := range []*watch{l.current, l.candidate} {
		if w != nil {
			w.acknowledge()
		}
	}
}

func randomBetween(low, high time.Duration) time.Duration {
	return low + rand.N(high-low+1)
}
