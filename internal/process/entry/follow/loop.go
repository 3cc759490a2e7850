package follow

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/ring"
	"github.com/fescuejunction/fescuejunction/internal/process/shared/feed"
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
	// The same while a relay answers that has no news: the relay searches too and
	// will push what it finds. All entries of a data centre are in this state
	// together while control has no quorum.
	minRelayedRetryDelay = 250 * time.Millisecond
	maxRelayedRetryDelay = time.Second
	// While there is no current source, a further candidate is opened in parallel
	// each hedgeDelay until one catches up, up to maxCandidates. After an outage
	// of all processes, a source may not listen yet.
	maxCandidates = 3
	hedgeDelay    = 300 * time.Millisecond
	// beatInterval is the longest time without a push to the followers of this
	// instance. It is above feed.PushInterval, so that beats are pushed only if no
	// counter arrives, and half of the time after which a source counts as silent.
	beatInterval = feed.StallTimeout / 2
	// Bounds of the delay before a source of a better rank is tried again.
	minUpgradeDelay = 3 * time.Second
	maxUpgradeDelay = 8 * time.Second
)

// loop chooses the source. It has at most one current watch. While it has none, it
// searches: it opens candidate watches, and keeps some of those whose source
// answers but has no news, so that news reaches it as soon as such a source has
// them. The first watch whose counter has caught up becomes the current one.
type loop struct {
	follower      *Follower
	events        *ring.Ring[event]
	current       *watch
	candidates    []*watch // on trial, in the order in which they were opened
	waiting       []*watch // of sources that answered without news; none while there is a current watch
	search        search
	lastOpened    time.Time // when the last candidate was opened
	failures      int       // consecutive failures
	nextOpenAt    time.Time
	nextUpgradeAt time.Time
	nextBeatAt    time.Time
}

func newLoop(f *Follower) *loop {
	now := f.now()
	return &loop{follower: f, events: ring.New[event](eventCapacity), search: newSearch(now, ""), nextBeatAt: now.Add(beatInterval)}
}

