package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against the removal of an entry that may still run, at each
// condition alone, and against one that is never removed.
func TestKeep(t *testing.T) {
	gone := Evidence{Named: true, Reads: 3, UnlistedFor: 10 * time.Second, SilentFor: 10 * time.Second, JoinedFor: 20 * time.Second}
	for name, c := range map[string]struct {
		change func(*Evidence)
		remove bool
	}{
		"gone":                   {func(*Evidence) {}, true},
		"listed":                 {func(e *Evidence) { e.Reads = 0 }, false},
		"two reads":              {func(e *Evidence) { e.Reads = 2 }, false},
		"three quick reads":      {func(e *Evidence) { e.UnlistedFor -= time.Millisecond }, false},
		"heard":                  {func(e *Evidence) { e.SilentFor -= time.Millisecond }, false},
		"never listed, new":      {func(e *Evidence) { e.Named, e.JoinedFor = false, time.Minute }, false},
		"never listed, old":      {func(e *Evidence) { e.Named, e.JoinedFor = false, time.Minute+1 }, true},
		"a replica has not said": {func(e *Evidence) { e.Unanswered = true }, false},
	} {
		e := gone
		c.change(&e)
		if got := e.Keep(); (got == "") != c.remove {
			t.Errorf("%s: kept because %q", name, got)
		}
	}
}

// judgement is what one read of the list saw.
type judgement struct {
	at     time.Time
	usable bool
	names  bool
	heard  time.Time
	joined bool // anew before this read
	answer bool // of the other replica
	host   bool // of the other replica is listed
}

// gone is the rule again, written over the whole history.
func gone(h []judgement) bool {
	now := h[len(h)-1]
	run, named, heard, seen := 0, false, time.Time{}, now.at
	unlisted := true // every read so far, newest first
	hostRun, hostNamed, hostOut := 0, false, true
	for i := len(h) - 1; i >= 0; i-- {
		broken := !h[i].usable || i+1 < len(h) && h[i+1].at.Sub(h[i].at) > 8*time.Second
		unlisted, hostOut = unlisted && !broken && !h[i].names, hostOut && !broken && !h[i].host
		if unlisted {
			run = len(h) - i
		}
		if hostOut {
			hostRun = len(h) - i
		}
		hostNamed = hostNamed || h[i].usable && h[i].host
	}
	for i := len(h) - 1; i >= 0; i-- {
		if h[i].usable {
			named, seen = named || h[i].names, h[i].at
			if h[i].heard.After(heard) {
				heard = h[i].heard
			}
		}
		if h[i].joined {
			break
		}
	}
	lasted := func(n int) bool { return n >= 3 && now.at.Sub(h[len(h)-n].at) >= 10*time.Second }
	if heard.IsZero() {
		heard = seen
	}
	return now.usable && lasted(run) && now.at.Sub(heard) >= 10*time.Second &&
		(named || now.at.Sub(seen) > time.Minute) && (now.answer || hostNamed && lasted(hostRun))
}

// Guards against the removal of an entry after any history of lists that
// lag, fail or pause, of replicas that hear it or do not answer, and of new
// processes; and against one that is kept against the rule.
func TestRemovalsFollowTheRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, now, inc, heard := NewDepartures(), time.Unix(1000, 0), uint64(1), time.Time{}
		mostly := func(label string) bool { return rapid.IntRange(0, 15).Draw(t, label) > 0 }
		var history []judgement
		for range rapid.IntRange(1, 50).Draw(t, "reads") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 2, 2, 2, 4, 8, 9}).Draw(t, "pause")) * time.Second)
			j := judgement{at: now, usable: mostly("read"), names: !mostly("unlisted"), answer: rapid.Bool().Draw(t, "answer"), host: rapid.IntRange(0, 5).Draw(t, "host") == 0}
			if j.joined = !mostly("same process") && len(history) > 0; j.joined {
				inc, heard = inc+1, time.Time{}
			}
			if !mostly("silent") {
				heard = now.Add(-time.Duration(rapid.IntRange(0, 12).Draw(t, "age")) * time.Second)
			}
			if mostly("replica keeps what it heard") {
				j.heard = heard
			}
			history = append(history, j)
			var list []Listed
			if j.usable {
				list = append(list, Listed{ID: "other", Role: RoleEntry, Address: "10.0.0.9:1"})
			}
			if j.names {
				list = append(list, Listed{ID: "e1", Role: RoleEntry, Address: "10.0.0.1:1"})
				history[len(history)-1].usable = true
			}
			if j.host {
				list = append(list, Listed{ID: "t1", Role: RoleTarget, Address: "10.0.0.2:1"})
			}
			removed := false
			for _, dec := range d.Judge(list, []Entry{{"e1", inc, "10.0.0.1:1", j.heard}}, []Replica{{"10.0.0.2", j.answer}}, now) {
				removed = dec.Keep() == ""
			}
			if want := gone(history); removed != want {
				t.Fatalf("removed %t, want %t", removed, want)
			}
		}
	})
}

// Guards against an entry that is removed because the platform identifies it
// by another name, and against one that its successor at the address keeps.
func TestNamesOfEntries(t *testing.T) {
	entries := []Entry{{Instance: "e1", Address: "a:1"}, {Instance: "e2", Address: "b:1"}}
	for id, want := range map[string]bool{"e1": true, "vm-17": true, "e2": false} {
		n := namesOf([]Listed{{ID: id, Role: RoleEntry, Address: "a:1"}}, entries)
		if got := n.entry(entries[0]); got != want {
			t.Errorf("address listed as %s: named %t, want %t", id, got, want)
		}
	}
}
