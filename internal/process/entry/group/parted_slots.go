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
	if err == nil || ctx.Err() != nil {
		return t, err
	}
	other, ok := s.alternative(err)
	if !ok {
		return nil, err
	}
	t, otherErr := other.Acquire(ctx, w)
	if otherErr != nil {
		return nil, err
	}
	return t, nil
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

// Load returns the load of the preferred part. The percentage of failed slots is that of
// all parts: it decides whether the region counts as failed.
func (s partedSlots) Load() dispatch.Load {
	l := s.part(0).Load()
	if len(s.order) == 1 {
		return l
	}
	slots, failed := 0, 0
	for i, part := range s.order {
		n := s.partition.slots[part]
		slots += n
		failed += n * s.part(i).Load().FailedPercent
	}
	if slots > 0 {
		l.FailedPercent = failed / slots
	}
	return l
}
