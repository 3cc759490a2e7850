package membership

import "time"

// Conditions for the removal of an entry from the committed members. Its
// shares go to others then, so every one must hold.
const (
	minReads    = 3                // successive lists without the entry
	minUnlisted = 10 * time.Second // from the first of them to the last
	minSilent   = 10 * time.Second // not heard by any control replica
	// minJoined is for an entry that no list has named yet: the list lags.
	minJoined = 60 * time.Second
	// maxReadGap is the longest time between successive reads. A process that
	// was frozen for longer has heard nobody meanwhile.
	maxReadGap = 8 * time.Second
)

// Evidence is what is known of a committed entry.
type Evidence struct {
	Named       bool // by a list since it joined
	Reads       int  // successive lists, the newest included, that do not name it
	UnlistedFor time.Duration
	SilentFor   time.Duration
	JoinedFor   time.Duration // since this process first saw it committed
	// Unanswered: a control replica that might hear the entry did not say
	// whom it hears.
	Unanswered bool
}

// Keep returns why the entry must stay a member, or "" if its process and
// its instance are gone for good.
func (e Evidence) Keep() string {
	switch {
	case e.Reads == 0:
		return "listed"
	case e.SilentFor < minSilent:
		return "heard by a control replica"
	case e.Reads < minReads || e.UnlistedFor < minUnlisted:
		return "not listed for a short time only"
	case !e.Named && e.JoinedFor <= minJoined:
		return "joined a short time ago and not listed yet"
	case e.Unanswered:
		return "a control replica that may hear it does not answer"
	}
	return ""
}

// Entry is a committed entry.
type Entry struct {
	Instance    string
	Incarnation uint64
	Address     string    // for callers, host:port
	Heard       time.Time // last, by any control replica that answered; zero: never
}

// Replica is another control replica.
type Replica struct {
	Host     string
	Answered bool // said whom it hears
}

// Decision is what becomes of an entry that the newest list does not name.
type Decision struct {
	Entry
	Evidence
}

// Departures collects the evidence over successive lists. It is not safe for
// concurrent use.
type Departures struct {
	entries map[string]*absence // by instance
	hosts   map[string]*absence // of control replicas
	read    time.Time           // the last list
}

// absence is what the lists and the replicas say of an entry or a host.
type absence struct {
	incarnation uint64
	seen        time.Time // first
	heard       time.Time
	named       bool
	reads       int
	since       time.Time // of the first of reads
}

// NewDepartures returns an empty collection, for a new leader.
func NewDepartures() *Departures {
	return &Departures{entries: map[string]*absence{}, hosts: map[string]*absence{}}
}

// Failed tells that a list could not be read. The lists before and after it
// are not successive.
func (d *Departures) Failed() {
	for _, a := range d.entries {
		a.reads = 0
	}
	for _, a := range d.hosts {
		a.reads = 0
	}
}

// Judge takes a list and returns a decision for each entry that it does not
// name. A list without any entry is taken for a failed one.
func (d *Departures) Judge(list []Listed, entries []Entry, replicas []Replica, now time.Time) []Decision {
	if now.Sub(d.read) > maxReadGap {
		d.Failed()
	}
	d.read = now
	n := namesOf(list, entries)
	if !n.anyEntry {
		d.Failed()
		return nil
	}
	unanswered := d.unanswered(replicas, n, now)
	known := d.entries
	d.entries = make(map[string]*absence, len(entries))
	var out []Decision
	for _, e := range entries {
		a := known[e.Instance]
		if a == nil || a.incarnation != e.Incarnation {
			a = &absence{incarnation: e.Incarnation, seen: now}
		}
		d.entries[e.Instance] = a
		a.observe(n.entry(e), now)
		if e.Heard.After(a.heard) {
			a.heard = e.Heard
		}
		if a.reads > 0 {
			out = append(out, Decision{e, a.evidence(unanswered, now)})
		}
	}
	return out
}

// observe takes over whether the newest list names the entry or host.
func (a *absence) observe(named bool, now time.Time) {
	switch {
	case named:
		a.named, a.reads = true, 0
	case a.reads == 0:
		a.reads, a.since = 1, now
	default:
		a.reads++
	}
}

func (a *absence) evidence(unanswered bool, now time.Time) Evidence {
	silent := now.Sub(a.seen) // no replica was asked before
	if !a.heard.IsZero() {
		silent = now.Sub(a.heard)
	}
	return Evidence{
		Named: a.named, Reads: a.reads, UnlistedFor: now.Sub(a.since),
		SilentFor: silent, JoinedFor: now.Sub(a.seen), Unanswered: unanswered,
	}
}

// unanswered reports whether a control replica did not answer that may run.
// One whose instance was listed and is not any more does not.
func (d *Departures) unanswered(replicas []Replica, n names, now time.Time) bool {
	out := false
	for _, r := range replicas {
		a := d.hosts[r.Host]
		if a == nil {
			a = &absence{seen: now}
			d.hosts[r.Host] = a
		}
		a.observe(n.hosts[r.Host], now)
		gone := a.named && a.reads >= minReads && now.Sub(a.since) >= minUnlisted
		out = out || !r.Answered && !gone
	}
	return out
}
