// Package membership merges the platform's list of instances, which lags behind
// the real state, with the results of the system's own probes. It does no I/O
// and reads no clock. Probes take precedence: the list names the instances and
// can stop new requests to one, but only an answered probe makes an instance
// live, and no list removes an instance that answers.
package membership

import (
	"sort"
	"time"
)

const (
	// AnswerTTL is how long an answered probe proves that an instance runs. It
	// is also the upper bound of the time in which new requests still go to a
	// target that has started to leave.
	AnswerTTL = 3 * time.Second
	// departedRetention is how long the record of a departed instance is kept.
	// Without the record, an outdated list would add the instance again as a
	// new one. The value is well above the lag of the list.
	departedRetention = 10 * time.Minute
	// failuresUntilSilent is the number of consecutive probes with the outcome
	// Failing after which an instance is silent. A single one may be a
	// transient fault.
	failuresUntilSilent = 3
)

// Values of ListedInstance.Role and ListedInstance.Status.
const (
	RoleEntry     = "entry"
	RoleTarget    = "target"
	StatusLive    = "live"
	StatusLeaving = "leaving"
)

// ListedInstance is one instance in the platform's list.
type ListedInstance struct {
	ID         string `json:"id"`
	Role       string `json:"role"`
	Service    string `json:"service,omitempty"` // only for targets
	DataCentre string `json:"data_centre"`
	Region     string `json:"region,omitempty"`
	Address    string `json:"address"` // host:port
	Slots      int    `json:"slots,omitempty"`
	Status     string `json:"status"`
}

// Key identifies an instance at an address.
type Key struct{ ID, Address string }

// ProbeOutcome is the outcome of a probe.
type ProbeOutcome int

// The outcomes of a probe.
const (
	NoAnswer ProbeOutcome = iota // no answer before the time-out; the process may be running
	Refused                      // the connection was refused, so no process listens
	Failing                      // a process answered that it cannot serve requests
	Answered                     // a process answered that it can serve requests
)

// Probe is the result of one probe of an instance.
type Probe struct {
	Key
	Sent        time.Time
	Outcome     ProbeOutcome
	Incarnation string // of the process that answered; empty if it reports none
	Leaving     bool   // the process reports that it is leaving
}

// State states whether an instance gets requests.
type State int

// The states of an instance.
const (
	Gone    State = iota // gets no requests, and its slots are free
	Silent               // listed, but without an answer within AnswerTTL; gets no new requests
	Leaving              // answers probes, but gets no new requests
	Live                 // answers probes and gets new requests
)

// String returns the name of the state.
func (s State) String() string { return [...]string{"gone", "silent", "leaving", "live"}[s] }

// Instance is an instance in the merged view.
type Instance struct {
	ListedInstance
	State       State
	Incarnation string // of the process that answered last; empty if it reported none
	Process     int64  // differs for each process that the table has seen
}

// record holds the state of an instance at an address.
type record struct {
	listed      ListedInstance // the newest entry in a list
	inList      bool           // in the newest list
	firstListed int            // number of the first list that named it

	lastProbed           time.Time // send time of the newest probe that was applied
	lastAnswered         time.Time // send time of the newest answered probe
	refused              bool      // a connection was refused since the last answer
	failures             int       // probes with the outcome Failing since the last answer
	goneSince            time.Time // when it was first found gone and unlisted
	incarnation          string
	process              int64           // number of the process among those that the table has seen
	replacedIncarnations map[string]bool // earlier incarnations

	// leaving is cleared only when another process answers at the address.
	// If a process that reports no incarnation is replaced between two probes,
	// no connection is refused and the replacement goes unnoticed.
	leaving bool
}

// Table merges the platform's lists with probe results. It is not safe for
// concurrent use.
type Table struct {
	records   map[Key]*record
	lists     int
	processes int64 // that the table has seen so far
}

// New returns an empty table.
func New() *Table { return &Table{records: map[Key]*record{}} }

// ApplyList applies a list of the platform. It may be older than one that was
// applied before.
func (t *Table) ApplyList(list []ListedInstance) {
	t.lists++
	seen := map[Key]bool{}
	for _, l := range list {
		k := Key{l.ID, l.Address}
		seen[k] = true
		r := t.records[k]
		if r == nil {
			t.processes++
			r = &record{firstListed: t.lists, process: t.processes, replacedIncarnations: map[string]bool{}}
			t.records[k] = r
		}
		r.applyListing(l)
	}
	for k, r := range t.records {
		if !seen[k] {
			r.inList = false
		}
	}
}

// applyListing applies the instance's entry in a list. Only a change of the
// status to leaving marks the process as leaving: a status that stays leaving
// after the process was replaced still refers to the earlier process.
func (r *record) applyListing(l ListedInstance) {
	wasLeaving := r.listed.Status == StatusLeaving
	if l.Status == StatusLeaving && !wasLeaving {
		r.leaving = true
	}
	r.listed, r.inList = l, true
}

