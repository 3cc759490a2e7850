package budget

import (
	"testing"
	"time"
)

// check fails the test if more requests run than the cap in force.
func (w *world) check(t *testing.T) {
	t.Helper()
	for _, s := range []string{"a", "b"} {
		if n, limit := w.running(s), w.granters[w.leader].CapInForce(s, w.now); n > limit {
			t.Fatalf("at %s: shift %s: %d requests run, cap in force %d", w.now.Format("05.000"), s, n, limit)
		}
	}
}

// contend keeps every entry that is reachable busy, in steps of 100 ms.
func (w *world) contend(t *testing.T, d time.Duration) {
	t.Helper()
	for ; d > 0; d -= 100 * time.Millisecond {
		w.advance(100 * time.Millisecond)
		w.exchange()
		for _, n := range sorted(w.holders) {
			w.flood(n, "a")
		}
		w.check(t)
	}
}

// cutOff makes an entry unreachable; its process goes on.
func (w *world) cutOff(name string) *Holder {
	h := w.holders[name]
	delete(w.holders, name)
	return h
}

// back makes it reachable again.
func (w *world) back(name string, h *Holder) { w.holders[name] = h }

// alone floods a holder that is cut off.
func (w *world) alone(t *testing.T, name string, h *Holder) {
	t.Helper()
	w.back(name, h)
	w.flood(name, "a")
	w.cutOff(name)
	w.check(t)
}

// Each scenario is one order of faults that random runs reach rarely.
func TestScenariosKeepTheCap(t *testing.T) {
	scenarios := map[string]func(t *testing.T, w *world){
		// Units of an expired lease must stay charged for the longest deadline.
		"requests outlive the lease": func(t *testing.T, w *world) {
			silent := w.cutOff("e2")
			w.contend(t, 3*time.Second)
			e1 := w.cutOff("e1")
			w.back("e2", silent)
			for range 29 {
				w.contend(t, 100*time.Millisecond)
			}
			w.alone(t, "e1", e1)
			w.contend(t, 2*time.Second)
			w.alone(t, "e1", e1)
		},
		// A restarted process reports nothing while the earlier one's requests run.
		"restart in one term": func(t *testing.T, w *world) {
			silent := w.cutOff("e2")
			w.contend(t, 3200*time.Millisecond) // requests have just begun
			w.restart("e1")
			w.back("e2", silent)
			w.contend(t, 2*time.Second)
			if w.holders["e1"].Limit("a", w.now) == 0 {
				t.Error("a restarted entry may use nothing 2 s after its start")
			}
		},
		"restart seen first by a new leader": func(t *testing.T, w *world) {
			w.caps["a"] = 60
			w.commit()
			w.run(3 * time.Second)
			e1 := w.cutOff("e1")
			w.elect(1)
			w.contend(t, 7*time.Second)
			w.caps["a"] = 4
			w.commit()
			w.contend(t, 3*time.Second)
			w.alone(t, "e1", e1)
			w.restart("e1")
			w.contend(t, 3*time.Second)
		},
		// A new leader must charge a silent holder with the share of old versions.
		"silent holder on an old version": func(t *testing.T, w *world) {
			w.caps["a"] = 60
			w.commit()
			w.run(3 * time.Second)
			e1 := w.cutOff("e1")
			w.caps["a"] = 12
			w.commit()
			w.run(3 * time.Second)
			w.elect(1)
			w.contend(t, 8*time.Second)
			w.alone(t, "e1", e1)
			w.contend(t, time.Second)
		},
		// A report that arrives late must not lower the charge.
		"late report in one term": func(t *testing.T, w *world) {
			w.lateReport(t, func() {})
		},
		"late report to a later leader": func(t *testing.T, w *world) {
			w.lateReport(t, func() { w.elect(1); w.elect(0); w.run(8 * time.Second) })
		},
		// A reply that arrives after its units were given back must have no effect.
		"late reply": func(t *testing.T, w *world) {
			w.run(3 * time.Second)
			w.flood("e1", "a")
			w.acquire("e1", "a")
			w.send("e1")
			w.serve(0, w.leader)
			reply, to := w.replies[0], w.to[0]
			e1 := w.cutOff("e1")
			w.contend(t, 3*time.Second)
			w.back("e1", e1)
			w.flights = nil
			e1.shares["a"].inUse, e1.shares["a"].peak, e1.shares["a"].refused = 0, 0, 0
			w.exchange()
			w.cutOff("e1")
			w.contend(t, 3*time.Second)
			e1.sentAt = w.now
			to.Apply(reply)
			w.alone(t, "e1", e1)
		},
	}
	for name, run := range scenarios {
		t.Run(name, func(t *testing.T) {
			w := newWorld()
			w.run(8 * time.Second)
			run(t, w)
		})
	}
}

// lateReport delivers a report of e1 with a small share after it has been
// given a large one, and then lowers the cap while e1 is silent.
func (w *world) lateReport(t *testing.T, between func()) {
	w.send("e1")
	late := w.requests[0]
	w.requests = nil
	w.caps["a"] = 60
	w.commit()
	w.run(9 * time.Second)
	e1 := w.cutOff("e1")
	w.caps["a"] = 12
	w.commit()
	between()
	late.Asks = append(late.Asks, e1.shares["a"].ask("a", w.now))
	late.Asks[len(late.Asks)-1].Pinned = 1
	if _, err := w.granters[w.leader].Lease(late, w.now); err != nil {
		t.Fatal(err)
	}
	w.contend(t, 5*time.Second)
	w.alone(t, "e1", e1)
	w.contend(t, time.Second)
}
