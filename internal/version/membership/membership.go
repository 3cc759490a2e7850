// Package membership merges the platform's list of instances, which lags,
// with the results of the system's own probes. It does no I/O and reads no
// clock. The probes decide: the list names instances and may stop new
// requests to one, but only an answer makes an instance live, and no list
// removes an instance that answers.
package membership

import (
	"sort"
	"time"
)

const (
	// FreshFor is how long an answer proves that an instance is there. It is
	// the bound for the end of new requests to a leaving target.
	AnswerTTL = 3 * time.Second
	// keepFor is how long an instance that has left is remembered, so that an
	// old list does not make it new. It is well above the lag of the list.
	departedRetention = 10 * time.Minute
	// failuresToSilent is how many answers in a row that say that the process
	// cannot serve make an instance silent. One alone may be a passing fault.
	failuresUntilSilent = 3
)

// Values of Listed.Role and Listed.Status.
const (
	RoleEntry     = "entry"
	RoleTarget    = "target"
	StatusLive    = "live"
	StatusLeaving = "leaving"
)

// Listed is one instance in the platform's list.
type ListedInstance struct {
	ID         string `json:"id"`
	Role       string `json:"role"`
	Service    string `json:"service,omitempty"` // of a target
	DataCentre string `json:"data_centre"`
	Region     string `json:"region,omitempty"`
	Address    string `json:"address"` // host:port
	Slots      int    `json:"slots,omitempty"`
	Status     string `json:"status"`
}

// Key identifies an instance at an address.
type Key struct{ ID, Address string }

// Outcome is what became of a probe.
type ProbeOutcome int

// The outcomes of a probe.
const (
	NoAnswer ProbeOutcome = iota // nothing in time; the process may be running
	Refused                      // the connection was refused: no process listens
	Failing                      // a process answers that it cannot serve
	Answered
)

// Probe is the result of one probe.
type Probe struct {
	Key
	Sent        time.Time
	Outcome     ProbeOutcome
	Incarnation string // of the process that answered; empty if it names none
	Leaving     bool   // the process says that it is leaving
}

// State is what may be done with an instance.
type State int

// The states of an instance.
const (
	Gone    State = iota // no requests, and its slots are free
	Silent               // listed, but no fresh answer: no new requests
	Leaving              // answers, but gets no new requests
	Live                 // gets new requests
)

// String returns the name of the state.
func (s State) String() string { return [...]string{"gone", "silent", "leaving", "live"}[s] }

// Instance is an instance in the merged view.
type Instance struct {
	ListedInstance
	State       State
	Incarnation string // of the process that answered last; empty if it named none
}

// record is what is known of an instance at an address.
type record struct {
	listed      ListedInstance // as last listed
	inList      bool
	firstListed int // number of the list that named it first

	lastProbed           time.Time // when the newest processed probe was sent
	lastAnswered         time.Time // when the newest answered probe was sent
	refused              bool      // since the last answer
	failures             int       // failing answers since the last good one
	goneSince            time.Time // when it was first seen gone and unlisted
	incarnation          string
	replacedIncarnations map[string]bool // incarnations that were replaced

	// leaving is sticky: only another process at the address clears it. A
	// process without an incarnation that is replaced between two probes, so
	// that no connection is refused, is taken for the earlier one.
	leaving bool
}

// Table is the merge of lists and probes. It is not safe for concurrent use.
type Table struct {
	records map[Key]*record
	lists   int
}

// New returns an empty table.
func New() *Table { return &Table{records: map[Key]*record{}} }

// List takes a list of the platform. It may be older than one taken before.
func (t *Table) ApplyList(list []ListedInstance) {
	t.lists++
	seen := map[Key]bool{}
	for _, l := range list {
		k := Key{l.ID, l.Address}
		seen[k] = true
		r := t.records[k]
		if r == nil {
			r = &record{firstListed: t.lists, replacedIncarnations: map[string]bool{}}
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

// list takes the list's entry. A status that stays leaving while the process
// is replaced speaks of the earlier process; only its change to leaving
// marks the present one.
func (r *record) applyListing(l ListedInstance) {
	wasLeaving := r.listed.Status == StatusLeaving
	if l.Status == StatusLeaving && !wasLeaving {
		r.leaving = true
	}
	r.listed, r.inList = l, true
}

// Probe takes the result of a probe. Results of probes of unknown instances,
// and results that arrive after one of a later probe, are ignored.
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
		r.applyAnswer(p)
	}
}

func (r *record) applyAnswer(p Probe) {
	if r.replacedIncarnations[p.Incarnation] {
		return // a process that was replaced, through a delayed connection
	}
	if r.replaced(p) {
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

// replaced reports whether another process than before has answered, or than
// the one that the list spoke of. Of processes without an incarnation, one
// that answers after a refused connection is another one.
func (r *record) replaced(p Probe) bool {
	if p.Incarnation != "" && r.incarnation != "" {
		return p.Incarnation != r.incarnation
	}
	return r.refused
}

// Keys returns every known instance. Those that are gone are among them: one
// may answer again.
func (t *Table) Keys() []Key {
	out := make([]Key, 0, len(t.records))
	for k := range t.records {
		out = append(out, k)
	}
	return out
}

// View returns every known instance, ordered by identifier and address. It
// forgets those that left long ago.
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
			state = Gone // the address or the identifier belongs to a newer instance
		}
		out = append(out, Instance{ListedInstance: r.listed, State: state, Incarnation: r.incarnation})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].ID != out[j].ID {
			return out[i].ID < out[j].ID
		}
		return out[i].Address < out[j].Address
	})
	return out
}

// forgotten reports whether the instance is gone and unlisted for so long
// that no list still names it.
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

// owners returns the newest instance at each address: the one that was
// listed first in the latest list. Its answers must not be taken for those of
// an earlier instance, or the slots of one process would count twice.
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

// current returns the address of each identifier that is in use: a live one
// if there is any, and of several the one that was listed first in the latest
// list. Only one counts, because slots are accounted by identifier.
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

func listedLater(a Key, ra *record, b Key, rb *record) bool {
	if ra.firstListed != rb.firstListed {
		return ra.firstListed > rb.firstListed
	}
	if a.ID != b.ID {
		return a.ID > b.ID
	}
	return a.Address > b.Address
}

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
