package group

import (
	"context"
	"errors"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	slotlink "github.com/fescuejunction/fescuejunction/internal/connection/slots"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/sirupsen/logrus"
)

// poolSlots gives access to the slots of one pool, whichever entry dispatches it.
type poolSlots struct {
	guarded *Guarded
	pool    slotlink.Pool
}

// Acquire asks the pool's dispatcher for a slot. If it does not answer, the next
// entry in the order of preference is asked, and finally this entry's own
// dispatcher. This entry's own one also decides if another entry grants a slot of a
// target that takes no requests.
func (p poolSlots) Acquire(ctx context.Context, w dispatch.Work) (*dispatch.Ticket, error) {
	for range maxDispatcherAttempts {
		dispatcher := p.guarded.remoteDispatcher(p.pool)
		if dispatcher == nil {
			break
		}
		if err := p.guarded.refusedLately(p.pool, w); err != nil {
			return nil, err
		}
		if err := p.guarded.refuseLate(dispatcher.Instance, w); err != nil {
			return nil, err
		}
		asked := p.guarded.Now()
		ticket, load, err := p.guarded.Client.Acquire(ctx, dispatcher.GrpcAddr, p.pool, w, asked)
		if errors.Is(err, slotlink.ErrNoReply) || errkind.Of(err) == errkind.NotDispatcher && err != nil {
			p.guarded.MarkUnreachable(dispatcher.Instance)
			p.guarded.Log.WithFields(logrus.Fields{"service": p.pool.Service, "region": p.pool.Region, "part": p.pool.Part, "dispatcher": dispatcher.Instance}).Info("dispatcher passed over: no answer")
			continue
		}
		switch {
		case err == nil:
			p.guarded.recordReply(ticket, dispatcher, asked)
		case dispatch.IsOverloaded(err):
			p.guarded.recordReplyTime(dispatcher.Instance, p.guarded.Now().Sub(asked)-slotlink.QueueTime(w, asked))
		}
		if err == nil && !p.guarded.takesRequests(p.pool, ticket.Target.ID) {
			p.returnGrant(ticket, dispatcher)
			break
		}
		if load != nil {
			p.guarded.recordLoad(p.pool, *load)
			p.guarded.recordRefusal(p.pool, w, *load, err)
		}
		return ticket, err
	}
	d := p.guarded.Dispatcher(p.pool)
	if d == nil {
		return nil, errkind.New(errkind.NoTarget, "service %q is not in the version in force", p.pool.Service)
	}
	return d.Acquire(ctx, w)
}

// recordReply records how late the reply of another entry that granted a slot was.
func (g *Guarded) recordReply(t *dispatch.Ticket, dispatcher *fescuepb.Member, asked time.Time) {
	t.Dispatcher, t.ReplyTime = dispatcher.Instance, max(g.Now().Sub(asked)-t.QueuedFor, 0)
	g.recordReplyTime(dispatcher.Instance, t.ReplyTime)
	if g.Metrics != nil {
		g.Metrics.Timer("slot_reply").Record(t.ReplyTime)
	}
}

// returnGrant gives back a slot of a target that takes no requests according to the
// version in force here.
func (p poolSlots) returnGrant(t *dispatch.Ticket, dispatcher *fescuepb.Member) {
	t.Done(dispatch.Outcome{Result: dispatch.CancelledByCaller})
	logging.Routine(p.guarded.Log, logrus.Fields{
		"service": p.pool.Service, "region": p.pool.Region, "dispatcher": dispatcher.Instance, "target": t.Target.ID,
	}, "slot returned: its target is leaving or drained")
}

// takesRequests reports whether a target that another entry has granted takes requests
// according to the version in force here. The other entry may be without news and have
// an older version. A target that is not listed here may be newer than this version.
func (g *Guarded) takesRequests(pool slotlink.Pool, target string) bool {
	g.mu.Lock()
	s := g.snap
	g.mu.Unlock()
	svc := s.Services[pool.Service]
	if svc == nil {
		return false
	}
	for _, dc := range s.DataCentres(pool.Region) {
		for _, t := range s.Targets(svc.Name, dc) {
			if t.Id == target {
				return targetInfo(s, svc, t).State == dispatch.Active
			}
		}
	}
	return true
}

// Validity of what was received from another entry. An entry with few requests hears of
// each part of a pool only now and then, and failed targets stay so for longer.
const (
	loadTTL   = 500 * time.Millisecond
	failedTTL = 2 * time.Second // of the share of failed slots
)

// Load returns the load of the pool. If another entry dispatches the pool, it is
// the last load received from there; if that is older than loadTTL, only the
// running time is returned.
func (p poolSlots) Load() dispatch.Load {
	l, known := p.knownLoad(loadTTL)
	if !known {
		return dispatch.Load{Run: l.Run}
	}
	return l
}

// knownLoad returns the last known load of the pool, and whether it is at most ttl old.
func (p poolSlots) knownLoad(ttl time.Duration) (l dispatch.Load, known bool) {
	if p.guarded.remoteDispatcher(p.pool) == nil {
		if d := p.guarded.Dispatcher(p.pool); d != nil {
			return d.Load(), true
		}
	}
	p.guarded.mu.Lock()
	defer p.guarded.mu.Unlock()
	last := p.guarded.remoteLoads[p.pool]
	return last.Load, p.guarded.Now().Sub(last.receivedAt) <= ttl
}
