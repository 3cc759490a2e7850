package dispatch

import (
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/version/document"
)

// servePaced serves n requests, one every gap, and returns how many the target id got.
// The target answers with result and the others with OK, all after run.
func servePaced(t *testing.T, g *Group, now *time.Time, n int, gap, run time.Duration, id string, result Result) (got int) {
	t.Helper()
	for range n {
		r := &Request{}
		if err := g.Submit(*now, r, Work{Class: document.Short, Route: "rota"}); err != nil {
			t.Fatal(err)
		}
		o := Outcome{Result: OK}
		if r.info.ID == id {
			got++
			o.Result = result
		}
		g.Tick(now.Add(run))
		g.Done(now.Add(run), r, o)
		*now = now.Add(gap)
	}
	return got
}

// Guards against a target that gets no request any more after a back-off, because
// other targets always have a free slot: a target that works again stays unused, and
// one that does not is unknown when its slots are needed.
func TestTrialAfterBackoff(t *testing.T) {
	const gap, run = 20 * time.Millisecond, 10 * time.Millisecond
	perTrialGap := int(forcedTrialGap / gap)
	for _, result := range []Result{Failed, ServerError, TimedOut, Unreachable} {
		now := epoch
		g := NewGroup(now, Settings{})
		g.SetTargets(now, infos(4, 3))
		servePaced(t, g, &now, 40, gap, run, "t02", result) // the target fails until its back-off
		if !g.byID["t02"].halfOpen {
			t.Fatalf("result %d: no back-off", result)
		}
		trials := servePaced(t, g, &now, 6*perTrialGap, gap, run, "t02", result)
		if trials < 3 || trials > 8 {
			t.Errorf("result %d: %d trial requests in six times the longest time without one", result, trials)
		}
		servePaced(t, g, &now, 2*perTrialGap, gap, run, "t02", OK)
		if got := servePaced(t, g, &now, 100, gap, run, "t02", OK); got < 15 {
			t.Errorf("result %d: a target that works again got %d of 100 requests", result, got)
		}
	}
}
