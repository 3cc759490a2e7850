package follow

import (
	"testing"
	"time"
)

// Guards against an entry that gets a version late, and loses its confirmation, after its
// source failed and the next one was a version behind when the watch was opened.
func TestNextVersionAfterFailover(t *testing.T) {
	a, b := newFakeSource(t, 30, 100), newFakeSource(t, 30, 100)
	f := newFollower("entry-1", []string{a.addr, b.addr}, nil)
	start(t, f)
	eventually(t, 5*time.Second, "version 30 in force", func() bool { return versionInForce(f) == 30 && f.Confirmed() })
	time.Sleep(time.Second)
	if b.watchedBy("entry-1") {
		a, b = b, a
	}
	a.set(31)
	eventually(t, 5*time.Second, "version 31 in force", func() bool { return versionInForce(f) == 31 })
	a.stop()
	eventually(t, 5*time.Second, "the other source is followed", func() bool { return b.watchedBy("entry-1") })
	b.set(32)
	b.hub.Wake()
	at := time.Now()
	unconfirmed := 0
	for versionInForce(f) < 32 && time.Since(at) < 10*time.Second {
		time.Sleep(5 * time.Millisecond)
		if !f.Confirmed() {
			unconfirmed++
		}
	}
	if d := time.Since(at); d > 500*time.Millisecond {
		t.Errorf("version 32 was in force %v after the source had it; the entry was unconfirmed in %d samples of 5 ms", d, unconfirmed)
	}
}
