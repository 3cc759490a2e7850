package budget

import (
	"sort"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"google.golang.org/protobuf/proto"
)

const (
	// lowerWantDelay is how long demand must stay lower before units are given
	// back, so that a burst after a short pause does not have to wait for a round
	// trip to the leader.
	lowerWantDelay = 2 * time.Second
	// headroomDivisor determines the units requested in excess of demand: one unit
	// plus a quarter of the recent demand.
	headroomDivisor = 4
)

// Ticket is one acquired unit of a shift. Callers pass it to TicketValid and
// Release.
type Ticket struct {
	shift       string
	leased      bool
	leaseExpiry time.Time // if the unit is leased
}

// share is the state of one shift at a holder.
type share struct {
	snapshotPinned int // pinned share according to the snapshot in force
	cap            int // whole cap according to the snapshot in force
	pinned         int // pinned share confirmed by the leader, at most snapshotPinned
	leased         int
	leaseExpiry    time.Time // on the holder's clock

	inUse     int
	peakInUse int // highest inUse since the last request
	refused   int // acquisitions refused since the last request

	want          int
	wantReachedAt time.Time // when demand last required at least want units

	answeredAsk fescuepb.LeaseAsk // last report that the leader has answered
	sentAsk     fescuepb.LeaseAsk
}

// limit returns the units that may be in use at now.
func (s *share) limit(now time.Time) int {
	n := s.pinned
	if now.Before(s.leaseExpiry) {
		n += s.leased
	}
	return min(n, s.cap)
}

// Holder is the budget of shift caps at one entry. It is not safe for
// concurrent use.
//
// A pinned share may be used only after the leader has confirmed it, because
// other entries may still use their shares of an older version. A confirmed
// share needs no renewal. If a newer snapshot lowers the share, the lower value
// applies at once. A restarted process starts without confirmed shares. For the
// longest request deadline, the leader charges the instance with the requests
// that the earlier process may have in flight, and confirms and leases only
// units that are free besides them.
//
// A process that restarts while it reaches the leader neither directly nor
// through a relay, for instance in a partitioned data centre, therefore has no
// units until the leader answers. It cannot reuse the share of the earlier
// process on its own: that process may have reported a lower share or left the
// cluster before it ended, and the leader may have granted the units to other
// entries since. Neither the other entries nor the last confirmed version show
// this.
type Holder struct {
	instance    string
	incarnation uint64

	version       uint64
	shares        map[string]*share
	sequence      uint64
	sentAt        time.Time
	awaitingReply bool // for the reply to the latest request
	term          uint64
	reportAll     bool
}

// NewHolder returns a holder that has no units until it has a snapshot and a
// confirmation by the leader. The incarnation must differ for each start of the
// process.
func NewHolder(instance string, incarnation uint64) *Holder {
	return &Holder{instance: instance, incarnation: incarnation, shares: map[string]*share{}}
}

// ApplySnapshot applies the snapshot in force. Shares that it lowers are reduced
// at once; higher shares need the confirmation of the leader. Snapshots that are
// not newer than the current one are ignored.
func (h *Holder) ApplySnapshot(s *snapshot.Snapshot) {
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
		sh.snapshotPinned = splitPinned(name, sh.cap, entries)[h.instance]
		sh.pinned = min(sh.pinned, sh.snapshotPinned)
		sh.leased = min(sh.leased, sh.cap)
	}
}

// HasNoShifts reports whether no snapshot so far has had a shift. In that case
// there is nothing to request and nothing to acknowledge.
func (h *Holder) HasNoShifts() bool { return len(h.shares) == 0 }

// Acquire takes one unit of the shift and reports whether one was available.
func (h *Holder) Acquire(shift string, now time.Time) (Ticket, bool) {
	s := h.shares[shift]
	if s == nil {
		return Ticket{}, false
	}
	if s.inUse >= s.limit(now) {
		s.refused++
		return Ticket{}, false
	}
	t := Ticket{shift: shift, leased: s.inUse >= s.pinned, leaseExpiry: s.leaseExpiry}
	s.inUse++
	s.peakInUse = max(s.peakInUse, s.inUse)
	return t, true
}

// TicketValid reports whether the unit may still be used at now. Callers check it
// after the request was written to the target: the process can be suspended
// between Acquire and the write until the lease has expired, and a request that
// was sent after the expiry must be cancelled at the target.
func (h *Holder) TicketValid(t Ticket, now time.Time) bool {
	if !t.leased || now.Before(t.leaseExpiry) {
		return true
	}
	s := h.shares[t.shift]
	return s != nil && s.inUse <= s.limit(now)
}

