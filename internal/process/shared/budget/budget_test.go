package budget

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// Guards against more requests in flight than the cap in force allows, under
// random sequences of message loss, delay, duplication, process restarts, leader
// changes, cap changes and membership changes.
func TestSumNeverExceedsCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation()
		w.run(8 * time.Second)
		name := func(t *rapid.T) string { return rapid.SampledFrom(sortedKeys(w.holders)).Draw(t, "holder") }
		shift := func(t *rapid.T) string { return rapid.SampledFrom([]string{"a", "b"}).Draw(t, "shift") }
		t.Repeat(map[string]func(*rapid.T){
			"step":     func(t *rapid.T) { w.advance(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond) },
			"leap":     func(t *rapid.T) { w.advance(time.Duration(rapid.IntRange(1, 5).Draw(t, "s")) * time.Second) },
			"exchange": func(t *rapid.T) { w.exchange() },
			"settle":   func(t *rapid.T) { w.run(7 * time.Second) },
			"busy": func(t *rapid.T) {
				n, s := name(t), shift(t)
				for range 3 {
					w.flood(n, s)
					w.run(500 * time.Millisecond)
				}
			},
			"flood": func(t *rapid.T) { w.flood(name(t), shift(t)) },
			"floodAll": func(t *rapid.T) {
				for _, n := range sortedKeys(w.holders) {
					w.flood(n, "a")
					w.flood(n, "b")
				}
			},
			"release": func(t *rapid.T) {
				i := randomIndex(t, w.inFlight)
				w.inFlight[i].holder.Release(w.inFlight[i].ticket)
				w.inFlight = slices.Delete(w.inFlight, i, i+1)
			},
			"send":  func(t *rapid.T) { w.send(name(t)) },
			"serve": func(t *rapid.T) { w.serve(randomIndex(t, w.requests), rapid.IntRange(0, 1).Draw(t, "granter")) },
			"apply": func(t *rapid.T) { w.apply(randomIndex(t, w.replies)) },
			"talk": func(t *rapid.T) {
				w.send(name(t))
				w.serve(len(w.requests)-1, w.leader)
			},
			"follow":     func(t *rapid.T) { w.holders[name(t)].ApplySnapshot(w.versions[randomIndex(t, w.versions)]) },
			"elect":      func(t *rapid.T) { w.elect(1 - w.leader) },
			"restart":    func(t *rapid.T) { w.restart(name(t)) },
			"cap":        func(t *rapid.T) { w.caps[shift(t)] = rapid.IntRange(0, 12).Draw(t, "cap"); w.commit() },
			"join":       func(t *rapid.T) { w.join(rapid.SampledFrom([]string{"e1", "e2", "e3", "e4"}).Draw(t, "new")) },
			"removeLive": func(t *rapid.T) { delete(w.entries, name(t)); w.commit() },
			"gone":       func(t *rapid.T) { w.killAndRemove(name(t)) },
			"": func(t *rapid.T) {
				for _, s := range []string{"a", "b"} {
					if n, limit := w.inFlightUnits(s), w.granters[w.leader].CapInForce(s, w.now); n > limit {
						t.Fatalf("shift %s: %d requests run, cap in force %d", s, n, limit)
					}
				}
			},
		})
	})
}

// flood acquires units of the shift at an entry until one is refused.
func (w *simulation) flood(name, shift string) {
	for w.acquire(name, shift) {
	}
}

// join starts an entry unless it is a member.
func (w *simulation) join(name string) {
	if w.entries[name] == 0 {
		w.restart(name)
	}
}

// killAndRemove ends the process of an entry and removes it from the members and
// from both granters. It does nothing to the last entry.
func (w *simulation) killAndRemove(name string) {
	if len(w.holders) == 1 {
		return
	}
	delete(w.entries, name)
	delete(w.holders, name)
	w.commit()
	w.observe(1 - w.leader)
	w.granters[0].InstanceRemoved(name, w.now)
	w.granters[1].InstanceRemoved(name, w.now)
}

