package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	recoverRoutes  = 2100 // six times 350 routes
	recoverStep    = 350
	recoverChanges = 800
	recoverDown    = 700 * time.Millisecond
	recoverWithin  = 15 * time.Second
	recoverWatch   = 20 * time.Second
	recoverShare   = 0.25
	recoverRate    = 40 // requests a second
)

// runRecover kills all processes after a day with hundreds of changes and counts what is
// served later than recoveryS after they are back.
func runRecover(w *world) (bool, error) {
	if err := w.startAll(6, 6); err != nil {
		return false, err
	}
	for z := range zones {
		for n := 1; n <= 2; n++ {
			if _, err := w.startTarget(service, z, n, 20*time.Millisecond); err != nil {
				return false, err
			}
		}
	}
	op := newOperator(w)
	if err := op.put(append(baseRoutes(4, 2000), serviceResource(service), limitsResource()), 20*time.Second); err != nil {
		return false, err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	for i := 4; i < recoverRoutes; i += recoverStep {
		if err := op.patch(baseRoutes(min(i+recoverStep, recoverRoutes), 2000)[i:], 10*time.Second); err != nil {
			return false, err
		}
	}
	w.log("the configuration has %d routes", recoverRoutes)
	for i := range recoverChanges {
		change := baseRoutes(10+i%20, 2000+i)
		if err := op.patch(change[len(change)-1:], 10*time.Second); err != nil {
			return false, err
		}
	}
	w.log("%d changes of the configuration were acknowledged, the newest has version %d", recoverChanges, op.version)
	before := w.served(2 * time.Second)
	w.log("share of the requests that were served before: %.3f", before)
	all := append(append([]*machine{}, w.cores...), w.fronts...)
	if w.trouble {
		for _, m := range all {
			_ = m.cmd.Process.Signal(syscall.SIGKILL)
		}
		for _, m := range all {
			<-m.exited
		}
		w.log("all processes were killed")
		time.Sleep(recoverDown)
		for _, m := range all {
			if err := w.start(m, false); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(recoverWithin)
	after := w.served(recoverWatch)
	w.log("share of the requests sent from %s to %s after the machines were back that were served: %.3f (bound %.2f)", recoverWithin, recoverWithin+recoverWatch, after, recoverShare)
	return before >= recoverShare && after < recoverShare, nil
}

// served sends requests to all entries in turn for a time and returns the share that is
// answered with success. A client tries each request twice, at different entries.
func (w *world) served(span time.Duration) float64 {
	c := newCaller(w)
	var mu sync.Mutex
	var wg sync.WaitGroup
	sent, ok := 0, 0
	statuses := map[int]int{}
	tick := time.NewTicker(time.Second / recoverRate)
	defer tick.Stop()
	end := time.Now().Add(span)
	for i := 0; time.Now().Before(end); i++ {
		<-tick.C
		wg.Go(func() {
			o := c.send(w.fronts[i%len(w.fronts)], "GET", host, "/p1/x", fmt.Sprint(i%97), 2*time.Second)
			if o.status != 200 {
				time.Sleep(300 * time.Millisecond)
				o = c.send(w.fronts[(i+1)%len(w.fronts)], "GET", host, "/p1/x", fmt.Sprint(i%97), 1500*time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			sent++
			statuses[o.status]++
			if o.status == 200 {
				ok++
			}
		})
	}
	wg.Wait()
	w.log("requests %d, last answers by status: %v", sent, statuses)
	return float64(ok) / float64(max(sent, 1))
}
