package budget

import (
	"fmt"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"pgregory.net/rapid"
)

const testDeadline = time.Second

// build returns a snapshot with the caps of shifts a and b and these entries.
func build(version uint64, caps map[string]int, entries map[string]uint64) *snapshot.Snapshot {
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

// flight is a request that runs at a target. It goes on when its process dies.
type flight struct {
	holder *Holder
	ticket Ticket
	ends   time.Time
}

type world struct {
	now      time.Time
	caps     map[string]int
	entries  map[string]uint64
	versions []*snapshot.Snapshot
	holders  map[string]*Holder
	flights  []flight
	granters [2]*Granter
	seen     [2]int // versions that each granter has observed
	leader   int
	staleTo  time.Time // until when the replaced leader still grants
	term     uint64
	nextInc  uint64
	requests []*fescuepb.LeaseRequest
	replies  []*fescuepb.LeaseReply
	to       []*Holder
}

func newWorld() *world {
	w := &world{
		now:      time.Unix(1000, 0),
		caps:     map[string]int{"a": 9, "b": 2},
		entries:  map[string]uint64{"e1": 1, "e2": 2, "e3": 3},
		holders:  map[string]*Holder{},
		granters: [2]*Granter{NewGranter(), NewGranter()},
		nextInc:  4,
	}
	for name, inc := range w.entries {
		w.holders[name] = NewHolder(name, inc)
	}
	w.commit()
	w.elect(0)
	return w
}

func (w *world) commit() {
	w.versions = append(w.versions, build(uint64(len(w.versions)+1), w.caps, w.entries))
	w.observe(w.leader)
}

func (w *world) observe(i int) {
	for ; w.seen[i] < len(w.versions); w.seen[i]++ {
		w.granters[i].Observe(w.versions[w.seen[i]])
	}
}

func (w *world) elect(i int) {
	w.leader = i
	w.term++
	w.staleTo = w.now.Add(LeaderOverlap)
	w.observe(i)
	w.granters[i].Reset(w.term, w.now)
}

func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	if !w.now.Before(w.staleTo) {
		w.granters[1-w.leader].Follow()
	}
	kept := w.flights[:0]
	for _, f := range w.flights {
		if w.now.Before(f.ends) {
			kept = append(kept, f)
		} else {
			f.holder.Release(f.ticket)
		}
	}
	w.flights = kept
}

func (w *world) acquire(name, shift string) bool {
	h := w.holders[name]
	t, ok := h.Acquire(shift, w.now)
	if ok {
		w.flights = append(w.flights, flight{h, t, w.now.Add(testDeadline)})
	}
	return ok
}

func (w *world) send(name string) { w.requests = append(w.requests, w.holders[name].Asks(w.now)) }

func (w *world) serve(i, granter int) {
	req := w.requests[i]
	reply, err := w.granters[granter].Lease(req, w.now)
	if err != nil {
		return
	}
	h := w.holders[req.Instance]
	if h == nil || h.incarnation != req.Incarnation {
		return
	}
	w.replies, w.to = append(w.replies, reply), append(w.to, h)
}

func (w *world) apply(i int) { w.to[i].Apply(w.replies[i]) }

// exchange makes each holder follow the newest version and talk to the
// leader without any loss.
func (w *world) exchange() {
	for _, name := range sorted(w.holders) {
		w.holders[name].Use(w.versions[len(w.versions)-1])
		w.send(name)
		w.serve(len(w.requests)-1, w.leader)
		if len(w.replies) > 0 {
			w.apply(len(w.replies) - 1)
		}
	}
	w.requests, w.replies, w.to = nil, nil, nil
}

func (w *world) run(d time.Duration) {
	for ; d > 0; d -= 500 * time.Millisecond {
		w.advance(500 * time.Millisecond)
		w.exchange()
	}
}

func (w *world) running(shift string) int {
	n := 0
	for _, f := range w.flights {
		if f.ticket.shift == shift {
			n++
		}
	}
	return n
}

// restart replaces the process of an instance; its requests go on running.
func (w *world) restart(name string) {
	w.nextInc++
	w.entries[name] = w.nextInc
	w.holders[name] = NewHolder(name, w.nextInc)
	w.commit()
}

func pick[T any](t *rapid.T, list []T) int {
	if len(list) == 0 {
		t.Skip("nothing to pick")
	}
	return rapid.IntRange(0, len(list)-1).Draw(t, "index")
}
