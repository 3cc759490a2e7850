package membership

import "time"

// Conditions for the removal of an entry from the committed members. All of them
// must hold, because the removal gives the entry's shares to other entries
// while it would still use them if it ran.
const (
	minUnlistedReads = 3                // successive lists that do not name the entry
	minUnlisted      = 10 * time.Second // time from the first of these lists to the last
	minSilent        = 10 * time.Second // time in which no control replica has heard from the entry
	// minJoinedUnlisted is the time since its join before an entry that no list
	// has named yet can be removed. The list lags, so it may not name a new
	// entry yet.
	minJoinedUnlisted = 60 * time.Second
	// maxReadGap is the longest time between two successive reads of the list.
	// After a longer gap the reads start again, because this process may have
	// been suspended and has then received nothing from any entry meanwhile.
	maxReadGap = 8 * time.Second
)

// Evidence holds the facts on which the removal of a committed entry is decided.
type Evidence struct {
	ListedSinceJoin bool          // a list has named the entry since it joined
	UnlistedReads   int           // successive lists, up to the newest, that do not name it
	UnlistedFor     time.Duration // since the first of these lists
	SilentFor       time.Duration // since a control replica last heard from it
	JoinedFor       time.Duration // since this process first saw it committed
	// ReplicaUnanswered is true if a control replica that may hear from the
	// entry did not report the entries it hears from.
	ReplicaUnanswered bool
}

// KeepReason returns why the entry must stay a member, or "" if it can be
// removed, since neither its process nor its instance exists any more.
func (e Evidence) KeepReason() string {
	switch {
	case e.UnlistedReads == 0:
		return "listed"
	case e.SilentFor < minSilent:
		return "heard by a control replica"
	case e.UnlistedReads < minUnlistedReads || e.UnlistedFor < minUnlisted:
		return "not listed for a short time only"
	case !e.ListedSinceJoin && e.JoinedFor <= minJoinedUnlisted:
		return "joined a short time ago and not listed yet"
	case e.ReplicaUnanswered:
		return "a control replica that may hear it does not answer"
	}
	return ""
}

// Entry is a committed entry instance.
type Entry struct {
	Instance    string
	Incarnation uint64
	Address     string    // for callers, host:port
	LastHeard   time.Time // by any control replica that answered; zero: never
}

// Replica is one of the other control replicas.
type Replica struct {
	Host     string
	Answered bool // reported the entries it hears from
}

// RemovalCandidate is an entry that the newest list does not name. KeepReason
// decides whether it is removed.
type RemovalCandidate struct {
	Entry
	Evidence
}

// DepartureTracker collects the evidence for removals over successive lists. It
// is not safe for concurrent use.
type DepartureTracker struct {
	entries  map[string]*listingHistory // by instance name
	hosts    map[string]*listingHistory // by host of a control replica
	lastRead time.Time                  // time of the last list
}

// listingHistory records when an entry or a host of a control replica was listed
// and heard from.
type listingHistory struct {
	incarnation   uint64
	firstSeen     time.Time // when the tracker first saw it
	lastHeard     time.Time // zero: never; only for entries
	everListed    bool      // by any list since firstSeen
	unlistedReads int       // successive lists, up to the newest, that do not name it
	unlistedSince time.Time // time of the first of these lists
}

// NewDepartureTracker returns a tracker without evidence. Each new leader starts
// with one.
func NewDepartureTracker() *DepartureTracker {
	return &DepartureTracker{entries: map[string]*listingHistory{}, hosts: map[string]*listingHistory{}}
}

// ReadFailed records that a list could not be read. The lists before and after
// the failure do not count as successive.
func (d *DepartureTracker) ReadFailed() {
	for _, a := range d.entries {
		a.unlistedReads = 0
	}
	for _, a := range d.hosts {
		a.unlistedReads = 0
	}
}

// Evaluate applies a list that was read at time now and returns a candidate for
// each committed entry that it does not name. A list that names no entry
// instance at all is treated as a failed read.
func (d *DepartureTracker) Evaluate(list []ListedInstance, entries []Entry, replicas []Replica, now time.Time) []RemovalCandidate {
	if now.Sub(d.lastRead) > maxReadGap {
		d.ReadFailed()
	}
	d.lastRead = now
	n := collectNames(list, entries)
	if !n.anyEntry {
		d.ReadFailed()
		return nil
	}
	unanswered := d.replicaUnanswered(replicas, n, now)
	previous := d.entries
	d.entries = make(map[string]*listingHistory, len(entries))
	var out []RemovalCandidate
	for _, e := range entries {
		a := previous[e.Instance]
		if a == nil || a.incarnation != e.Incarnation {
			a = &listingHistory{incarnation: e.Incarnation, firstSeen: now}
		}
		d.entries[e.Instance] = a
		a.observe(n.containsEntry(e), now)
		if e.LastHeard.After(a.lastHeard) {
			a.lastHeard = e.LastHeard
		}
		if a.unlistedReads > 0 {
			out = append(out, RemovalCandidate{e, a.evidence(unanswered, now)})
		}
	}
	return out
}

// observe records whether the newest list names the entry or host.
func (a *listingHistory) observe(named bool, now time.Time) {
	switch {
	case named:
		a.everListed, a.unlistedReads = true, 0
	case a.unlistedReads == 0:
		a.unlistedReads, a.unlistedSince = 1, now
	default:
		a.unlistedReads++
	}
}

// evidence returns the evidence at time now.
func (a *listingHistory) evidence(unanswered bool, now time.Time) Evidence {
	silent := now.Sub(a.firstSeen) // control replicas are asked only from then on
	if !a.lastHeard.IsZero() {
		silent = now.Sub(a.lastHeard)
	}
	return Evidence{
		ListedSinceJoin: a.everListed, UnlistedReads: a.unlistedReads, UnlistedFor: now.Sub(a.unlistedSince),
		SilentFor: silent, JoinedFor: now.Sub(a.firstSeen), ReplicaUnanswered: unanswered,
	}
}

// replicaUnanswered reports whether a control replica that may be running did
// not answer. A replica counts as stopped if its host was listed before and has
// been unlisted for minUnlistedReads lists and minUnlisted.
func (d *DepartureTracker) replicaUnanswered(replicas []Replica, n listedNames, now time.Time) bool {
	out := false
	for _, r := range replicas {
		a := d.hosts[r.Host]
		if a == nil {
			a = &listingHistory{firstSeen: now}
			d.hosts[r.Host] = a
		}
		a.observe(n.hosts[r.Host], now)
		gone := a.everListed && a.unlistedReads >= minUnlistedReads && now.Sub(a.unlistedSince) >= minUnlisted
		out = out || !r.Answered && !gone
	}
	return out
}
