package budget

import (
	"sort"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"google.golang.org/protobuf/proto"
)

const (
	// lowerAfter is how long a lower demand must last before units are given
	// back, so that a short lull does not cost the next burst a round trip.
	lowerAfter = 2 * time.Second
	// headroomDivisor: a quarter of the recent peak is asked for ahead of
	// demand, and at least one unit.
	headroomDivisor = 4
)

// Ticket is one admitted unit of a shift. It is passed to Recheck and
// Release.
type Ticket struct {
	shift  string
	leased bool
	until  time.Time // of a leased unit
}

// share is what a holder has of one shift.
type share struct {
	ceiling int // pinned share by the snapshot in force
	cap     int // whole cap by the snapshot in force
	pinned  int // confirmed by the leader, at most ceiling
	leased  int
	until   time.Time // of the leased units, on the holder's clock

	inUse   int
	peak    int // most in use since the last request
	refused int // since the last request

	want     int
	wantedAt time.Time // when demand last reached want

	told    fescuepb.LeaseAsk // last report that the leader answered
	telling fescuepb.LeaseAsk
}

func (s *share) limit(now time.Time) int {
	n := s.pinned
	if now.Before(s.until) {
		n += s.leased
	}
	return min(n, s.cap)
}

// Holder is the budget of shift caps at one entry. It is not safe for
// concurrent use.
//
// A pinned share may be used once the leader has confirmed it, because other
// entries may still use the shares of an older version; from then on it
// needs no renewal. A lower share of a newer snapshot holds at once. A
// restarted process starts with nothing confirmed; the leader charges what
// the earlier process may have in flight for the longest deadline, and
// confirms and leases only what is free beside it.
//
// A process that restarts while no relay reaches the leader either, as in a
// data centre that is cut off, therefore has no units until the leader
// answers. It cannot go on with its predecessor's share on its own: the
// predecessor may have lowered it in its last report or left for good, and
// the leader may have given it to others since. Neither the other entries nor
// the last confirmed version show that.
type Holder struct {
	instance    string
	incarnation uint64

	version  uint64
	shares   map[string]*share
	sequence uint64
	sentAt   time.Time
	waiting  bool // for the reply to the latest request
	term     uint64
	tellAll  bool
}

// NewHolder returns a holder that may use nothing until it has a snapshot
// and a confirmation of the leader. The incarnation differs for each start
// of the process.
func NewHolder(instance string, incarnation uint64) *Holder {
	return &Holder{instance: instance, incarnation: incarnation, shares: map[string]*share{}}
}

// Use takes the snapshot in force. Shares that it lowers are lowered at once.
func (h *Holder) Use(s *snapshot.Snapshot) {
	if s.Version <= h.version {
		return
	}
	h.version = s.Version
	entries := entryNames(s)
	for name := range s.Shifts {
		if h.shares[name] == nil {
			h.shares[name] = &share{}
		}
	}
	for name, sh := range h.shares {
		sh.cap = s.Shifts[name].Cap
		sh.ceiling = splitPinned(name, sh.cap, entries)[h.instance]
		sh.pinned = min(sh.pinned, sh.ceiling)
		sh.leased = min(sh.leased, sh.cap)
	}
}

// Idle reports whether no snapshot so far had a shift: then there is nothing to
// ask for and nothing to acknowledge.
func (h *Holder) Idle() bool { return len(h.shares) == 0 }

// Acquire takes one unit of the shift if the holder's share has one free.
func (h *Holder) Acquire(shift string, now time.Time) (Ticket, bool) {
	s := h.shares[shift]
	if s == nil {
		return Ticket{}, false
	}
	if s.inUse >= s.limit(now) {
		s.refused++
		return Ticket{}, false
	}
	t := Ticket{shift: shift, leased: s.inUse >= s.pinned, until: s.until}
	s.inUse++
	s.peak = max(s.peak, s.inUse)
	return t, true
}

// Recheck reports whether the unit may still be used. It is called after the
// request was written: a process can be frozen between Acquire and the
// write, and a request that was sent late must be cancelled at the target.
func (h *Holder) Recheck(t Ticket, now time.Time) bool {
	if !t.leased || now.Before(t.until) {
		return true
	}
	s := h.shares[t.shift]
	return s != nil && s.inUse <= s.limit(now)
}

