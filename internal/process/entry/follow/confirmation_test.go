package follow

import (
	"fmt"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/view"
)

// Guards against a process that takes requests on the version from before a suspension for
// confirmed, or that waits for a confirmation when it is cut off.
func TestResumingAfterSuspension(t *testing.T) {
	f := newFollower("entry-1", []string{"127.0.0.1:1"}, nil)
	now := time.Now()
	f.now = func() time.Time { return now }
	expect := func(when string, confirmed bool, resuming time.Duration) {
		t.Helper()
		if f.Confirmed() != confirmed || f.Resuming() != resuming {
			t.Errorf("%s: confirmed %v, resuming for %v; want %v, %v", when, f.Confirmed(), f.Resuming(), confirmed, resuming)
		}
	}
	expect("before the start", false, 0)
	f.recordStep()
	f.confirmation.confirm(now)
	expect("confirmed", true, 0)
	now = now.Add(beatInterval)
	f.recordStep()
	expect("a step later", true, 0)
	now = now.Add(3500 * time.Millisecond)
	expect("suspended, before the loop runs", false, resumeTimeout)
	f.recordStep()
	expect("suspended, as the loop runs", false, resumeTimeout)
	now = now.Add(beatInterval)
	f.recordStep()
	expect("not confirmed yet", false, resumeTimeout-beatInterval)
	f.confirmation.confirm(now)
	expect("confirmed again", true, resumeTimeout-beatInterval)
	for range 4 {
		now = now.Add(beatInterval)
		f.recordStep()
	}
	expect("cut off", false, 0)
}

// Guards against a counter that confirms a version which is not in force here: the process
// has just started, or the snapshot of a newer version cannot be built.
func TestCounterConfirmsVersionInForceOnly(t *testing.T) {
	content := view.New()
	content.SetMember(&fescuepb.Member{Instance: "e1", Role: fescuepb.Role_ROLE_ENTRY, ChangedVersion: 1})
	f := newFollower("entry", nil, nil)
	now := time.Now()
	f.now = func() time.Time { return now }
	w := &watchProgress{lastProgress: now, contentAt: now}
	counter := uint64(0)
	send := func(u *fescuepb.Update) {
		counter++
		u.Counter = counter
		now = now.Add(100 * time.Millisecond)
		f.applyUpdate(w, u, now)
	}
	send(content.Since(0))
	send(content.Since(1))
	if f.Ready() || f.Confirmed() {
		t.Fatal("confirmed before a version is in force")
	}
	send(content.Since(1))
	if !f.Ready() || !f.Confirmed() {
		t.Fatalf("in force %v, confirmed %v after %d counters", f.Ready(), f.Confirmed(), counter)
	}
	unreadable := &fescuepb.Section{Team: "platform", Yaml: []byte("services: {")}
	for range 20 {
		u := content.Since(1)
		u.Base, u.Version, u.Sections = f.received.View.Version, 2, nil
		if f.received.View.Version < 2 {
			u.Sections = []*fescuepb.Section{unreadable}
		}
		send(u)
	}
	if versionInForce(f) != 1 || f.Confirmed() {
		t.Errorf("version %d in force, confirmed %v, while version %d cannot be used", versionInForce(f), f.Confirmed(), f.received.View.Version)
	}
}

// Guards against a request that waits for the lock of the follower, which is held while a
// snapshot is built.
func TestConfirmationTakesNoLock(t *testing.T) {
	f := newFollower("entry", nil, nil)
	f.mu.Lock()
	defer f.mu.Unlock()
	done := make(chan string, 1)
	go func() { done <- fmt.Sprint(f.Confirmed(), f.Resuming()) }()
	select {
	case <-done:
	case <-time.After(2 * time.Second):
		t.Fatal("blocked")
	}
}
