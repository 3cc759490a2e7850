package proxy

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/announce"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/sirupsen/logrus"
)

// maxReturnedSlots bounds how many slots a request gives back because their target
// has announced that it leaves or pauses. The dispatcher learns it from the first of
// them, unless it is an older version.
const maxReturnedSlots = 3

// errTargetWithdrawn ends an attempt before its first byte is sent, because the
// target has announced meanwhile that it leaves or pauses.
var errTargetWithdrawn = errors.New("the target announced that it wants no requests")

// acquireSlot takes a slot for the request on a target that has not announced to
// this entry that it leaves or pauses. The dispatcher may grant another one if it does
// not know of the announcement, or if that came while the request was queued.
func (h *Handler) acquireSlot(ctx context.Context, c *call, d dispatch.Slots) (*dispatch.Ticket, error) {
	work := c.dispatchWork()
	for returned := 1; ; returned++ {
		work.Pauses = h.Announced.Pauses(c.service.Name)
		t, err := d.Acquire(ctx, work)
		if err != nil {
			return nil, err
		}
		notice := h.Announced.Of(t.Target.Process())
		if !notice.Withdrawn() {
			return t, nil
		}
		h.returnSlot(c, t, notice)
		if returned == maxReturnedSlots {
			return nil, refusalOf(notice)
		}
		work.Exclude = append(slices.Clone(work.Exclude), t.Target.ID)
	}
}

// returnSlot gives back a slot that was not used, and tells the dispatcher why.
func (h *Handler) returnSlot(c *call, t *dispatch.Ticket, n announce.Notice) {
	t.Done(dispatch.Outcome{Result: dispatch.NotUsed, Leaving: n.Leaving})
	h.Announced.CountReturned(n)
	h.Log.WithFields(logrus.Fields{
		"request_id": c.id, "service": c.service.Name, "target": t.Target.ID, "reason": n.Reason(), "pause_left_ms": milliseconds(n.PauseLeft),
	}).Info("slot given back")
}

// refusalOf returns the refusal of a request for which only targets with a notice
// were granted.
func refusalOf(n announce.Notice) error {
	if n.Leaving {
		return dispatch.NewRefusal(errkind.NoTarget, "the granted targets announced that they leave", time.Second)
	}
	return dispatch.RefusePausing(n.PauseLeft)
}

// withdrawn reports whether the target of the attempt must get no request.
func (h *Handler) withdrawn(s *attemptResult) bool {
	return h.Announced.Of(s.ticket.Target.Process()).Withdrawn()
}

// observeAnnouncement records what the target announces in the head of its answer. An
// answer of another target, and one that nothing proves to be the target's own,
// announce nothing.
func (h *Handler) observeAnnouncement(c *call, s *attemptResult, status int, header http.Header) {
	head := h.Dialect.Answer(status, header)
	if head.OtherTarget || head.MissingMark {
		return
	}
	s.pausing = head.Pause.For > 0
	h.Announced.Observe(c.service.Name, s.ticket.Target.Process(), c.id, head)
}

// withAnnouncement adds to the outcome of an attempt what the target has announced. A
// target that asked for a pause has not failed.
func (h *Handler) withAnnouncement(s attemptResult, o dispatch.Outcome) dispatch.Outcome {
	o.Leaving = h.Announced.Of(s.ticket.Target.Process()).Leaving
	if s.pausing && (o.Result == dispatch.Shed || o.Result == dispatch.ServerError) {
		o.Result = dispatch.Pausing
	}
	return o
}