// ApplyProbe applies the result of a probe. It ignores results for unknown
// instances and results that arrive after that of a probe sent later.
func (t *Table) ApplyProbe(p Probe) {
	r := t.records[p.Key]
	if r == nil || p.Sent.Before(r.lastProbed) {
		return
	}
	r.lastProbed = p.Sent
	switch p.Outcome {
	case Refused:
		r.refused = true
	case Failing:
		r.failures++
	case Answered:
		t.applyAnswer(r, p)
	}
}

// Hold keeps the state of an instance that answers and is not probed for a while.
func (t *Table) Hold(k Key, now time.Time) {
	if r := t.records[k]; r != nil && r.state(now) >= Leaving {
		r.lastAnswered = now
	}
}

// applyAnswer applies a probe of r with the outcome Answered.
func (t *Table) applyAnswer(r *record, p Probe) {
	if r.replacedIncarnations[p.Incarnation] {
		return // from a process that was replaced, over a delayed connection
	}
	if r.replaced(p) {
		t.processes++
		r.process = t.processes
		if r.incarnation != "" {
			r.replacedIncarnations[r.incarnation] = true
		}
		r.leaving = false
	}
	if p.Incarnation != "" {
		r.incarnation = p.Incarnation
	}
	r.leaving = r.leaving || p.Leaving
	r.lastAnswered, r.refused, r.failures = p.Sent, false, 0
}

// replaced reports whether the probe was answered by another process than the
// previous one at the address, which may be known from the list only. If either
// process reports no incarnation, an answer after a refused connection counts
// as one from another process.
func (r *record) replaced(p Probe) bool {
	if p.Incarnation != "" && r.incarnation != "" {
		return p.Incarnation != r.incarnation
	}
	return r.refused
}

// Keys returns the key of every known instance. Instances that are gone are
// included, because they may answer again.
func (t *Table) Keys() []Key {
	out := make([]Key, 0, len(t.records))
	for k := range t.records {
		out = append(out, k)
	}
	return out
}

// View returns every known instance, ordered by identifier and address. It
// deletes the records of instances that departed more than departedRetention
// ago.
func (t *Table) View(now time.Time) []Instance {
	owners, current := t.addressOwners(), t.currentAddresses(now)
	out := make([]Instance, 0, len(t.records))
	for k, r := range t.records {
		state := r.state(now)
		if r.expired(state, now) {
			delete(t.records, k)
			continue
		}
		if owners[k.Address] != k || current[k.ID] != k {
			state = Gone // a newer instance uses the address, or the identifier moved to another address
		}
		out = append(out, Instance{ListedInstance: r.listed, State: state, Incarnation: r.incarnation, Process: r.process})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].ID != out[j].ID {
			return out[i].ID < out[j].ID
		}
		return out[i].Address < out[j].Address
	})
	return out
}

// expired reports whether the instance has been gone and unlisted for longer
// than departedRetention, so that no outdated list can still name it.
func (r *record) expired(state State, now time.Time) bool {
	if r.inList || state != Gone {
		r.goneSince = time.Time{}
		return false
	}
	if r.goneSince.IsZero() {
		r.goneSince = now
	}
	return now.Sub(r.goneSince) > departedRetention
}

// addressOwners returns the newest instance at each address: the one whose first
// listing is the most recent. The answers at the address count for it alone;
// if they counted for an earlier instance as well, the slots of one process
// would be counted twice.
func (t *Table) addressOwners() map[string]Key {
	out := map[string]Key{}
	for k, r := range t.records {
		cur, ok := out[k.Address]
		if !ok || listedLater(k, r, cur, t.records[cur]) {
			out[k.Address] = k
		}
	}
	return out
}

// currentAddresses returns the key that is in use for each identifier: the one
// in the highest state and, among several, the one whose first listing is the
// most recent. Only one may be in use, because slots are accounted by
// identifier.
func (t *Table) currentAddresses(now time.Time) map[string]Key {
	out := map[string]Key{}
	for k, r := range t.records {
		cur, ok := out[k.ID]
		if !ok {
			out[k.ID] = k
			continue
		}
		a, b := r.state(now), t.records[cur].state(now)
		if a > b || a == b && listedLater(k, r, cur, t.records[cur]) {
			out[k.ID] = k
		}
	}
	return out
}

// listedLater reports whether the first listing of a is more recent than that of
// b. Ties are broken by identifier and address.
func listedLater(a Key, ra *record, b Key, rb *record) bool {
	if ra.firstListed != rb.firstListed {
		return ra.firstListed > rb.firstListed
	}
	if a.ID != b.ID {
		return a.ID > b.ID
	}
	return a.Address > b.Address
}

// state returns the state of the instance from its own list entries and probes.
func (r *record) state(now time.Time) State {
	answers := !r.refused && r.failures < failuresUntilSilent && !r.lastAnswered.IsZero() && now.Sub(r.lastAnswered) < AnswerTTL
	switch {
	case answers && r.leaving:
		return Leaving
	case answers:
		return Live
	case r.inList && !r.leaving:
		return Silent
	default:
		return Gone
	}
}