// Guards against a granter that enforces the cap by granting too little: one busy
// entry must be able to use the whole cap except the pinned shares of the others,
// and several busy entries must share the cap evenly.
func TestWholeCapIsUsable(t *testing.T) {
	w := newSimulation()
	w.run(8 * time.Second)
	busy := func(names ...string) {
		for range 20 {
			for _, n := range names {
				for w.acquire(n, "a") {
				}
			}
			w.run(500 * time.Millisecond)
		}
	}
	busy("e1")
	others := PinnedShare(w.versions[0], "a", "e2") + PinnedShare(w.versions[0], "a", "e3")
	if got := w.holders["e1"].Limit("a", w.now); got != 9-others {
		t.Errorf("a single busy entry may use %d, want %d", got, 9-others)
	}
	busy("e1", "e2", "e3")
	for _, n := range sortedKeys(w.holders) {
		if got := w.holders[n].Limit("a", w.now); got < 2 || got > 4 {
			t.Errorf("entry %s of three busy ones may use %d of 9", n, got)
		}
	}
	w.disconnect("e1") // its leased units expire; its pinned share stays charged
	busy("e2", "e3")
	want := 9 - PinnedShare(w.versions[0], "a", "e1")
	if got := w.holders["e2"].Limit("a", w.now) + w.holders["e3"].Limit("a", w.now); got != want {
		t.Errorf("two busy entries may use %d besides an unreachable one, want %d", got, want)
	}
}

// Guards against a small cap of which every entry has a pinned share of 0, and
// against pinned shares that do not add up to half of the cap.
func TestSplitPinned(t *testing.T) {
	entries := []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9"}
	for limit, want := range map[int]int{0: 0, 1: 0, 2: 1, 7: 3, 18: 9, 100: 50} {
		sum := 0
		for _, units := range splitPinned("rota", limit, entries) {
			sum += units
		}
		if sum != want {
			t.Errorf("cap %d: pinned shares sum to %d, want %d", limit, sum, want)
		}
	}
}

// Guards against a lowered cap that is reported as in force while an unreachable
// entry may still use its old share, and against reachable entries that do not
// give up the units that the unreachable one may use.
func TestLoweredCapIsPendingUntilAcknowledged(t *testing.T) {
	w := newSimulation()
	w.caps["a"] = 60
	w.commit()
	w.run(10 * time.Second)
	silent := w.holders["e3"]
	delete(w.holders, "e3")
	w.caps["a"] = 12
	w.commit()
	w.run(10 * time.Second)
	pending := w.granters[0].PendingCaps(w.now)
	if len(pending) != 1 || len(pending[0].Missing) != 1 || pending[0].Missing[0] != "e3" || pending[0].OldCap != 60 {
		t.Fatalf("pending caps %v, want shift a from 60 missing e3", pending)
	}
	if got := silent.Limit("a", w.now); got != 10 {
		t.Fatalf("unreachable entry may use %d, want its old pinned share 10", got)
	}
	if sum := w.holders["e1"].Limit("a", w.now) + w.holders["e2"].Limit("a", w.now); sum > 2 {
		t.Errorf("reachable entries may use %d besides 10 of the unreachable one, cap 12", sum)
	}
	w.holders["e3"] = silent
	w.run(3 * time.Second)
	if pending := w.granters[0].PendingCaps(w.now); len(pending) != 0 {
		t.Errorf("caps still pending after all holders acknowledged them: %v", pending)
	}
}

// Guards against a request that is written to the target after its lease has
// expired, because the process was suspended between the check and the write.
func TestTicketInvalidAfterFreeze(t *testing.T) {
	w := newSimulation()
	w.run(8 * time.Second)
	h := w.holders["e1"]
	var last Ticket
	for range 4 {
		for tk, ok := h.Acquire("a", w.now); ok; tk, ok = h.Acquire("a", w.now) {
			last = tk
		}
		w.run(500 * time.Millisecond)
	}
	if !last.leased || !h.TicketValid(last, w.now) {
		t.Fatalf("ticket %+v: want a valid leased unit", last)
	}
	if h.TicketValid(last, w.now.Add(LeaseDuration+time.Second)) {
		t.Error("a leased unit is valid after its expiry")
	}
}
