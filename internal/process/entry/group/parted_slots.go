package group

import (
	"context"

	slotlink "github.com/fescuejunction/fescuejunction/internal/connection/slots"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
)

// partedSlots gives access to the slots of a service in this entry's region for one
// request, whose object decides which part is asked first.
type partedSlots struct {
	guarded         *Guarded
	service, region string
	partition       *partition
	order           []int // parts in the order of preference; not empty
}

func (s partedSlots) part(i int) poolSlots {
	return poolSlots{s.guarded, slotlink.Pool{Service: s.service, Region: s.region, Part: s.order[i]}}
}

// Acquire asks the preferred part for a slot. If that part has no slot for the request,
// one other part is asked: one that is known to have a free slot or, if the preferred
// part has no target left for the request, the next one.
func (s partedSlots) Acquire(ctx context.Context, w dispatch.Work) (*dispatch.Ticket, error) {
	t, err := s.part(0).Acquire(ctx, w)
	if errkind.Of(err) == errkind.Stopping {
		if now := s.guarded.Slots(s.service, w.Object); now != nil && now.(partedSlots).partition != s.partition {
			return now.(partedSlots).acquireOnce(ctx, w) // the part has ended while the request was queued
		}
	}
	return s.orAlternative(ctx, w, t, err)
}

func (s partedSlots) acquireOnce(ctx context.Context, w dispatch.Work) (*dispatch.Ticket, error) {
	t, err := s.part(0).Acquire(ctx, w)
	return s.orAlternative(ctx, w, t, err)
}

// orAlternative returns the result of asking the preferred part, or asks another one.
func (s partedSlots) orAlternative(ctx context.Context, w dispatch.Work, t *dispatch.Ticket, err error) (*dispatch.Ticket, error) {
	if err == nil || ctx.Err() != nil {
		return t, err
	}
	other, ok := s.alternative(err)
	if !ok {
		return nil, err
	}
	t, otherErr := other.Acquire(ctx, w)
	if otherErr != nil {
		return nil, earlierRetry(err, otherErr)
	}
	return t, nil
}

// earlierRetry returns the refusal after which the request may come again sooner.
func earlierRetry(a, b error) error {
	after, ok := dispatch.RetryAfter(a)
	if other, refused := dispatch.RetryAfter(b); refused && ok && other < after {
		return b
	}
	return a
}

// alternative returns the part to ask after the preferred one has refused the request
// with err, or false if there is none.
func (s partedSlots) alternative(err error) (poolSlots, bool) {
	kind := errkind.Of(err)
	full := (kind == errkind.QueueFull || kind == errkind.DeadlineUnmeetable) && !dispatch.IsOverloaded(err)
	for i := 1; i < len(s.order); i++ {
		if kind == errkind.NoTarget || full && s.part(i).Load().FreeSlots > 0 {
			return s.part(i), true
		}
	}
	return poolSlots{}, false
}

// Load returns the load of the preferred part, or of another one if its targets leave. The
// percentage of failed slots is that of all parts whose load is known: it decides whether
// the region counts as failed.
func (s partedSlots) Load() dispatch.Load {
	l := s.part(0).Load()
	slots, failed := 0, 0
	for i, part := range s.order {
		other, known := s.part(i).knownLoad(failedTTL)
		if !known {
			continue
		}
		slots += s.partition.slots[part]
		failed += s.partition.slots[part] * other.FailedPercent
		if l.Draining && !other.Draining {
			l = s.part(i).Load()
		}
	}
	if slots > 0 {
		l.FailedPercent = failed / slots
	}
	return l
}
