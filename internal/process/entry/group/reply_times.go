package group

import (
	"math"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
)

const (
	replyTimeWeight = 0.3 // of a new reply in the moving average
	// replyTimeHalfLife is the time in which the average loses half of its value without a
	// reply, so that a dispatcher that was late is asked again.
	replyTimeHalfLife = 500 * time.Millisecond
	// maxReplyTime bounds a single value, so that one long wait does not refuse requests
	// for seconds.
	maxReplyTime = time.Second
)

// replyTime is how late the replies of an entry are.
type replyTime struct {
	mean time.Duration // moving average at the time of the last reply
	at   time.Time     // of the last reply
}

// expected returns how late a reply is expected to be.
func (r replyTime) expected(now time.Time) time.Duration {
	return time.Duration(float64(r.mean) * math.Exp2(-now.Sub(r.at).Seconds()/replyTimeHalfLife.Seconds()))
}

// recordReplyTime records how late a reply of a dispatcher was, without the time in its
// queue, or how long it was waited for in vain.
func (g *Guarded) recordReplyTime(dispatcher string, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	mean := g.replyTimes[dispatcher].expected(now)
	took = min(max(took, 0), maxReplyTime)
	g.replyTimes[dispatcher] = replyTime{mean: mean + time.Duration(replyTimeWeight*float64(took-mean)), at: now}
}

// refuseLate returns the refusal of a request that would spend more than half of the time
// to its objective on the question to the dispatcher, or nil. The links are full then, and
// a question that is of no use delays others. A request that has missed its objective is
// not concerned: any answer will do for it.
func (g *Guarded) refuseLate(dispatcher string, w dispatch.Work) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	left := w.Objective.Sub(now)
	if w.Objective.IsZero() || w.AnySlot || left <= 0 {
		return nil
	}
	if expected := g.replyTimes[dispatcher].expected(now); 2*expected > left {
		return dispatch.RefuseOverloaded(expected)
	}
	return nil
}
