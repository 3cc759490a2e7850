package group

import (
	"math"
	"time"

	slotlink "github.com/fescuejunction/fescuejunction/internal/connection/slots"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
)

const (
	replyTimeWeight = 0.3 // of a new reply in the moving average
	// replyTimeHalfLife is the time in which the average loses half of its value without a
	// reply, so that a dispatcher that was late is asked again.
	replyTimeHalfLife = 500 * time.Millisecond
)

// replyTime is how late the replies of a pool's dispatcher are.
type replyTime struct {
	mean time.Duration // moving average at the time of the last reply
	at   time.Time     // of the last reply
}

// expected returns how late a reply is expected to be.
func (r replyTime) expected(now time.Time) time.Duration {
	return time.Duration(float64(r.mean) * math.Exp2(-now.Sub(r.at).Seconds()/replyTimeHalfLife.Seconds()))
}

// recordReplyTime records how late a reply of another entry was, or how long it was waited
// for in vain.
func (g *Guarded) recordReplyTime(pool slotlink.Pool, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	mean := g.replyTimes[pool].expected(now)
	g.replyTimes[pool] = replyTime{mean: mean + time.Duration(replyTimeWeight*float64(took-mean)), at: now}
}

// refuseLate returns the refusal of a request that would spend more than half of the time
// to its objective on the question to the dispatcher, or nil. The links are full then, and
// a question that is of no use delays others.
func (g *Guarded) refuseLate(pool slotlink.Pool, w dispatch.Work) error {
	if w.Objective.IsZero() || w.AnySlot {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	if expected := g.replyTimes[pool].expected(now); 2*expected > w.Objective.Sub(now) {
		return dispatch.RefuseOverloaded(expected)
	}
	return nil
}
