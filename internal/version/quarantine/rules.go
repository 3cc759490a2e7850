// Package quarantine decides which requests are no longer sent to targets because
// targets crash under them. It is pure: evidence and a time in, a decision out.
//
// A request is known by its fingerprint, which is the same whenever the request
// comes again. A fingerprint that was in flight at the crash of a target is a
// suspect. One that was in flight at CrashesToQuarantine of them is quarantined
// until one request on trial is answered, or until it is forgotten, unless another
// suspect explains these crashes. Any answer of a target clears a suspect.
package quarantine

import (
	"slices"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
)

const (
	// CrashesToQuarantine is the number of processes of targets that crash under a
	// request before it is quarantined. Other requests in flight beside one that
	// crashes targets are suspects as well, and they are rarely beside it three times
	// without an answer in between.
	CrashesToQuarantine = 3
	// MaxTrials bounds the requests on trial for a suspect, over all entries.
	MaxTrials = 3
	// Period is how long a quarantine lasts until a trial may be claimed. It is also
	// how long a suspect that is not quarantined is remembered after its last crash.
	Period = 10 * time.Minute
	// MaxAge is how long a quarantine is remembered that no trial ends, because its
	// trials are used up or no such request comes.
	MaxAge = 24 * time.Hour
	// MaxSuspects bounds the suspects in the replicated state.
	MaxSuspects = 512
	// maxCrashes bounds the crashes that are recorded for a suspect. Copies of a request
	// that are in flight when it is quarantined crash further targets; these crashes are
	// needed to explain those of the requests beside it.
	maxCrashes = 16
)

// Quarantined reports whether a suspect is quarantined.
func Quarantined(s *fescuepb.Suspect) bool {
	return len(s.GetCrashes()) >= CrashesToQuarantine && s.ExplainedBy == ""
}

// ExplainedBy returns the suspect that was in flight at all crashes of s and at further
// ones, or "". After a crash, the requests that were in flight are sent again, often to
// the same target, so one that crashes nothing may be there three times. The one that
// crashes targets is there at every crash. If s crashes targets all the same, its next
// crash is not explained, because the other one is not sent any more.
func ExplainedBy(s *fescuepb.Suspect, all map[string]*fescuepb.Suspect) string {
	if len(s.Crashes) < CrashesToQuarantine {
		return ""
	}
	found := ""
	for id, other := range all {
		if len(other.Crashes) > len(s.Crashes) && (found == "" || id < found) && containsAll(other.Crashes, s.Crashes) {
			found = id
		}
	}
	return found
}

// containsAll reports whether all elements of part are in list.
func containsAll(list, part []string) bool {
	return !slices.ContainsFunc(part, func(s string) bool { return !slices.Contains(list, s) })
}

// AddCrash adds the crash of a target's process to the suspect and ends a trial that
// was in progress. It returns false, without a change, if the crash is recorded
// already or no more can be.
func AddCrash(s *fescuepb.Suspect, target string) bool {
	if len(s.Crashes) >= maxCrashes || slices.Contains(s.Crashes, target) {
		return false
	}
	s.Crashes = append(s.Crashes, target)
	s.TrialDue, s.Trial = false, ""
	return true
}

// DueTrial allows the entries to claim a trial of the suspect. It returns false,
// without a change, if it is not quarantined, a trial is due already or all trials
// are used up.
func DueTrial(s *fescuepb.Suspect) bool {
	if !Quarantined(s) || s.TrialDue || s.Trials >= MaxTrials {
		return false
	}
	s.TrialDue, s.Trial = true, ""
	return true
}

// ClaimTrial grants the trial that is due to an entry. It returns false, without a
// change, if none is due.
func ClaimTrial(s *fescuepb.Suspect, instance string) bool {
	if !s.TrialDue || instance == "" {
		return false
	}
	s.TrialDue, s.Trial = false, instance
	s.Trials++
	return true
}

// Step is what the control leader does with a suspect.
type Step int

// The steps of a suspect.
const (
	Keep   Step = iota
	Due         // allow the next trial
	Forget      // remove the suspect
)

// Next returns the step for a suspect that has not changed for a time.
func Next(s *fescuepb.Suspect, unchanged time.Duration) Step {
	switch {
	case unchanged < Period:
		return Keep
	case !Quarantined(s):
		return Forget
	case !s.TrialDue && s.Trials < MaxTrials:
		return Due
	case unchanged >= MaxAge:
		return Forget
	}
	return Keep
}

// Evictable returns the suspect to remove first if there are too many: the one that
// changed longest ago, and a quarantined one only if all are.
func Evictable(all map[string]*fescuepb.Suspect) string {
	var first *fescuepb.Suspect
	for _, s := range all {
		if first == nil || evictedBefore(s, first) {
			first = s
		}
	}
	return first.GetId()
}

func evictedBefore(a, b *fescuepb.Suspect) bool {
	if Quarantined(a) != Quarantined(b) {
		return !Quarantined(a)
	}
	if a.ChangedVersion != b.ChangedVersion {
		return a.ChangedVersion < b.ChangedVersion
	}
	return a.Id < b.Id
}
