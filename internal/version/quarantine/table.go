package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
)

const (
	// maxRecords bounds the suspects of a table: those of the replicated state and as
	// many that only this entry knows.
	maxRecords = 2 * MaxSuspects
	// ownTrialPeriod is after which time an entry makes a trial of its own for a
	// replicated suspect that no control leader handles any more.
	ownTrialPeriod = 3 * Period
	// ClaimTimeout is how long a request waits for the trial that its entry claims. The
	// claim needs a commit and the version that results from it.
	ClaimTimeout = time.Second
)

// Table holds the suspects that an entry knows: those of the replicated state, and
// those of its own evidence, which it acts on at once and also while it cannot reach
// control. It is safe for concurrent use.
type Table struct {
	instance string
	active   atomic.Bool // there is at least one suspect

	mu      sync.Mutex
	records map[Fingerprint]*record
}

// record is what the table knows about a suspect.
type record struct {
	replicated *fescuepb.Suspect // nil if the replicated state does not have it
	own        []string          // crashes of the own evidence that replicated lacks, or lacked
	since      time.Time         // last change
	claimedAt  time.Time         // when this entry last claimed the trial that is due
	usedTrial  uint32            // number of the last granted trial that was used here
	ownTrials  uint32            // trials that this entry made without a grant
}

// NewTable returns an empty table of the entry with this instance name.
func NewTable(instance string) *Table {
	return &Table{instance: instance, records: map[Fingerprint]*record{}}
}

// Active reports whether there is any suspect. While there is none, no request
// needs a fingerprint.
func (t *Table) Active() bool { return t.active.Load() }

// Verdict is the decision about a request.
type Verdict struct {
	Crashes    int           // processes of targets that crashed under such requests
	Refused    bool          // the request must not be sent
	RetryAfter time.Duration // when a refused caller should come back
	Trial      bool          // the request is sent on trial
}

// Check returns the verdict for a request that may be sent later.
func (t *Table) Check(now time.Time, f Fingerprint) Verdict { return t.verdict(now, f, false) }

// Send returns the verdict for a request that is sent now unless it is refused. It
// uses up the trial of a request that is sent on trial.
func (t *Table) Send(now time.Time, f Fingerprint) Verdict { return t.verdict(now, f, true) }

