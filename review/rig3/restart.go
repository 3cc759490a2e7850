package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

var allCases = map[string]func(*world) (bool, error){
	"recover": runRecover, "restart": runRestart, "history": runHistory, "slowbody": runSlowBody, "readback": runReadBack,
}

const (
	restartRoutes  = 700 // two times 350 routes
	restartChanges = 500
	restartDown    = 700 * time.Millisecond // the processes are back within a second
	host           = "rota.example"
	service        = "roster"
)

// baseRoutes returns routes of the first service.
func baseRoutes(n, timeoutMs int) []any {
	var out []any
	for i := range n {
		out = append(out, route{name: fmt.Sprintf("r-%d", i), host: host, prefix: fmt.Sprintf("/p%d/", i), kind: "safe", service: service, timeoutMs: timeoutMs}.resource())
	}
	return out
}

// runRestart kills all control processes at once after a day with some hundreds of changes
// of the configuration, and then lets a target leave.
func runRestart(w *world) (bool, error) {
	if err := w.startAll(6, 6); err != nil {
		return false, err
	}
	var targets []*target
	for z := range zones {
		for n := 1; n <= 2; n++ {
			t, err := w.startTarget(service, z, n, 20*time.Millisecond)
			if err != nil {
				return false, err
			}
			targets = append(targets, t)
		}
	}
	op := newOperator(w)
	if err := op.put(append(baseRoutes(4, 2000), serviceResource(service), limitsResource()), 20*time.Second); err != nil {
		return false, err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	for i := 4; i < restartRoutes; i += 50 {
		if err := op.patch(baseRoutes(min(i+50, restartRoutes), 2000)[i:], 10*time.Second); err != nil {
			return false, err
		}
	}
	w.log("the configuration has %d routes", restartRoutes)
	for i := range restartChanges {
		change := baseRoutes(10+i%20, 2000+i)
		if err := op.patch(change[len(change)-1:], 10*time.Second); err != nil {
			return false, err
		}
	}
	w.log("%d changes of the configuration were acknowledged, the newest has version %d", restartChanges, op.version)
	if w.trouble {
		for _, m := range w.cores {
			_ = m.cmd.Process.Signal(syscall.SIGKILL)
		}
		for _, m := range w.cores {
			<-m.exited
		}
		w.log("all control processes were killed")
		time.Sleep(restartDown)
		for _, m := range w.cores {
			if err := w.start(m, false); err != nil {
				return false, err
			}
		}
	}
	restarted := time.Now()
	c := newCaller(w)
	stop := make(chan struct{})
	var mu sync.Mutex
	answers := map[int]int{}
	wg := c.traffic(60, host, "/p1/x", stop, func(o outcome) {
		mu.Lock()
		defer mu.Unlock()
		answers[o.status]++
	})
	// All machines are in touch once the core has been stable for contactWindow.
	time.Sleep(contactWindow + 2*time.Second)
	leaver := targets[0]
	leaver.leave()
	listed := time.Now()
	w.log("%s is draining by the platform's list", leaver.entry.ID)
	time.Sleep(12 * time.Second)
	close(stop)
	wg.Wait()
	for i, m := range w.cores {
		status, _, err := op.once(m, "GET", "/fescuejunction/Config.Get", "", nil)
		w.log("reading the configuration at %s (core %d): status %d, error %v", m.name, i+1, status, err)
	}
	late := leaver.arrivedAfter(listed.Add(drainTime))
	n, gap := w.cloud.readsSince(restarted)
	w.log("answers by status: %v", answers)
	w.log("since the control processes are back, the list was read %d times; longest time without a reading %s", n, gap.Round(time.Millisecond))
	w.log("requests that reached %s later than %s after it was listed as draining: %d", leaver.entry.ID, drainTime, len(late))
	for i, a := range late {
		if i == 10 {
			break
		}
		w.log("  request %s, %s after", a.id, a.at.Sub(listed).Round(time.Millisecond))
	}
	return len(late) > 0, nil
}