// Release gives the unit back when the request has ended.
func (h *Holder) Release(t Ticket) {
	if s := h.shares[t.shift]; s != nil && s.inUse > 0 {
		s.inUse--
	}
}

// InUse returns the units of the shift in use.
func (h *Holder) InUse(shift string) int {
	if s := h.shares[shift]; s != nil {
		return s.inUse
	}
	return 0
}

// Limit returns the units of the shift that may be in use at now.
func (h *Holder) Limit(shift string, now time.Time) int {
	if s := h.shares[shift]; s != nil {
		return s.limit(now)
	}
	return 0
}

// Asks returns the next request to the leader, to be sent at now. The reply
// to any earlier request is void from here on. Shifts whose state the leader
// knows, and which neither hold nor want leased units, are left out.
func (h *Holder) Asks(now time.Time) *fescuepb.LeaseRequest {
	h.sequence++
	h.sentAt, h.waiting = now, true
	req := &fescuepb.LeaseRequest{
		Instance:       h.instance,
		Incarnation:    h.incarnation,
		VersionInForce: h.version,
		Sequence:       h.sequence,
		Term:           h.term,
	}
	for name, s := range h.shares {
		if ask := s.ask(name, now); h.tellAll || s.worthTelling(ask) {
			req.Asks = append(req.Asks, ask)
		}
	}
	sort.Slice(req.Asks, func(i, j int) bool { return req.Asks[i].Shift < req.Asks[j].Shift })
	return req
}

// ask updates the demand and gives back what is above it before it is
// reported, so that the report is true whatever happens to it.
func (s *share) ask(name string, now time.Time) *fescuepb.LeaseAsk {
	s.demand(now)
	if !now.Before(s.until) {
		s.leased = 0
	}
	s.leased = min(s.leased, s.want)
	s.telling = fescuepb.LeaseAsk{
		Shift:  name,
		Want:   uint32(s.want),
		InUse:  uint32(s.inUse),
		Pinned: uint32(s.pinned),
		Held:   uint32(s.leased),
	}
	return proto.CloneOf(&s.telling)
}

func (s *share) worthTelling(ask *fescuepb.LeaseAsk) bool {
	if s.want > 0 || s.leased > 0 || s.pinned < s.ceiling {
		return true
	}
	quiet := ask.InUse <= ask.Pinned && s.told.InUse <= s.told.Pinned
	return !quiet || ask.Pinned != s.told.Pinned || s.told.Want > 0 || s.told.Held > 0
}

// demand sets want from the peak since the last request, with headroom.
func (s *share) demand(now time.Time) {
	need := s.peak + s.refused
	if need > 0 {
		need += 1 + need/headroomDivisor
	}
	need = min(max(0, need-s.pinned), s.cap)
	s.peak, s.refused = s.inUse, 0
	if need < s.want && now.Sub(s.wantedAt) < lowerAfter {
		return
	}
	s.want, s.wantedAt = need, now
}

// Apply takes the reply to the latest request. Replies to earlier requests
// and of earlier leaders are ignored.
func (h *Holder) Apply(reply *fescuepb.LeaseReply) {
	if !h.waiting || reply.Sequence != h.sequence || reply.Term < h.term {
		return
	}
	h.waiting = false
	if reply.Term > h.term {
		h.term, h.tellAll = reply.Term, true
		return // a new leader has not heard a report of this holder yet
	}
	h.tellAll = h.tellAll && len(reply.Grants) == 0
	for _, g := range reply.Grants {
		if s := h.shares[g.Shift]; s != nil {
			s.apply(g, h.sentAt)
		}
	}
}

func (s *share) apply(g *fescuepb.LeaseGrant, sentAt time.Time) {
	proto.Reset(&s.told)
	proto.Merge(&s.told, &s.telling)
	s.pinned = min(int(g.Pinned), s.ceiling)
	s.leased = min(int(g.Granted), s.cap)
	s.until = sentAt.Add(time.Duration(g.DurationMs) * time.Millisecond)
}