func (t *Table) verdict(now time.Time, f Fingerprint, send bool) Verdict {
	if !t.Active() {
		return Verdict{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	if r == nil {
		return Verdict{}
	}
	if r.outdated(now) {
		t.deleteLocked(f)
		return Verdict{}
	}
	v := Verdict{Crashes: r.crashes()}
	if !r.quarantined() {
		return v
	}
	if v.Trial = r.takeTrial(now, t.instance, send); v.Trial {
		return v
	}
	v.Refused, v.RetryAfter = true, ClaimTimeout
	if !r.replicated.GetTrialDue() {
		v.RetryAfter = max(r.since.Add(Period).Sub(now), ClaimTimeout)
	}
	return v
}

// Claim reports whether the entry should claim the trial that is due for a refused
// request and let the request wait for it. Only one request at a time does so.
func (t *Table) Claim(now time.Time, f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	if r == nil || !r.replicated.GetTrialDue() || now.Sub(r.claimedAt) < ClaimTimeout {
		return false
	}
	r.claimedAt = now
	return true
}

// crashes returns the number of distinct crashes.
func (r *record) crashes() int {
	n := len(r.replicated.GetCrashes())
	for _, c := range r.own {
		if !slices.Contains(r.replicated.GetCrashes(), c) {
			n++
		}
	}
	return n
}

// quarantined reports whether the request is quarantined. Crashes of the own evidence
// that the replicated state lacks are not explained there.
func (r *record) quarantined() bool {
	n := r.crashes()
	return n >= CrashesToQuarantine && (r.replicated.GetExplainedBy() == "" || n > len(r.replicated.GetCrashes()))
}

// outdated reports whether a record of own evidence only has been unchanged for too
// long. The control leader removes those of the replicated state.
func (r *record) outdated(now time.Time) bool {
	limit := Period
	if r.quarantined() {
		limit = MaxAge
	}
	return r.replicated == nil && now.Sub(r.since) >= limit
}

// takeTrial reports whether a request may be sent on trial, and uses the trial up if
// use is set.
func (r *record) takeTrial(now time.Time, instance string, use bool) bool {
	if s := r.replicated; s.GetTrial() == instance && s.GetTrials() > r.usedTrial {
		if use {
			r.usedTrial = s.Trials
		}
		return true
	}
	period := Period
	if r.replicated != nil {
		period = ownTrialPeriod
	}
	if now.Sub(r.since) < period || r.replicated.GetTrials()+r.ownTrials >= MaxTrials {
		return false
	}
	if use {
		r.ownTrials++
		r.since = now
	}
	return true
}

// Crashed records that a request was in flight at the crash of a target's process.
// It returns the number of crashes so far, and whether this one is new.
func (t *Table) Crashed(now time.Time, f Fingerprint, target string) (crashes int, added bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	if r == nil || r.outdated(now) {
		t.makeRoomLocked()
		r = &record{}
		t.records[f] = r
		t.active.Store(true)
	}
	known := slices.Contains(r.own, target) || slices.Contains(r.replicated.GetCrashes(), target)
	if !known && len(r.own) < maxCrashes {
		r.own, r.since, added = append(r.own, target), now, true
	}
	return r.crashes(), added
}

// makeRoomLocked removes the record of own evidence that is unchanged longest, if
// the table is full. Quarantined ones are removed last.
func (t *Table) makeRoomLocked() {
	if len(t.records) < maxRecords {
		return
	}
	var oldest Fingerprint
	var first *record
	for f, r := range t.records {
		if r.replicated == nil && (first == nil || r.before(first)) {
			oldest, first = f, r
		}
	}
	t.deleteLocked(oldest)
}

// before reports whether r is removed earlier than o if there is no room.
func (r *record) before(o *record) bool {
	a, b := r.quarantined(), o.quarantined()
	if a != b {
		return b
	}
	return r.since.Before(o.since)
}

// Answered records that a target has answered a request. It reports whether the
// request was a suspect, which it is not any more.
func (t *Table) Answered(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.records[f] != nil
	t.deleteLocked(f)
	return known
}

// ReturnTrial gives back a trial of a request that was not sent after all.
func (t *Table) ReturnTrial(f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	if r == nil {
		return
	}
	if s := r.replicated; s.GetTrial() == t.instance && r.usedTrial == s.GetTrials() {
		r.usedTrial--
	}
}

// Apply takes over the suspects of the replicated state. Suspects that are no longer
// in it are not suspect any more. It returns those that are quarantined since.
func (t *Table) Apply(now time.Time, suspects []*fescuepb.Suspect) (quarantined []*fescuepb.Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := map[Fingerprint]bool{}
	for _, s := range suspects {
		f, ok := ParseFingerprint(s.Id)
		if !ok {
			continue
		}
		current[f] = true
		if t.applyLocked(now, f, s) {
			quarantined = append(quarantined, s)
		}
	}
	for f, r := range t.records {
		if r.replicated != nil && !current[f] {
			delete(t.records, f)
		}
	}
	t.active.Store(len(t.records) > 0)
	return quarantined
}

// applyLocked takes over one suspect and reports whether it is quarantined since.
func (t *Table) applyLocked(now time.Time, f Fingerprint, s *fescuepb.Suspect) bool {
	r := t.records[f]
	if r == nil {
		r = &record{}
		t.records[f] = r
	}
	before := r.replicated
	if before.GetChangedVersion() == s.ChangedVersion {
		return false
	}
	r.replicated, r.since = s, now
	return Quarantined(s) && !Quarantined(before)
}

func (t *Table) deleteLocked(f Fingerprint) {
	delete(t.records, f)
	t.active.Store(len(t.records) > 0)
}

// Event is evidence that an entry passes on, or its claim of a trial. One of the
// fields beside the fingerprint is set.
type Event struct {
	Fingerprint Fingerprint
	Crash       string // process of a target that crashed under the request
	Answered    bool   // a target has answered the request
	Claim       bool   // the entry claims the trial that is due
}

// Len returns the number of suspects.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}
