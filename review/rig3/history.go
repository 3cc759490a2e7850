package main

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	coreMemoryLimit = 280 << 20 // memoryMb of the control machines, in MiB to be on the safe side
	historyRoutes   = 4000
	historyStep     = 350
	historyChanges  = 1100
	historyWait     = 25 * time.Second
	mostEnds        = 2 // times that a process may end by itself in a day
	endedMachines   = 2 // machines on which it must be more often: a tenth of them, two at least
)

// runHistory makes the changes of a day in a large configuration. The platform's stand-in ends
// a control process that uses more than its memory and starts it again.
func runHistory(w *world) (bool, error) {
	if err := w.startAll(6, 3); err != nil {
		return false, err
	}
	for z := range zones {
		if _, err := w.startTarget(service, z, 1, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	number := historyRoutes
	if !w.trouble {
		number = historyStep
	}
	routes := variedRoutes(number)
	op := newOperator(w)
	if err := op.put([]any{serviceResource(service), limitsResource(), routes[0].resource()}, 20*time.Second); err != nil {
		return false, err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	for i := 1; i < number; i += historyStep {
		var added []any
		for _, r := range routes[i:min(i+historyStep, number)] {
			added = append(added, r.resource())
		}
		if err := op.patch(added, 10*time.Second); err != nil {
			return false, err
		}
	}
	w.log("the configuration has %d routes", number)
	stop := make(chan struct{})
	kills, peaks := make([]atomic.Int64, len(w.cores)), make([]atomic.Int64, len(w.cores))
	for i, m := range w.cores {
		go w.limitMemory(m, coreMemoryLimit, stop, &kills[i], &peaks[i])
	}
	acknowledged, failed := 0, ""
	end := time.Now().Add(70 * time.Second)
	for i := 0; i < historyChanges && time.Now().Before(end); i++ {
		r := routes[i%number]
		r.timeoutMs = 2000 + i
		if err := op.patch([]any{r.resource()}, 4*time.Second); err != nil {
			failed = err.Error()
			break
		}
		acknowledged++
	}
	w.log("changes acknowledged: %d; %s", acknowledged, failed)
	time.Sleep(historyWait)
	for _, m := range w.cores {
		status, _, err := op.once(m, "GET", "/fescuejunction/Config.Get", "", nil)
		w.log("reading the configuration at %s: status %d, error %v", m.name, status, err)
	}
	close(stop)
	often := 0
	for i, m := range w.cores {
		w.log("%s: at most %d MiB of anonymous pages (limit %d MiB), ended for it %d times", m.name, peaks[i].Load()>>20, coreMemoryLimit>>20, kills[i].Load())
		if kills[i].Load() > mostEnds {
			often++
		}
	}
	w.log("control machines whose process ended by itself three times or more: %d of %d", often, len(w.cores))
	return often >= endedMachines, nil
}

// variedRoutes returns routes with names and prefixes as different as those of a deployment.
func variedRoutes(n int) []route {
	kinds := []string{"safe", "unsafe"}
	var out []route
	for i := range n {
		out = append(out, route{
			name: "r-" + randomText(7), host: fmt.Sprintf("%s%d.example", randomText(4), rand.IntN(99)), prefix: fmt.Sprintf("/%s%d/", randomText(4), 100+i),
			kind: kinds[i%2], service: service, timeoutMs: 2000 + rand.IntN(3000),
		})
	}
	return out
}

func randomText(n int) string {
	const characters = "abcdefghijklmnopqrstuvwxyz0123456789"
	text := make([]byte, n)
	for i := range text {
		text[i] = characters[rand.IntN(len(characters))]
	}
	return string(text)
}
