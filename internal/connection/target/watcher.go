package target

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/connection/platform"
	"github.com/fescuejunction/fescuejunction/internal/version/membership"
	"github.com/sirupsen/logrus"
)

// Intervals and limits of reading the list and of probing. A target that starts
// to leave is detected within one probe interval plus the response time of one
// probe.
const (
	listInterval  = 500 * time.Millisecond
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 2 * time.Second
	maxProbeBytes = 16 << 10
	// reportFreshFor is how long a load report is used, from the time at which
	// its probe was sent.
	reportFreshFor = 3 * time.Second
)

// Watcher tracks the status and the load of the targets of one data centre.
type Watcher struct {
	DataCentre string
	Platform   *platform.Client
	HTTP       *http.Client
	Log        *logrus.Entry
	// Pausing reports whether the target at an address wants no requests for a
	// while. It is not probed then, and counts as answering. Nil means never.
	Pausing func(id, addr string) bool
	// Changed is called after a target was added, was removed or changed.
	Changed func()

	mu          sync.Mutex
	table       *membership.Table
	targets     map[membership.Key]*targetState // all targets whose state is not Gone
	loadReports map[membership.Key]loadReport
	listRead    bool // the list has been read at least once
}

// targetState is a target in the last merged view of the list and the probes.
type targetState struct {
	Target
	incarnation string // of the process; empty if the target states none
}

type loadReport struct {
	load float64   // as in Target.ReportedLoad
	sent time.Time // when the probe was sent
}

// Run reads the list and probes the targets periodically until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	w.reset()
	go runEvery(ctx, listInterval, func() { w.pollList(ctx) })
	runEvery(ctx, probeInterval, func() { w.probeAll(ctx) })
}

func (w *Watcher) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table = membership.New()
	w.targets = map[membership.Key]*targetState{}
	w.loadReports = map[membership.Key]loadReport{}
}

func runEvery(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Targets returns the targets of a service, sorted by ID.
func (w *Watcher) Targets(service string) []Target {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []Target
	for k, s := range w.targets {
		if s.Service == service {
			t := s.Target
			t.ReportedLoad = w.freshLoad(k, now)
			out = append(out, t)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

func (w *Watcher) freshLoad(k membership.Key, now time.Time) float64 {
	r, ok := w.loadReports[k]
	if !ok || now.Sub(r.sent) >= reportFreshFor {
		return unknownLoad
	}
	return r.load
}

// Listed reports whether the platform's list has been read since Run began.
func (w *Watcher) Listed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listRead
}

func (w *Watcher) pollList(ctx context.Context) {
	listCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	list, err := w.Platform.Fetch(listCtx)
	if err != nil {
		if ctx.Err() == nil {
			w.Log.WithError(err).Warn("platform list cannot be read; the last one stays in use")
		}
		return
	}
	var local []membership.ListedInstance
	for _, inst := range list {
		if inst.Role == membership.RoleTarget && inst.DataCentre == w.DataCentre {
			local = append(local, inst)
		}
	}
	changed := w.update(cause{reason: "platform list"}, func(t *membership.Table) { w.listRead = true; t.ApplyList(local) })
	if changed {
		w.probeAll(ctx) // probe new targets without waiting for the next interval
	}
}

// reasonNoAnswer is the reason logged for a change that is caused by missing
// answers to probes.
const reasonNoAnswer = "no recent answer to probes"

// cause is the event that changes the table: a new list or a probe of one
// target.
type cause struct {
	key    membership.Key // of the probed target; zero for other events
	reason string
}

// reasonFor returns the reason to log for a change of target k. A probe of one
// target can change another one only because the answers of that one expired.
func (c cause) reasonFor(k membership.Key) string {
	if c.key != k && c.key != (membership.Key{}) {
		return reasonNoAnswer
	}
	return c.reason
}

// update calls change with the table, applies the merged view to the targets
// and reports whether a target changed.
func (w *Watcher) update(c cause, change func(*membership.Table)) bool {
	w.mu.Lock()
	change(w.table)
	changed := w.applyView(time.Now(), c)
	w.mu.Unlock()
	if changed {
		w.Changed()
	}
	return changed
}

// applyView updates the targets from the merged view and reports whether a
// target changed. The caller holds w.mu.
func (w *Watcher) applyView(now time.Time, c cause) bool {
	changed := false
	present := map[membership.Key]bool{}
	for _, inst := range w.table.View(now) {
		if inst.State == membership.Gone {
			continue
		}
		k := membership.Key{ID: inst.ID, Address: inst.Address}
		present[k] = true
		changed = w.applyInstance(k, inst, now, c.reasonFor(k)) || changed
	}
	for k, s := range w.targets {
		if !present[k] {
			w.logTarget(s).WithFields(logrus.Fields{"from": s.Status.String(), "reason": c.reasonFor(k)}).Info("target removed")
			delete(w.targets, k)
			delete(w.loadReports, k)
			changed = true
		}
	}
	return changed
}

// applyInstance updates the target of one instance and reports whether it
// changed. HealthySince starts anew when the target becomes healthy or its
// process was replaced, so that slow start applies.
func (w *Watcher) applyInstance(k membership.Key, inst membership.Instance, now time.Time, reason string) bool {
	s, known := w.targets[k]
	if !known {
		s = &targetState{Target: Target{ID: inst.ID, Service: inst.Service, Addr: inst.Address, Status: Down}}
		w.targets[k] = s
		w.logTarget(s).Info("target added")
	}
	before := s.Target
	s.Service, s.Slots, s.Status, s.Incarnation = inst.Service, inst.Slots, statusOf(inst.State), inst.Process
	replaced := s.incarnation != "" && inst.Incarnation != s.incarnation
	s.incarnation = inst.Incarnation
	if s.Status == Healthy && (before.Status != Healthy || replaced) {
		s.HealthySince = now
	}
	if s.Status != before.Status {
		w.logTarget(s).WithFields(logrus.Fields{"from": before.Status.String(), "to": s.Status.String(), "reason": reason}).Info("target changed")
	}
	return !known || s.Target != before
}

func (w *Watcher) logTarget(s *targetState) *logrus.Entry {
	return w.Log.WithFields(logrus.Fields{"target": s.ID, "service": s.Service, "addr": s.Addr})
}
