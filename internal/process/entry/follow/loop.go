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
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// Without a source in use, another candidate is opened beside those that have
	// not confirmed their counter for hedgeAfter: after all processes were down, a
	// source may not listen yet or not know a leader.
	maxCandidates = 3
	hedgeDelay    = 300 * time.Millisecond
	// Delays before a better kind of source is tried again.
	minUpgradeDelay = 3 * time.Second
	maxUpgradeDelay = 8 * time.Second
)

// loop chooses the source. It has one watch in use and tries candidates, the
// first of which is taken into use whose counter keeps up.
type loop struct {
	follower      *Follower
	events        *ring.Ring[event]
	current       *watch
	candidates    []*watch  // in the order in which they were opened
	lastOpened    time.Time // of the last candidate
	nextIndex     int       // position in the plan of the next candidate
	lastAbandoned string    // address of the source abandoned last, which is tried last
	failures      int       // in a row
	nextOpenAt    time.Time
	nextUpgradeAt time.Time
}

func newLoop(f *Follower) *loop {
	return &loop{follower: f, events: ring.New[event](eventCapacity)}
}

func (l *loop) run(ctx context.Context) {
	defer l.closeAll()
	for ctx.Err() == nil {
		l.step(ctx, l.follower.now())
		timer := time.NewTimer(l.untilWake())
		select {
		case ev := <-l.events.C():
			l.handleEvent(ev, l.follower.now())
		case <-l.follower.ackNeeded:
			l.acknowledge()
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// untilWake returns how long step need not run without an event.
func (l *loop) untilWake() time.Duration {
	now := l.follower.now()
	return l.nextStepAt(now).Sub(now)
}

// step abandons watches whose counter stopped and opens the next one.
func (l *loop) step(ctx context.Context, now time.Time) {
	l.abandonStale(now)
	switch {
	case l.current == nil:
		if at, ok := l.nextOpening(); ok && !now.Before(at) {
			l.openNext(ctx, now)
		}
	case len(l.candidates) == 0 && !now.Before(l.nextUpgradeAt):
		l.tryUpgrade(ctx, now)
	}
}

// nextOpening returns when another candidate may be opened while no source is
// in use, or false if there are enough.
func (l *loop) nextOpening() (time.Time, bool) {
	if len(l.candidates) == 0 {
		return l.nextOpenAt, true
	}
	if len(l.candidates) >= min(maxCandidates, len(l.follower.sources())) {
		return time.Time{}, false
	}
	if hedge := l.lastOpened.Add(hedgeDelay); hedge.After(l.nextOpenAt) {
		return hedge, true
	}
	return l.nextOpenAt, true
}

// expire abandons watches whose counter stopped.
func (l *loop) abandonStale(now time.Time) {
	if l.current != nil && now.Sub(l.current.progress.lastProgress) >= counterTimeout {
		l.abandon(l.current, "counter stopped", now)
		l.nextOpenAt = now.Add(randomBetween(0, abandonJitter))
	}
	for _, w := range slices.Clone(l.candidates) {
		if now.Sub(w.progress.lastProgress) >= counterTimeout {
			l.abandon(w, "counter did not advance", now)
		}
	}
}

// wakeAt returns when step must run again without an event.
func (l *loop) nextStepAt(now time.Time) time.Time {
	at := now.Add(maxUpgradeDelay)
	earliest := func(t time.Time) {
		if t.Before(at) {
			at = t
		}
	}
	for _, w := range l.watches() {
		earliest(w.progress.lastProgress.Add(counterTimeout))
	}
	if l.current != nil {
		if len(l.candidates) == 0 {
			earliest(l.nextUpgradeAt)
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
	plan := l.follower.sources()
	for range plan {
		pick := plan[l.nextIndex%len(plan)]
		l.nextIndex++
		if !l.isCandidate(pick.addr) && (pick.addr != l.lastAbandoned || len(plan) == 1) {
			l.open(ctx, pick, now)
			return
		}
	}
	l.nextOpenAt = now.Add(maxRetryDelay)
}

// tries reports whether a candidate follows an address.
func (l *loop) isCandidate(addr string) bool {
	return slices.ContainsFunc(l.candidates, func(w *watch) bool { return w.addr == addr })
}

func (l *loop) open(ctx context.Context, s source, now time.Time) {
	l.candidates = append(l.candidates, l.follower.openWatch(ctx, s, l.events))
	l.lastOpened = now
}

// tryBetter opens a candidate of the best rank if the current source has
// another one, for example after the relays of the data centre changed.
func (l *loop) tryUpgrade(ctx context.Context, now time.Time) {
	l.nextUpgradeAt = now.Add(randomBetween(minUpgradeDelay, maxUpgradeDelay))
	plan := l.follower.sources()
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
func (l *loop) handleEvent(ev event, now time.Time) {
	l.abandonStale(now)
	if !slices.Contains(l.watches(), ev.watch) {
		return // the watch was closed
	}
	if ev.err != nil {
		l.abandon(ev.watch, ev.err.Error(), now)
		return
	}
	if l.follower.applyUpdate(&ev.watch.progress, ev.update, now) == view.Gap {
		l.abandon(ev.watch, "update starts beyond the version held", now)
		return
	}
	if ev.watch != l.current && ev.watch.progress.caughtUp {
		l.promote(ev.watch, now)
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
	l.current.session.Store(l.follower.nextSession())
	l.current.acknowledge()
	l.nextIndex, l.failures = 0, 0
	l.nextUpgradeAt = now.Add(randomBetween(minUpgradeDelay, maxUpgradeDelay))
	l.follower.cfg.Metrics.Counter("follow_source_changes").Inc(1)
	l.follower.cfg.Log.WithFields(logrus.Fields{"source": l.current.addr, "kind": string(l.current.kind)}).Info("following source")
}

// abandon closes a watch and plans the next one.
func (l *loop) abandon(w *watch, reason string, now time.Time) {
	if w == l.current {
		l.lastAbandoned = w.addr
	} else if l.lastAbandoned != "" && l.nextIndex >= len(l.follower.sources()) {
		l.lastAbandoned = "" // every other source was tried
	}
	l.close(w)
	l.failures++
	delay := min(maxRetryDelay, minRetryDelay<<min(l.failures-1, 5))
	l.nextOpenAt = now.Add(randomBetween(delay/2, delay))
	l.follower.cfg.Metrics.Counter("follow_sources_abandoned").Inc(1)
	l.follower.cfg.Log.WithFields(logrus.Fields{"source": w.addr, "kind": string(w.kind), "reason": reason}).Info("source abandoned")
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
