package dispatch

import (
	"strconv"
	"testing"
	"time"
)

// hangingPool plays requests at a pool of which some targets run each request until its
// deadline. It returns the share of the requests that ended well from 5 to 20 s, and the
// highest percentage of failed slots that the pool reported.
func hangingPool(targets, hanging, perSecond int, result Result) (ok float64, failed int, backoffs int) {
	const run, objective, timeout = 200 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond
	p := NewPool(epoch, Settings{LongestDeadline: 10 * time.Second})
	var infos []TargetInfo
	for i := range targets {
		infos = append(infos, TargetInfo{ID: strconv.Itoa(i), Slots: 9, Incarnation: 1})
	}
	p.SetTargets(epoch, infos)
	type at struct {
		r   *Request
		end time.Duration
		o   Outcome
	}
	var atTargets []at
	pending := map[*Request]time.Duration{}
	good, all := 0, 0
	start := func(now time.Duration, r *Request, deadline time.Duration) {
		n, _ := strconv.Atoi(r.info.ID)
		took, o := run, Outcome{Result: OK}
		if n < hanging {
			took, o.Result = deadline-now, result
		}
		o.Latency = took
		atTargets = append(atTargets, at{r, now + took, o})
	}
	decided := func(now time.Duration) {
		for _, r := range p.Decided() {
			if d, ok := pending[r]; ok {
				delete(pending, r)
				if r.state == running {
					start(now, r, d)
				}
			}
		}
	}
	i := 0
	for now := time.Duration(0); now < 20*time.Second; now += time.Millisecond {
		t := epoch.Add(now)
		for j := 0; j < len(atTargets); j++ {
			if a := atTargets[j]; a.end <= now {
				atTargets[j] = atTargets[len(atTargets)-1]
				atTargets = atTargets[:len(atTargets)-1]
				j--
				if b := p.Done(t, a.r, a.o); b != nil {
					backoffs++
				}
				if a.o.Result == OK && now > 5*time.Second {
					good++
				}
				decided(now)
			}
		}
		if now%(10*time.Millisecond) == 0 {
			p.Tick(t)
			decided(now)
			failed = max(failed, p.Load(t).FailedPercent)
		}
		for ; i < int(now.Seconds()*float64(perSecond)); i++ {
			if now > 5*time.Second {
				all++
			}
			r := &Request{}
			err := p.Submit(t, r, Work{Route: "r", Object: strconv.Itoa(i % 50), Objective: t.Add(objective), Deadline: t.Add(timeout)})
			switch {
			case err != nil:
			case r.state == queued:
				pending[r] = now + timeout
			default:
				start(now, r, now+timeout)
			}
		}
	}
	return float64(good) / float64(all), failed, backoffs
}

// Guards against a target that hangs and never backs off: it answers 504 to each request, at
// the deadline that it was told.
func TestTargetThatHangsBacksOff(t *testing.T) {
	for _, tc := range []struct{ targets, hanging, perSecond int }{{10, 1, 100}, {10, 3, 100}, {10, 3, 250}, {10, 10, 100}, {3, 1, 60}, {2, 1, 40}} {
		before, failedBefore, backoffsBefore := hangingPool(tc.targets, tc.hanging, tc.perSecond, ServerError)
		after, failed, backoffs := hangingPool(tc.targets, tc.hanging, tc.perSecond, Overran)
		t.Logf("%d of %d targets hang, %d requests a second: ok %.3f, failed slots %d %%, %d back-offs; as server errors ok %.3f, %d %%, %d",
			tc.hanging, tc.targets, tc.perSecond, after, failed, backoffs, before, failedBefore, backoffsBefore)
		if after < before-0.01 || tc.hanging == tc.targets && failed < 50 && failedBefore >= 50 {
			t.Errorf("%d of %d targets hang", tc.hanging, tc.targets)
		}
	}
}