// Release returns the unit. Callers call it when the request has ended.
func (h *Holder) Release(t Ticket) {
	if s := h.shares[t.shift]; s != nil && s.inUse > 0 {
		s.inUse--
	}
}

// InUse returns the number of units of the shift in use.
func (h *Holder) InUse(shift string) int {
	if s := h.shares[shift]; s != nil {
		return s.inUse
	}
	return 0
}

// Limit returns the number of units of the shift that may be in use at now.
func (h *Holder) Limit(shift string, now time.Time) int {
	if s := h.shares[shift]; s != nil {
		return s.limit(now)
	}
	return 0
}

// NextRequest returns the next request to the leader, to be sent at now. From
// then on, replies to earlier requests are ignored. The request omits shifts
// whose state the leader already knows and that neither hold nor want leased
// units.
func (h *Holder) NextRequest(now time.Time) *fescuepb.LeaseRequest {
	h.sequence++
	h.sentAt, h.awaitingReply = now, true
	req := &fescuepb.LeaseRequest{
		Instance:       h.instance,
		Incarnation:    h.incarnation,
		VersionInForce: h.version,
		Sequence:       h.sequence,
		Term:           h.term,
	}
	for name, s := range h.shares {
		if ask := s.nextAsk(name, now); h.reportAll || s.needsReport(ask) {
			req.Asks = append(req.Asks, ask)
		}
	}
	sort.Slice(req.Asks, func(i, j int) bool { return req.Asks[i].Shift < req.Asks[j].Shift })
	return req
}

// nextAsk updates the demand, gives back leased units that exceed it, and returns
// the report of the shift. The units are given back before the report is sent, so
// that the report is correct even if its reply is lost.
func (s *share) nextAsk(name string, now time.Time) *fescuepb.LeaseAsk {
	s.updateWant(now)
	if !now.Before(s.leaseExpiry) {
		s.leased = 0
	}
	s.leased = min(s.leased, s.want)
	s.sentAsk = fescuepb.LeaseAsk{
		Shift:  name,
		Want:   uint32(s.want),
		InUse:  uint32(s.inUse),
		Pinned: uint32(s.pinned),
		Held:   uint32(s.leased),
	}
	return proto.CloneOf(&s.sentAsk)
}

// needsReport reports whether the ask contains something that the leader does not
// know or must renew.
func (s *share) needsReport(ask *fescuepb.LeaseAsk) bool {
	if s.want > 0 || s.leased > 0 || s.pinned < s.snapshotPinned {
		return true
	}
	withinPinned := ask.InUse <= ask.Pinned && s.answeredAsk.InUse <= s.answeredAsk.Pinned
	return !withinPinned || ask.Pinned != s.answeredAsk.Pinned || s.answeredAsk.Want > 0 || s.answeredAsk.Held > 0
}

// updateWant sets want to the leased units that cover the peak and the refused
// acquisitions since the last request, plus headroom.
func (s *share) updateWant(now time.Time) {
	need := s.peakInUse + s.refused
	if need > 0 {
		need += 1 + need/headroomDivisor
	}
	need = min(max(0, need-s.pinned), s.cap)
	s.peakInUse, s.refused = s.inUse, 0
	if need < s.want && now.Sub(s.wantReachedAt) < lowerWantDelay {
		return
	}
	s.want, s.wantReachedAt = need, now
}

// ApplyReply applies the reply to the latest request. It ignores replies to
// earlier requests and replies of earlier leaders.
func (h *Holder) ApplyReply(reply *fescuepb.LeaseReply) {
	if !h.awaitingReply || reply.Sequence != h.sequence || reply.Term < h.term {
		return
	}
	h.awaitingReply = false
	if reply.Term > h.term {
		h.term, h.reportAll = reply.Term, true
		return // the new leader has ignored the report, because it was of another term
	}
	h.reportAll = h.reportAll && len(reply.Grants) == 0
	for _, g := range reply.Grants {
		if s := h.shares[g.Shift]; s != nil {
			s.applyGrant(g, h.sentAt)
		}
	}
}

func (s *share) applyGrant(g *fescuepb.LeaseGrant, sentAt time.Time) {
	proto.Reset(&s.answeredAsk)
	proto.Merge(&s.answeredAsk, &s.sentAsk)
	s.pinned = min(int(g.Pinned), s.snapshotPinned)
	s.leased = min(int(g.Granted), s.cap)
	s.leaseExpiry = sentAt.Add(time.Duration(g.DurationMs) * time.Millisecond)
}