// run steps the loop and handles events until ctx ends.
func (l *loop) run(ctx context.Context) {
	defer l.closeAll()
	for ctx.Err() == nil {
		l.follower.recordStep()
		l.step(ctx, l.follower.now())
		timer := time.NewTimer(l.untilWake())
		select {
		case ev := <-l.events.C():
			l.follower.recordStep()
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

// step gives up the watches whose counter stopped and opens a candidate if one is
// due.
func (l *loop) step(ctx context.Context, now time.Time) {
	l.checkProgress(now)
	l.beat(now)
	switch {
	case l.current == nil:
		if at, ok := l.nextOpening(); ok && !now.Before(at) {
			l.openNext(ctx, now)
		}
	case len(l.candidates) == 0 && !now.Before(l.nextUpgradeAt):
		l.tryUpgrade(ctx, now)
	}
}

// beat pushes to the followers of this instance if nothing was pushed for
// beatInterval. It shows them that the instance answers, with or without news.
func (l *loop) beat(now time.Time) {
	if !now.Before(l.nextBeatAt) {
		l.nextBeatAt = now.Add(beatInterval)
		l.follower.hub.Wake()
	}
}

// nextOpening returns when another candidate may be opened while there is no
// current source, or false if there are enough candidates.
func (l *loop) nextOpening() (time.Time, bool) {
	if len(l.candidates) >= maxCandidates {
		return time.Time{}, false
	}
	if len(l.candidates) == 0 {
		return l.nextOpenAt, true
	}
	hedge := l.lastOpened.Add(hedgeDelay)
	for _, w := range l.candidates { // a second source would send the same pages
		if paged := w.progress.contentAt.Add(hedgeDelay); paged.After(hedge) {
			hedge = paged
		}
	}
	if hedge.After(l.nextOpenAt) {
		return hedge, true
	}
	return l.nextOpenAt, true
}

// checkProgress gives up the current watch and the candidates whose counter has
// not risen within counterTimeout, and abandons waiting watches that are silent.
func (l *loop) checkProgress(now time.Time) {
	followed := l.current != nil
	for _, w := range l.watches() {
		silent := now.Sub(w.heardAt) >= counterTimeout
		switch {
		case !slices.Contains(l.watches(), w): // closed for another one
		case slices.Contains(l.waiting, w):
			if silent {
				l.abandon(w, "source silent", now)
			}
		case now.Sub(w.progress.lastProgress) < counterTimeout:
		case silent:
			l.abandon(w, "counter stopped, source silent", now)
		default:
			l.await(w, "counter stopped", now)
		}
	}
	if followed && l.current == nil {
		l.nextOpenAt = now.Add(randomBetween(0, abandonJitter))
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
	for _, w := range l.waiting {
		earliest(w.heardAt.Add(counterTimeout))
	}
	for _, w := range l.candidates {
		earliest(w.progress.lastProgress.Add(counterTimeout))
	}
	earliest(l.nextBeatAt)
	if l.current != nil {
		earliest(l.current.progress.lastProgress.Add(counterTimeout))
		if len(l.candidates) == 0 {
			earliest(l.nextUpgradeAt)
		}
		return at
	}
	if open, ok := l.nextOpening(); ok {
		earliest(open)
	}
	return at
}

// watches returns all open watches.
func (l *loop) watches() []*watch {
	out := slices.Concat(l.candidates, l.waiting)
	if l.current != nil {
		out = append(out, l.current)
	}
	return out
}

// isOpen reports whether a watch follows an address.
func (l *loop) isOpen(addr string) bool {
	return slices.ContainsFunc(l.watches(), func(w *watch) bool { return w.addr == addr })
}

// openNext opens the next source of the search as a candidate.
func (l *loop) openNext(ctx context.Context, now time.Time) {
	pick, ok := l.search.next(l.follower.sources(), l.isOpen)
	if !ok {
		l.nextOpenAt = now.Add(maxRetryDelay)
		return
	}
	l.search.record(pick)
	l.open(ctx, pick, now)
}

// open opens a watch of a source as a candidate.
func (l *loop) open(ctx context.Context, s source, now time.Time) {
	l.candidates = append(l.candidates, l.follower.openWatch(ctx, s, l.events))
	l.lastOpened = now
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

// handleEvent handles an event of a watch. It checks the progress of all watches
// first: if this process was suspended, counters that were queued in its sockets
// are old and must not count as fresh.
func (l *loop) handleEvent(ev event, now time.Time) {
	l.checkProgress(now)
	w := ev.watch
	if !slices.Contains(l.watches(), w) {
		return // the watch was closed
	}
	if ev.err != nil {
		l.abandon(w, ev.err.Error(), now)
		return
	}
	w.heardAt = now
	outcome, pushed := l.follower.applyUpdate(&w.progress, ev.update, now)
	if pushed {
		l.nextBeatAt = now.Add(beatInterval)
	}
	if outcome == view.Paged {
		w.acknowledge() // the source sends the next page then
	}
	if outcome == view.Gap {
		l.abandon(w, "gap: update starts after the version held", now)
		return
	}
	switch {
	case w == l.current:
	case w.progress.caughtUp:
		l.promote(w, now)
	case ev.update.Stalled && slices.Contains(l.candidates, w):
		l.await(w, "source has no news", now)
	}
}

// promote makes a watch the current one and closes the others.
func (l *loop) promote(w *watch, now time.Time) {
	for _, other := range l.watches() {
		if other != w {
			other.cancel()
		}
	}
	fields := logrus.Fields{"source": w.addr, "kind": string(w.kind)}
	if l.current == nil {
		took := now.Sub(l.search.since)
		fields["search_ms"], fields["opened"] = took.Milliseconds(), l.search.opened()
		l.follower.cfg.Metrics.Timer("follow_search").Record(took)
	}
	l.current, l.candidates, l.waiting = w, nil, nil
	if w.session.Load() == 0 { // a watch that was current before the search keeps its session
		w.session.Store(l.follower.nextSession())
	}
	w.acknowledge()
	l.failures = 0
	l.nextUpgradeAt = now.Add(randomBetween(minUpgradeDelay, maxUpgradeDelay))
	l.follower.cfg.Metrics.Counter("follow_source_changes").Inc(1)
	l.follower.cfg.Log.WithFields(fields).Info("following source")
}

// await moves a watch whose source answers without news to the waiting ones, as
// far as keepWaiting allows. A watch that is not needed is closed.
func (l *loop) await(w *watch, reason string, now time.Time) {
	l.detach(w, now)
	w.progress.caughtUp = false
	var dropped []*watch
	if l.current != nil {
		dropped = []*watch{w}
	} else {
		l.waiting, dropped = keepWaiting(l.follower.sources(), append(l.waiting, w))
	}
	for _, d := range dropped {
		d.cancel()
	}
	l.scheduleRetry(now)
	l.follower.cfg.Log.WithFields(w.logFields(reason, now)).WithField("waiting", slices.Contains(l.waiting, w)).Info("source without news")
}

// abandon closes a watch that failed.
func (l *loop) abandon(w *watch, reason string, now time.Time) {
	l.detach(w, now)
	w.cancel()
	l.scheduleRetry(now)
	l.follower.cfg.Metrics.Counter("follow_sources_abandoned").Inc(1)
	l.follower.cfg.Log.WithFields(w.logFields(reason, now)).Info("source abandoned")
}

// detach removes a watch from the loop. Without the current watch, a search begins.
func (l *loop) detach(w *watch, now time.Time) {
	if w == l.current {
		l.current, l.failures = nil, 0
		l.search = newSearch(now, w.addr)
	}
	isWatch := func(other *watch) bool { return other == w }
	l.candidates = slices.DeleteFunc(l.candidates, isWatch)
	l.waiting = slices.DeleteFunc(l.waiting, isWatch)
}

// scheduleRetry sets when the next candidate may be opened after a failure.
func (l *loop) scheduleRetry(now time.Time) {
	l.failures++
	shortest, longest := minRetryDelay, maxRetryDelay
	if slices.ContainsFunc(l.waiting, func(w *watch) bool { return w.kind == fromRelay }) {
		shortest, longest = minRelayedRetryDelay, maxRelayedRetryDelay
	}
	delay := min(longest, shortest<<min(l.failures-1, 5))
	l.nextOpenAt = now.Add(randomBetween(delay/2, delay))
}

func (l *loop) closeAll() {
	for _, w := range l.watches() {
		w.cancel()
	}
	l.current, l.candidates, l.waiting = nil, nil, nil
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
