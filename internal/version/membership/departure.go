package membership

import "time"

// Conditions for the removal of an entry from the committed members. Its
// shares go to others then, so every one must hold.
const (
	minUnlistedReads = 3                // successive lists without the entry
	minUnlisted      = 10 * time.Second // from the first of them to the last
	minSilent        = 10 * time.Second // not heard by any control replica
	// minJoined is for an entry that no list has named yet: the list lags.
	minJoinedUnlisted = 60 * time.Second
	// maxReadGap is the longest time between successive reads. A process that
	// was frozen for longer has heard nobody meanwhile.
	maxReadGap = 8 * time.Second
)

// Evidence is what is known of a committed entry.
type Evidence struct {
	ListedSinceJoin bool // by a list since it joined
	UnlistedReads   int  // successive lists, the newest included, that do not name it
	UnlistedFor     time.Duration
	SilentFor       time.Duration
	JoinedFor       time.Duration // since this process first saw it committed
	// Unanswered: a control replica that might hear the entry did not say
	// whom it hears.
	ReplicaUnanswered bool
}

// Keep returns why the entry must stay a member, or "" if its process and
// its instance are gone for good.
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

// Entry is a committed entry.
type Entry struct {
	Instance    string
	Incarnation uint64
	Address     string    // for callers, host:port
	LastHeard   time.Time // last, by any control replica that answered; zero: never
}

// Replica is another control replica.
type Replica struct {
	Host     string
	Answered bool // said whom it hears
}

// Decision is what becomes of an entry that the newest list does not name.
type RemovalCandidate struct {
	Entry
	Evidence
}

// Departures collects the evidence over successive lists. It is not safe for
// concurrent use.
type DepartureTracker struct {
	entries  map[string]*listingHistory // by instance
	hosts    map[string]*listingHistory // of control replicas
	lastRead time.Time                  // the last list
}

// absence is what the lists and the replicas say of an entry or a host.
type listingHistory struct {
	incarnation   uint64
	firstSeen     time.Time // first
	lastHeard     time.Time
	everListed    bool
	unlistedReads int
	unlistedSince time.Time // of the first of reads
}

// NewDepartures returns an empty collection, for a new leader.
func NewDepartureTracker() *DepartureTracker {
	return &DepartureTracker{entries: map[string]*listingHistory{}, hosts: map[string]*listingHistory{}}
}

// Failed tells that a list could not be read. The lists before and after it
// are not successive.
func (d *DepartureTracker) ReadFailed() {
	for _, a := range d.entries {
		a.unlistedReads = 0
	}
	for _, a := range d.hosts {
		a.unlistedReads = 0
	}
}

// Judge takes a list and returns a decision for each entry that it does not
// name. A list without any entry is taken for a failed one.
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

// observe takes over whether the newest list names the entry or host.
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

func (a *listingHistory) evidence(unanswered bool, now time.Time) Evidence {
	silent := now.Sub(a.firstSeen) // no replica was asked before
	if !a.lastHeard.IsZero() {
		silent = now.Sub(a.lastHeard)
	}
	return Evidence{
		ListedSinceJoin: a.everListed, UnlistedReads: a.unlistedReads, UnlistedFor: now.Sub(a.unlistedSince),
		SilentFor: silent, JoinedFor: now.Sub(a.firstSeen), ReplicaUnanswered: unanswered,
	}
}

// unanswered reports whether a control replica did not answer that may run.
// One whose instance was listed and is not any more does not.
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
