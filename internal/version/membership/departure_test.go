package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against the removal of an entry that may still run: each condition
// alone must prevent it. Also guards against an entry that is never removed.
func TestKeepReason(t *testing.T) {
	removable := Evidence{ListedSinceJoin: true, UnlistedReads: 3, UnlistedFor: 10 * time.Second, SilentFor: 10 * time.Second, JoinedFor: 20 * time.Second}
	for name, c := range map[string]struct {
		change func(*Evidence)
		remove bool
	}{
		"gone":                     {func(*Evidence) {}, true},
		"listed":                   {func(e *Evidence) { e.UnlistedReads = 0 }, false},
		"two reads":                {func(e *Evidence) { e.UnlistedReads = 2 }, false},
		"three quick reads":        {func(e *Evidence) { e.UnlistedFor -= time.Millisecond }, false},
		"heard":                    {func(e *Evidence) { e.SilentFor -= time.Millisecond }, false},
		"never listed, new":        {func(e *Evidence) { e.ListedSinceJoin, e.JoinedFor = false, time.Minute }, false},
		"never listed, old":        {func(e *Evidence) { e.ListedSinceJoin, e.JoinedFor = false, time.Minute+1 }, true},
		"a replica did not report": {func(e *Evidence) { e.ReplicaUnanswered = true }, false},
	} {
		e := removable
		c.change(&e)
		if got := e.KeepReason(); (got == "") != c.remove {
			t.Errorf("%s: kept because %q", name, got)
		}
	}
}

// listRead is one read of the list as the reference model sees it.
type listRead struct {
	at              time.Time
	usable          bool
	entryListed     bool
	lastHeard       time.Time
	newProcess      bool // a new process of the entry joined before this read
	replicaAnswered bool // the other replica answered
	replicaListed   bool // the host of the other replica is listed
}

// shouldRemove is the reference model: it states the removal rule as a function
// of the whole history instead of incrementally.
func shouldRemove(history []listRead) bool {
	now := history[len(history)-1]
	unlistedReads, everListed, lastHeard, firstSeen := 0, false, time.Time{}, now.at
	unlisted := true // in every read so far, from the newest backwards
	hostUnlistedReads, hostEverListed, hostUnlisted := 0, false, true
	for i := len(history) - 1; i >= 0; i-- {
		interrupted := !history[i].usable || i+1 < len(history) && history[i+1].at.Sub(history[i].at) > 8*time.Second
		unlisted, hostUnlisted = unlisted && !interrupted && !history[i].entryListed, hostUnlisted && !interrupted && !history[i].replicaListed
		if unlisted {
			unlistedReads = len(history) - i
		}
		if hostUnlisted {
			hostUnlistedReads = len(history) - i
		}
		hostEverListed = hostEverListed || history[i].usable && history[i].replicaListed
	}
	for i := len(history) - 1; i >= 0; i-- {
		if history[i].usable {
			everListed, firstSeen = everListed || history[i].entryListed, history[i].at
			if history[i].lastHeard.After(lastHeard) {
				lastHeard = history[i].lastHeard
			}
		}
		if history[i].newProcess {
			break
		}
	}
	longEnough := func(n int) bool { return n >= 3 && now.at.Sub(history[len(history)-n].at) >= 10*time.Second }
	if lastHeard.IsZero() {
		lastHeard = firstSeen
	}
	return now.usable && longEnough(unlistedReads) && now.at.Sub(lastHeard) >= 10*time.Second &&
		(everListed || now.at.Sub(firstSeen) > time.Minute) && (now.replicaAnswered || hostEverListed && longEnough(hostUnlistedReads))
}

// Guards against a tracker that removes an entry that the rule keeps, or keeps
// one that the rule removes. The histories have lists that lag, fail or pause,
// replicas that hear from the entry or do not answer, and restarts of the entry.
func TestRemovalsMatchReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker, now, incarnation, heard := NewDepartureTracker(), time.Unix(1000, 0), uint64(1), time.Time{}
		mostly := func(label string) bool { return rapid.IntRange(0, 15).Draw(t, label) > 0 }
		var history []listRead
		for range rapid.IntRange(1, 50).Draw(t, "reads") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 2, 2, 2, 4, 8, 9}).Draw(t, "pause")) * time.Second)
			read := listRead{at: now, usable: mostly("read"), entryListed: !mostly("unlisted"), replicaAnswered: rapid.Bool().Draw(t, "answer"), replicaListed: rapid.IntRange(0, 5).Draw(t, "host") == 0}
			if read.newProcess = !mostly("same process") && len(history) > 0; read.newProcess {
				incarnation, heard = incarnation+1, time.Time{}
			}
			if !mostly("silent") {
				heard = now.Add(-time.Duration(rapid.IntRange(0, 12).Draw(t, "age")) * time.Second)
			}
			if mostly("replica keeps what it heard") {
				read.lastHeard = heard
			}
			history = append(history, read)
			var list []ListedInstance
			if read.usable {
				list = append(list, ListedInstance{ID: "other", Role: RoleEntry, Address: "10.0.0.9:1"})
			}
			if read.entryListed {
				list = append(list, ListedInstance{ID: "e1", Role: RoleEntry, Address: "10.0.0.1:1"})
				history[len(history)-1].usable = true
			}
			if read.replicaListed {
				list = append(list, ListedInstance{ID: "t1", Role: RoleTarget, Address: "10.0.0.2:1"})
			}
			removed := false
			for _, candidate := range tracker.Evaluate(list, []Entry{{"e1", incarnation, "10.0.0.1:1", read.lastHeard}}, []Replica{{"10.0.0.2", read.replicaAnswered}}, now) {
				removed = candidate.KeepReason() == ""
			}
			if want := shouldRemove(history); removed != want {
				t.Fatalf("removed %t, want %t", removed, want)
			}
		}
	})
}

// Guards against an entry that is removed although the platform lists it under
// another identifier, and against an entry that stays a member because another
// committed entry is listed at its former address.
func TestEntryMatchesListedNames(t *testing.T) {
	entries := []Entry{{Instance: "e1", Address: "a:1"}, {Instance: "e2", Address: "b:1"}}
	for id, want := range map[string]bool{"e1": true, "vm-17": true, "e2": false} {
		n := collectNames([]ListedInstance{{ID: id, Role: RoleEntry, Address: "a:1"}}, entries)
		if got := n.containsEntry(entries[0]); got != want {
			t.Errorf("address listed as %s: named %t, want %t", id, got, want)
		}
	}
}
