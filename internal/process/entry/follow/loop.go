package follow

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/ring"
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
	// Without a source in use, another candidate is opened beside those that have
	// not confirmed their counter for hedgeAfter: after all processes were down, a
	// source may not listen yet or not know a leader.
	maxCandidates = 3
	hedgeAfter    = 300 * time.Millisecond
	// Delays before a better kind of source is tried again.
	minUpgrade = 3 * time.Second
	maxUpgrade = 8 * time.Second
)

// loop chooses the source. It has one watch in use and tries candidates, the
// first of which is taken into use whose counter keeps up.
type loop struct {
	f          *Follower
	events     *ring.Ring[event]
	current    *watch
	candidates []*watch  // in the order in which they were opened
	openedAt   time.Time // of the last candidate
	next       int       // position in the plan of the next candidate
	stopped    string    // address of the source abandoned last, which is tried last
	failures   int       // in a row
	openAt     time.Time
	upgradeAt  time.Time
}

func newLoop(f *Follower) *loop {
	return &loop{f: f, events: ring.New[event](eventCapacity)}
}

func (l *loop) run(ctx context.Context) {
	defer l.closeAll()
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
	switch {
	case l.current == nil:
		if at, ok := l.nextOpening(); ok && !now.Before(at) {
			l.openNext(ctx, now)
		}
	case len(l.candidates) == 0 && !now.Before(l.upgradeAt):
		l.tryBetter(ctx, now)
	}
}

// nextOpening returns when another candidate may be opened while no source is
// in use, or false if there are enough.
func (l *loop) nextOpening() (time.Time, bool) {
	if len(l.candidates) == 0 {
		return l.openAt, true
	}
	if len(l.candidates) >= min(maxCandidates, len(l.f.sources())) {
		return time.Time{}, false
	}
	if hedge := l.openedAt.Add(hedgeAfter); hedge.After(l.openAt) {
		return hedge, true
	}
	return l.openAt, true
}

// expire abandons watches whose counter stopped.
func (l *loop) expire(now time.Time) {
	if l.current != nil && now.Sub(l.current.counters.progress) >= abandonAfter {
		l.abandon(l.current, "counter stopped", now)
		l.openAt = now.Add(randomBetween(0, abandonJitter))
	}
	for _, w := range slices.Clone(l.candidates) {
		if now.Sub(w.counters.progress) >= abandonAfter {
			l.abandon(w, "counter did not advance", now)
		}
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
	for _, w := range l.watches() {
		earliest(w.counters.progress.Add(abandonAfter))
	}
	if l.current != nil {
		if len(l.candidates) == 0 {
			earliest(l.upgradeAt)
		}
	} else if open, ok := l.nextOpening(); ok {
		earliest(open)
	}
	return at
}

// watches returns the watch in use and the candidates.
func (l *loop) watches() []*watch {
	if l.current == nil {
		return l.candidates
	}
	return append([]*watch{l.current}, l.candidates...)
}

func (l *loop) openNext(ctx context.Context, now time.Time) {
	plan := l.f.sources()
	for range plan {
		pick := plan[l.next%len(plan)]
		l.next++
		if !l.tries(pick.addr) && (pick.addr != l.stopped || len(plan) == 1) {
			l.open(ctx, pick, now)
			return
		}
	}
	l.openAt = now.Add(maxRetry)
}

// tries reports whether a candidate follows an address.
func (l *loop) tries(addr string) bool {
	return slices.ContainsFunc(l.candidates, func(w *watch) bool { return w.addr == addr })
}

func (l *loop) open(ctx context.Context, s source, now time.Time) {
	l.candidates = append(l.candidates, l.f.openWatch(ctx, s, l.events))
	l.openedAt = now
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
	l.open(ctx, plan[rand.IntN(best)], now)
}

// handle takes an event. Watches expire first: after this process was
// frozen, the counters that waited in its socket are old.
func (l *loop) handle(ev event, now time.Time) {
	l.expire(now)
	if !slices.Contains(l.watches(), ev.w) {
		return // the watch was closed
	}
	if ev.err != nil {
		l.abandon(ev.w, ev.err.Error(), now)
		return
	}
	if l.f.take(&ev.w.counters, ev.u, now) == view.Gap {
		l.abandon(ev.w, "update starts beyond the version held", now)
		return
	}
	if ev.w != l.current && ev.w.counters.level {
		l.promote(ev.w, now)
	}
}

// promote takes a candidate into use and closes the other watches.
func (l *loop) promote(w *watch, now time.Time) {
	for _, other := range l.watches() {
		if other != w {
			other.cancel()
		}
	}
	l.current, l.candidates = w, nil
	l.current.session.Store(l.f.nextSession())
	l.current.acknowledge()
	l.next, l.failures = 0, 0
	l.upgradeAt = now.Add(randomBetween(minUpgrade, maxUpgrade))
	l.f.cfg.Metrics.Counter("follow_source_changes").Inc(1)
	l.f.cfg.Log.WithFields(logrus.Fields{"source": l.current.addr, "kind": string(l.current.kind)}).Info("following source")
}

// abandon closes a watch and plans the next one.
func (l *loop) abandon(w *watch, reason string, now time.Time) {
	if w == l.current {
		l.stopped = w.addr
	} else if l.stopped != "" && l.next >= len(l.f.sources()) {
		l.stopped = "" // every other source was tried
	}
	l.close(w)
	l.failures++
	delay := min(maxRetry, minRetry<<min(l.failures-1, 5))
	l.openAt = now.Add(randomBetween(delay/2, delay))
	l.f.cfg.Metrics.Counter("follow_sources_abandoned").Inc(1)
	l.f.cfg.Log.WithFields(logrus.Fields{"source": w.addr, "kind": string(w.kind), "reason": reason}).Info("source abandoned")
}

func (l *loop) close(w *watch) {
	w.cancel()
	if w == l.current {
		l.current = nil
		return
	}
	l.candidates = slices.DeleteFunc(l.candidates, func(c *watch) bool { return c == w })
}

func (l *loop) closeAll() {
	for _, w := range slices.Clone(l.watches()) {
		l.close(w)
	}
}

func (l *loop) acknowledge() {
	for _, w := range l.watches() {
		w.acknowledge()
	}
}

func randomBetween(low, high time.Duration) time.Duration {
	return low + rand.N(high-low+1)
}
