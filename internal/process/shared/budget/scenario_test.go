package budget

import (
	"testing"
	"time"
)

// checkCaps fails the test if more requests are in flight than the cap in force
// allows.
func (w *simulation) checkCaps(t *testing.T) {
	t.Helper()
	for _, s := range []string{"a", "b"} {
		if n, limit := w.inFlightUnits(s), w.granters[w.leader].CapInForce(s, w.now); n > limit {
			t.Fatalf("at %s: shift %s: %d requests run, cap in force %d", w.now.Format("05.000"), s, n, limit)
		}
	}
}

// runSaturated advances the time by d in steps of 100 ms and acquires all available
// units of shift a at every reachable entry in each step.
func (w *simulation) runSaturated(t *testing.T, d time.Duration) {
	t.Helper()
	for ; d > 0; d -= 100 * time.Millisecond {
		w.advance(100 * time.Millisecond)
		w.exchange()
		for _, n := range sortedKeys(w.holders) {
			w.flood(n, "a")
		}
		w.checkCaps(t)
	}
}

// disconnect makes an entry unreachable and returns its holder. Its process
// continues.
func (w *simulation) disconnect(name string) *Holder {
	h := w.holders[name]
	delete(w.holders, name)
	return h
}

// reconnect makes a disconnected entry reachable again.
func (w *simulation) reconnect(name string, h *Holder) { w.holders[name] = h }

// floodDisconnected acquires all available units of shift a at a disconnected
// entry.
func (w *simulation) floodDisconnected(t *testing.T, name string, h *Holder) {
	t.Helper()
	w.reconnect(name, h)
	w.flood(name, "a")
	w.disconnect(name)
	w.checkCaps(t)
}

// Guards against more requests in flight than the cap in force allows, under
// sequences of faults that the random test reaches rarely.
func TestFaultSequencesStayWithinCap(t *testing.T) {
	scenarios := map[string]func(t *testing.T, w *simulation){
		// Units of an expired lease must stay charged for the longest deadline.
		"requests outlive the lease": func(t *testing.T, w *simulation) {
			silent := w.disconnect("e2")
			w.runSaturated(t, 3*time.Second)
			e1 := w.disconnect("e1")
			w.reconnect("e2", silent)
			for range 29 {
				w.runSaturated(t, 100*time.Millisecond)
			}
			w.floodDisconnected(t, "e1", e1)
			w.runSaturated(t, 2*time.Second)
			w.floodDisconnected(t, "e1", e1)
		},
		// A restarted process reports no units in use while requests of the earlier
		// process are still in flight, and these must stay charged.
		"restart in one term": func(t *testing.T, w *simulation) {
			silent := w.disconnect("e2")
			w.runSaturated(t, 3200*time.Millisecond) // the requests in flight have just begun
			w.restart("e1")
			w.reconnect("e2", silent)
			w.runSaturated(t, 2*time.Second)
			if w.holders["e1"].Limit("a", w.now) == 0 {
				t.Error("a restarted entry may use no units 2 s after its start")
			}
		},
		"restart seen first by a new leader": func(t *testing.T, w *simulation) {
			w.caps["a"] = 60
			w.commit()
			w.run(3 * time.Second)
			e1 := w.disconnect("e1")
			w.elect(1)
			w.runSaturated(t, 7*time.Second)
			w.caps["a"] = 4
			w.commit()
			w.runSaturated(t, 3*time.Second)
			w.floodDisconnected(t, "e1", e1)
			w.restart("e1")
			w.runSaturated(t, 3*time.Second)
		},
		// A new leader must charge an unreachable holder with its share of old versions.
		"silent holder on an old version": func(t *testing.T, w *simulation) {
			w.caps["a"] = 60
			w.commit()
			w.run(3 * time.Second)
			e1 := w.disconnect("e1")
			w.caps["a"] = 12
			w.commit()
			w.run(3 * time.Second)
			w.elect(1)
			w.runSaturated(t, 8*time.Second)
			w.floodDisconnected(t, "e1", e1)
			w.runSaturated(t, time.Second)
		},
		// A report that arrives late must not lower the charge.
		"late report in one term": func(t *testing.T, w *simulation) {
			w.lateReport(t, func() {})
		},
		"late report to a later leader": func(t *testing.T, w *simulation) {
			w.lateReport(t, func() { w.elect(1); w.elect(0); w.run(8 * time.Second) })
		},
		// A reply that arrives after its units were given back must be ignored.
		"late reply": func(t *testing.T, w *simulation) {
			w.run(3 * time.Second)
			w.flood("e1", "a")
			w.acquire("e1", "a")
			w.send("e1")
			w.serve(0, w.leader)
			reply, to := w.replies[0], w.recipients[0]
			e1 := w.disconnect("e1")
			w.runSaturated(t, 3*time.Second)
			w.reconnect("e1", e1)
			w.inFlight = nil
			e1.shares["a"].inUse, e1.shares["a"].peakInUse, e1.shares["a"].refused = 0, 0, 0
			w.exchange()
			w.disconnect("e1")
			w.runSaturated(t, 3*time.Second)
			e1.sentAt = w.now
			to.ApplyReply(reply)
			w.floodDisconnected(t, "e1", e1)
		},
	}
	for name, run := range scenarios {
		t.Run(name, func(t *testing.T) {
			w := newSimulation()
			w.run(8 * time.Second)
			run(t, w)
		})
	}
}

// lateReport grants e1 a large share, lowers the cap while e1 is unreachable, and
// then delivers an earlier report of e1 with a small share. It calls
// beforeDelivery before that.
func (w *simulation) lateReport(t *testing.T, beforeDelivery func()) {
	w.send("e1")
	late := w.requests[0]
	w.requests = nil
	w.caps["a"] = 60
	w.commit()
	w.run(9 * time.Second)
	e1 := w.disconnect("e1")
	w.caps["a"] = 12
	w.commit()
	beforeDelivery()
	late.Asks = append(late.Asks, e1.shares["a"].nextAsk("a", w.now))
	late.Asks[len(late.Asks)-1].Pinned = 1
	if _, err := w.granters[w.leader].Lease(late, w.now); err != nil {
		t.Fatal(err)
	}
	w.runSaturated(t, 5*time.Second)
	w.floodDisconnected(t, "e1", e1)
	w.runSaturated(t, time.Second)
}
