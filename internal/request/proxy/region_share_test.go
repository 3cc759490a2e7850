package proxy

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/fescuejunction/fescuejunction/internal/request/spill"
)

// shortTimeoutDocument has a route that ends requests while targets still run them.
const shortTimeoutDocument = `team: platform
regions: [{name: north, data_centres: [a, b]}, {name: south, data_centres: [c]}]
services: [{name: rota, guarded_slots: true, health_path: /health}]
host_routes:
  - {name: safe, host: rota.example, prefix: /safe/, safe: true, max_attempts: 1, timeout: 40ms, services: [{service: rota, weight: 1}]}
`

// Guards against requests that move to another region beyond the limit, because
// requests that ran and timed out in a region are missing from the distribution.
func TestTimedOutRequestsCountInTheirRegion(t *testing.T) {
	var ran atomic.Int32
	w := newTestEntry(t, false, target(t, func(_ http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		<-r.Context().Done()
	}))
	w.h.Shares = spill.NewRegionShiftLimiter("north", 0.15, time.Minute)
	w.useDocument(shortTimeoutDocument)
	before := w.h.Shares.Allowances("north").Recent
	var done sync.WaitGroup
	for range 30 {
		done.Go(func() {
			req := w.request("GET", "/safe/1", "")
			req.Host = "rota.example"
			_, _, _ = w.do(req)
		})
		time.Sleep(45 * time.Millisecond)
	}
	done.Wait()
	counted := w.h.Shares.Allowances("north").Recent - before
	if want := float64(ran.Load()); want == 0 || counted < want/2 { // earlier requests count less
		t.Errorf("%.1f of %.0f requests that ran are counted", counted, want)
	}
}

// Guards against targets that are busy and count as failed, because requests that take
// longer than their time are taken for failures of the target. Half of a region's slots
// failed lifts the limit on moves to other regions.
func TestBusyTargetsAreNotFailed(t *testing.T) {
	const (
		targets, slots = 8, 4
		usual          = 100 * time.Millisecond
		timeout        = 120 * time.Millisecond
	)
	now := time.Unix(1000, 0)
	pool := dispatch.NewPool(now, dispatch.Settings{})
	var infos []dispatch.TargetInfo
	for i := range targets {
		infos = append(infos, dispatch.TargetInfo{ID: string(rune('a' + i)), Slots: slots, DataCentre: "a"})
	}
	pool.SetTargets(now, infos)
	deadlineExceeded := dispatchResult(errkind.New(errkind.DeadlineExceeded, "no answer before the deadline"))
	worst := 0
	for n := range 2000 {
		var running []*dispatch.Request
		for range targets * slots {
			r := &dispatch.Request{}
			work := dispatch.Work{Route: "r", FromDataCentre: "a", Safe: true, Objective: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}
			if pool.Submit(now, r, work) == nil {
				running = append(running, r)
			}
		}
		now = now.Add(timeout)
		for i, r := range running {
			o := dispatch.Outcome{Result: dispatch.OK, Latency: usual}
			if (n+i)%3 != 0 { // two of three requests take longer than their time
				o = dispatch.Outcome{Result: deadlineExceeded, Latency: timeout}
			}
			pool.Done(now, r, o)
		}
		worst = max(worst, pool.Load(now).FailedPercent)
	}
	if worst >= 50 {
		t.Errorf("%d percent of the slots counted as failed", worst)
	}
}
