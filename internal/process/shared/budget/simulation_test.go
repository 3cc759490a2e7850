package budget

import (
	"fmt"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"pgregory.net/rapid"
)

const testDeadline = time.Second

// buildSnapshot returns a snapshot with these caps by shift, and these entries with
// their incarnations. The link from region r to region q has 1000 bytes/s.
func buildSnapshot(version uint64, caps map[string]int, entries map[string]uint64) *snapshot.Snapshot {
	yaml := "team: platform\nregions: [{name: r, data_centres: [d]}]\nlimits: {longest_deadline: 1s}\n" +
		"links: [{from: r, to: q, bytes_per_second: 1000}]\nshifts:\n"
	for name, c := range caps {
		yaml += fmt.Sprintf("- {name: %s, cap: %d}\n", name, c)
	}
	var members []*fescuepb.Member
	for name, inc := range entries {
		members = append(members, &fescuepb.Member{Instance: name, Incarnation: inc, DataCentre: "d", Role: fescuepb.Role_ROLE_ENTRY})
	}
	s, err := snapshot.Build(version, []*fescuepb.Section{{Team: "platform", Yaml: []byte(yaml)}}, members, nil)
	if err != nil {
		panic(err)
	}
	return s
}

// inFlightRequest is a request that runs at a target. It keeps running when the
// process of its entry ends.
type inFlightRequest struct {
	holder *Holder
	ticket Ticket
	endsAt time.Time
}

// simulation is a set of entries and two control instances, of which one is the
// leader, on a simulated clock and network.
type simulation struct {
	now             time.Time
	caps            map[string]int
	entries         map[string]uint64
	versions        []*snapshot.Snapshot
	holders         map[string]*Holder
	inFlight        []inFlightRequest
	granters        [2]*Granter
	observed        [2]int // number of versions that each granter has observed
	leader          int
	oldLeaderUntil  time.Time // until when the replaced leader may still grant
	term            uint64
	lastIncarnation uint64
	requests        []*fescuepb.LeaseRequest
	replies         []*fescuepb.LeaseReply
	recipients      []*Holder
}

func newSimulation() *simulation {
	w := &simulation{
		now:             time.Unix(1000, 0),
		caps:            map[string]int{"a": 9, "b": 2},
		entries:         map[string]uint64{"e1": 1, "e2": 2, "e3": 3},
		holders:         map[string]*Holder{},
		granters:        [2]*Granter{NewGranter(), NewGranter()},
		lastIncarnation: 4,
	}
	for name, inc := range w.entries {
		w.holders[name] = NewHolder(name, inc)
	}
	w.commit()
	w.elect(0)
	return w
}

// commit commits a version with the current caps and entries. Only the leader
// observes it at once.
func (w *simulation) commit() {
	w.versions = append(w.versions, buildSnapshot(uint64(len(w.versions)+1), w.caps, w.entries))
	w.observe(w.leader)
}

// observe passes to granter i the committed versions that it has not observed.
func (w *simulation) observe(i int) {
	for ; w.observed[i] < len(w.versions); w.observed[i]++ {
		w.granters[i].Observe(w.versions[w.observed[i]])
	}
}

// elect makes granter i the leader of a new term. The replaced leader may still
// grant for LeaderOverlap.
func (w *simulation) elect(i int) {
	w.leader = i
	w.term++
	w.oldLeaderUntil = w.now.Add(LeaderOverlap)
	w.observe(i)
	w.granters[i].BecomeLeader(w.term, w.now)
}

// advance moves the clock forward and ends the requests whose deadline has passed.
func (w *simulation) advance(d time.Duration) {
	w.now = w.now.Add(d)
	if !w.now.Before(w.oldLeaderUntil) {
		w.granters[1-w.leader].StepDown()
	}
	kept := w.inFlight[:0]
	for _, f := range w.inFlight {
		if w.now.Before(f.endsAt) {
			kept = append(kept, f)
		} else {
			f.holder.Release(f.ticket)
		}
	}
	w.inFlight = kept
}

// acquire starts a request at an entry and reports whether it got a unit.
func (w *simulation) acquire(name, shift string) bool {
	h := w.holders[name]
	t, ok := h.Acquire(shift, w.now)
	if ok {
		w.inFlight = append(w.inFlight, inFlightRequest{h, t, w.now.Add(testDeadline)})
	}
	return ok
}

// send queues the next request of an entry for delivery.
func (w *simulation) send(name string) {
	w.requests = append(w.requests, w.holders[name].NextRequest(w.now))
}

// serve delivers request i to a granter and queues the reply, unless the process
// that sent the request has ended.
func (w *simulation) serve(i, granter int) {
	req := w.requests[i]
	reply, err := w.granters[granter].Lease(req, w.now)
	if err != nil {
		return
	}
	h := w.holders[req.Instance]
	if h == nil || h.incarnation != req.Incarnation {
		return
	}
	w.replies, w.recipients = append(w.replies, reply), append(w.recipients, h)
}

// apply delivers reply i.
func (w *simulation) apply(i int) { w.recipients[i].ApplyReply(w.replies[i]) }

// exchange makes each reachable holder apply the newest version and complete one
// request to the leader without loss. It drops all other queued messages.
func (w *simulation) exchange() {
	for _, name := range sortedKeys(w.holders) {
		w.holders[name].ApplySnapshot(w.versions[len(w.versions)-1])
		w.send(name)
		w.serve(len(w.requests)-1, w.leader)
		if len(w.replies) > 0 {
			w.apply(len(w.replies) - 1)
		}
	}
	w.requests, w.replies, w.recipients = nil, nil, nil
}

// run advances the time by d in steps of 500 ms, with one exchange in each.
func (w *simulation) run(d time.Duration) {
	for ; d > 0; d -= 500 * time.Millisecond {
		w.advance(500 * time.Millisecond)
		w.exchange()
	}
}

// inFlightUnits returns the number of requests of the shift in flight.
func (w *simulation) inFlightUnits(shift string) int {
	n := 0
	for _, f := range w.inFlight {
		if f.ticket.shift == shift {
			n++
		}
	}
	return n
}

// restart starts a new process of an instance. Requests of the earlier process keep
// running.
func (w *simulation) restart(name string) {
	w.lastIncarnation++
	w.entries[name] = w.lastIncarnation
	w.holders[name] = NewHolder(name, w.lastIncarnation)
	w.commit()
}

// randomIndex returns a random index of list, and skips the action if list is
// empty.
func randomIndex[T any](t *rapid.T, list []T) int {
	if len(list) == 0 {
		t.Skip("nothing to pick")
	}
	return rapid.IntRange(0, len(list)-1).Draw(t, "index")
}
