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
	eventCapacity = 16 // of the queue of events from the watches to the loop
	// abandonJitter spreads over time the reconnections of the followers of a
	// failed source.
	abandonJitter = 100 * time.Millisecond
	// Bounds of the delay before the next source is tried after a failure. The
	// delay doubles with each consecutive failure.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// While there is no current source, a further candidate is opened in parallel
	// each hedgeDelay until one catches up, up to maxCandidates. After an outage
	// of all processes, a source may not listen yet or may not know a leader.
	maxCandidates = 3
	hedgeDelay    = 300 * time.Millisecond
	// Bounds of the delay before a source of a better rank is tried again.
	minUpgradeDelay = 3 * time.Second
	maxUpgradeDelay = 8 * time.Second
)

// loop chooses the source. It has at most one current watch and opens candidate
// watches. The first candidate whose counter has caught up becomes the current
// watch.
type loop struct {
	follower      *Follower
	events        *ring.Ring[event]
	current       *watch
	candidates    []*watch  // in the order in which they were opened
	lastOpened    time.Time // when the last candidate was opened
	nextIndex     int       // index of the next candidate in the plan
	lastAbandoned string    // address of the last current source that was abandoned; it is tried after all others
	failures      int       // consecutive failures
	nextOpenAt    time.Time
	nextUpgradeAt time.Time
	searchSince   time.Time // when the loop last had no current source
	searchOpened  int       // candidates opened since then
}

func newLoop(f *Follower) *loop {
	return &loop{follower: f, events: ring.New[event](eventCapacity), searchSince: f.now()}
}

// run steps the loop and handles events until ctx ends.
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

// untilWake returns how long the loop may wait for an event before step must run
// again.
func (l *loop) untilWake() time.Duration {
	now := l.follower.now()
	return l.nextStepAt(now).Sub(now)
}

// step abandons the watches whose counter stopped and opens a candidate if one is
// due.
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

// nextOpening returns when another candidate may be opened while there is no
// current source, or false if there are enough candidates.
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

// abandonStale abandons the watches whose counter has not risen within
// counterTimeout.
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

// nextStepAt returns when step must run again if there is no event.
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

// watches returns the current watch, if there is one, and the candidates.
func (l *loop) watches() []*watch {
	if l.current == nil {
		return l.candidates
	}
	return append([]*watch{l.current}, l.candidates...)
}

// openNext opens the next source of the plan as a candidate. It skips sources that
// are candidates already, and the source abandoned last unless it is the only one.
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

// isCandidate reports whether a candidate watch follows an address.
func (l *loop) isCandidate(addr string) bool {
	return slices.ContainsFunc(l.candidates, func(w *watch) bool { return w.addr == addr })
}

// open opens a watch of a source as a candidate.
func (l *loop) open(ctx context.Context, s source, now time.Time) {
	l.candidates = append(l.candidates, l.follower.openWatch(ctx, s, l.events))
	l.lastOpened = now
	l.searchOpened++
}

// tryUpgrade opens a candidate of the best rank if the current source has another
// rank, for example after the relays of the data centre have changed.
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

// handleEvent handles an event of a watch. It abandons stale watches first: if
// this process was suspended, counters that were queued in its sockets are old
// and must not count as fresh.
func (l *loop) handleEvent(ev event, now time.Time) {
	l.abandonStale(now)
	if !slices.Contains(l.watches(), ev.watch) {
		return // the watch was closed
	}
	if ev.err != nil {
		l.abandon(ev.watch, ev.err.Error(), now)
		return
	}
	ev.watch.heardAt = now
	if l.follower.applyUpdate(&ev.watch.progress, ev.update, now) == view.Gap {
		l.abandon(ev.watch, "gap: update starts after the version held", now)
		return
	}
	if ev.watch != l.current && ev.watch.progress.caughtUp {
		l.promote(ev.watch, now)
	}
}

// promote makes a candidate the current watch and closes the other watches.
func (l *loop) promote(w *watch, now time.Time) {
	for _, other := range l.watches() {
		if other != w {
			other.cancel()
		}
	}
	fields := logrus.Fields{"source": w.addr, "kind": string(w.kind), "opened": l.searchOpened}
	if l.current == nil {
		fields["search_ms"] = now.Sub(l.searchSince).Milliseconds()
		l.follower.cfg.Metrics.Timer("follow_search").Record(now.Sub(l.searchSince))
	}
	l.current, l.candidates, l.searchOpened = w, nil, 0
	l.current.session.Store(l.follower.nextSession())
	l.current.acknowledge()
	l.nextIndex, l.failures = 0, 0
	l.nextUpgradeAt = now.Add(randomBetween(minUpgradeDelay, maxUpgradeDelay))
	l.follower.cfg.Metrics.Counter("follow_source_changes").Inc(1)
	l.follower.cfg.Log.WithFields(fields).Info("following source")
}

// abandon closes a watch and sets the time at which the next one may be opened.
func (l *loop) abandon(w *watch, reason string, now time.Time) {
	if w == l.current {
		l.lastAbandoned = w.addr
		l.searchSince, l.searchOpened = now, 0
	} else if l.lastAbandoned != "" && l.nextIndex >= len(l.follower.sources()) {
		l.lastAbandoned = "" // every other source has been tried
	}
	l.close(w)
	l.failures++
	delay := min(maxRetryDelay, minRetryDelay<<min(l.failures-1, 5))
	l.nextOpenAt = now.Add(randomBetween(delay/2, delay))
	l.follower.cfg.Metrics.Counter("follow_sources_abandoned").Inc(1)
	fields := logrus.Fields{
		"source": w.addr, "kind": string(w.kind), "reason": reason,
		"counter": w.progress.lastCounter, "stood_ms": now.Sub(w.progress.lastProgress).Milliseconds(),
	}
	if !w.heardAt.IsZero() {
		fields["heard_ms"] = now.Sub(w.heardAt).Milliseconds()
	}
	l.follower.cfg.Log.WithFields(fields).Info("source abandoned")
}

// close closes the current watch or a candidate.
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

// acknowledge makes every watch send an acknowledgement.
func (l *loop) acknowledge() {
	for _, w := range l.watches() {
		w.acknowledge()
	}
}

// randomBetween returns a random duration from low to high, both included.
func randomBetween(low, high time.Duration) time.Duration {
	return low + rand.N(high-low+1)
}
