package follow

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"pgregory.net/rapid"
)

// newsWithin is the time in which an entry must receive a change after the control
// replicas have a quorum again. The change itself may take 2.5 s. Much less passes
// on an idle machine; a stall of 1.2 s of the whole process makes followers take
// their sources for silent.
const newsWithin = 2 * time.Second

// fakeControl is a set of control replicas whose counters advance together.
type fakeControl []*fakeSource

func newFakeControl(t *testing.T, n int) fakeControl {
	var c fakeControl
	began := time.Now()
	for range n {
		s := newFakeSource(t, 10, 100)
		s.mu.Lock()
		s.saysStalled = true
		s.counterNow = func() uint64 { return 100 + uint64(time.Since(began)/(100*time.Millisecond)) }
		s.mu.Unlock()
		c = append(c, s)
	}
	return c
}

// watches returns how many watches were opened at all replicas, and how many of
// them are open.
func (c fakeControl) watches() (opened, open int) {
	for _, s := range c {
		s.mu.Lock()
		opened, open = opened+s.opened, open+s.open
		s.mu.Unlock()
	}
	return opened, open
}

func (c fakeControl) addrs() []string {
	var out []string
	for _, s := range c {
		out = append(out, s.addr)
	}
	return out
}

// setCutOff takes the quorum away or gives it back.
func (c fakeControl) setCutOff(cut bool) {
	for _, s := range c {
		s.setCutOff(cut)
	}
}

// set changes the version and pushes it.
func (c fakeControl) set(version uint64) {
	for _, s := range c {
		s.set(version)
		s.hub.Wake()
	}
}

// startDataCentre starts n entries of a data centre that follow control and know
// each other as members.
func startDataCentre(t *testing.T, control fakeControl, n int) []*Follower {
	var entries []*Follower
	for i := range n {
		f := newFollower(fmt.Sprintf("entry-%d", i+1), control.addrs(), nil)
		f.cfg.Self.GrpcAddr = serve(t, f.Register)
		f.cfg.Self.ChangedVersion = 10
		entries = append(entries, f)
	}
	for _, s := range control {
		s.mu.Lock()
		for _, f := range entries {
			s.view.SetMember(f.cfg.Self)
		}
		s.mu.Unlock()
	}
	for _, f := range entries {
		f.received.View.Apply(control[0].Since(0)) // the relays are known, so that the others follow them from the start
	}
	for _, f := range entries {
		start(t, f)
	}
	for _, f := range entries {
		eventually(t, 10*time.Second, "following", f.Ready)
	}
	control.watchedByRelaysOnly(t)
	return entries
}

// watchedByRelaysOnly waits until only the relays of a data centre watch control.
func (c fakeControl) watchedByRelaysOnly(t *testing.T) {
	t.Helper()
	eventually(t, 2*maxUpgradeDelay+2*time.Second, "watches of the relays only", func() bool {
		_, open := c.watches()
		return open == relaysPerDataCentre
	})
}

// slowestNews makes a change and returns how long the last entry takes to put it in
// force, and which it is.
func slowestNews(t *testing.T, control fakeControl, entries []*Follower, version uint64) (time.Duration, string) {
	began := time.Now()
	control.set(version)
	took := make([]time.Duration, len(entries))
	var wg sync.WaitGroup
	for i, f := range entries {
		wg.Go(func() {
			for versionInForce(f) < version && time.Since(began) < 20*time.Second {
				time.Sleep(5 * time.Millisecond)
			}
			took[i] = time.Since(began)
		})
	}
	wg.Wait()
	last := 0
	for i := range took {
		if took[i] > took[last] {
			last = i
		}
	}
	return took[last], entries[last].cfg.Self.Instance
}

// Guards against entries that are without news for seconds after control has a
// quorum again, because they are trying the entries of their data centre, which
// have no source either, one after the other.
func TestNewsSoonAfterQuorumReturns(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		entries int
		outage  time.Duration
	}{{2, 2 * time.Second}, {13, 6 * time.Second}} {
		t.Run(fmt.Sprintf("%d entries", c.entries), func(t *testing.T) {
			control := newFakeControl(t, 6)
			entries := startDataCentre(t, control, c.entries)
			before, _ := control.watches()
			control.setCutOff(true)
			time.Sleep(c.outage)
			opened, _ := control.watches()
			control.setCutOff(false)
			took, last := slowestNews(t, control, entries, 11)
			t.Logf("the last entry had the change after %v; %d watches were opened at control in %v", took, opened-before, c.outage)
			if took > newsWithin {
				t.Errorf("%s had the change after %v, want %v at most", last, took, newsWithin)
			}
			for _, f := range entries {
				eventually(t, newsWithin, "confirmed again", f.Confirmed)
			}
		})
	}
}

// Guards against entries that hold connections to control replicas for the length
// of an outage, in addition to the relays, or that keep more than one source
// afterwards.
func TestWatchesDuringOutage(t *testing.T) {
	t.Parallel()
	control := newFakeControl(t, 6)
	entries := startDataCentre(t, control, 12)
	control.setCutOff(true)
	time.Sleep(5 * time.Second)
	// A source is on trial for a moment, which a sample can meet.
	eventually(t, 4*time.Second, "watches of the relays only, up to maxWaiting each, during the outage", func() bool {
		_, open := control.watches()
		return open <= relaysPerDataCentre*maxWaiting
	})
	control.setCutOff(false)
	for _, f := range entries {
		eventually(t, newsWithin, "confirmed again", f.Confirmed)
	}
	control.watchedByRelaysOnly(t)
}

// Guards against followers that take a relay for silent, and leave it, because it
// pushes nothing from the last counter of its own source on.
func TestPushesWhileSourceHasNoNews(t *testing.T) {
	relay := newFollower("entry-1", nil, nil)
	began, passed := time.Now(), atomic.Int64{} // the server reads the clock too
	relay.now = func() time.Time { return began.Add(time.Duration(passed.Load())) }
	l := newLoop(relay)
	w := &watch{cancel: func() {}, heardAt: began}
	w.progress.lastProgress = began
	l.current = w
	for counter := uint64(1); counter <= 2; counter++ {
		l.handleEvent(event{watch: w, update: &fescuepb.Update{Version: 1, Counter: counter}}, began)
	}
	behind := newFollower("entry-2", nil, nil)
	stream, done, err := behind.openStream(t.Context(), serve(t, relay.Register), behind.watchRequest(0))
	if err != nil {
		t.Fatal(err)
	}
	defer done()
	if _, err := stream.Recv(); err != nil {
		t.Fatal(err)
	}
	pushes := make(chan *fescuepb.Update, 8)
	go func() {
		for {
			u, err := stream.Recv()
			if err != nil {
				return
			}
			pushes <- u
		}
	}()
	for time.Duration(passed.Load()) < counterTimeout-200*time.Millisecond {
		passed.Add(int64(50 * time.Millisecond))
		l.step(t.Context(), relay.now())
	}
	select {
	case u := <-pushes:
		if u.Counter != 2 {
			t.Errorf("pushed counter %d", u.Counter)
		}
	case <-time.After(5 * time.Second):
		t.Errorf("nothing was pushed for %v; followers leave a source that is silent for %v", relay.now().Sub(began), counterTimeout)
	}
}

// Guards against entries that open a new session, which is a change of the
// replicated state, at the source that they followed before it stalled, and
// against old counters that end a search.
func TestSessionGoesOnAfterStall(t *testing.T) {
	f := newFollower("entry-1", []string{"127.0.0.1:1"}, nil)
	now := time.Now()
	f.now = func() time.Time { return now }
	l := newLoop(f)
	w := &watch{source: source{kind: fromControl, addr: "127.0.0.1:1"}, cancel: func() {}, acks: make(chan struct{}, 1)}
	push := func(counter uint64, stalled bool) {
		l.handleEvent(event{watch: w, update: &fescuepb.Update{Version: 1, Counter: counter, Stalled: stalled}}, now)
	}
	l.candidates, w.progress.lastProgress = []*watch{w}, now
	push(1, false)
	push(2, false)
	if l.current != w || w.session.Load() != 1 {
		t.Fatalf("session %d, followed %v", w.session.Load(), l.current == w)
	}
	for range 10 { // stalled for 5 s
		now = now.Add(500 * time.Millisecond)
		l.step(t.Context(), now)
		push(2, true)
	}
	if l.current != nil || f.Confirmed() || !slices.Contains(l.waiting, w) {
		t.Fatalf("current %v, confirmed %v, waiting %v", l.current, f.Confirmed(), l.waiting)
	}
	push(3, false)
	if l.current != w || w.session.Load() != 1 || !f.Confirmed() {
		t.Errorf("session %d, followed %v, confirmed %v", w.session.Load(), l.current == w, f.Confirmed())
	}
}

// Guards against an entry that stays without news because the relays of its data
// centre answer but are cut off from control, while it could reach control.
func TestNewsIfOnlyRelaysAreCutOff(t *testing.T) {
	t.Parallel()
	control := newFakeControl(t, 3)
	f := newFollower("entry-1", control.addrs(), nil)
	relays := newFakeControl(t, 2)
	for _, s := range control {
		for i, r := range relays {
			s.view.SetMember(&fescuepb.Member{Instance: fmt.Sprintf("relay-%d", i), DataCentre: "dc1", Role: fescuepb.Role_ROLE_ENTRY, GrpcAddr: r.addr, ChangedVersion: 10})
		}
	}
	relays.setCutOff(true)
	control.setCutOff(true)
	start(t, f)
	time.Sleep(3 * time.Second)
	control.setCutOff(false)
	eventually(t, 4*time.Second, "confirmed by control", f.Confirmed)
}

// Guards against control replicas that get their turn only after all entries of a
// data centre, and against sources that are never tried again.
func TestSearchOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var plan []source
		preferred := rapid.IntRange(0, 8).Draw(t, "control replicas and relays")
		for i := range preferred + rapid.IntRange(0, 200).Draw(t, "other entries") {
			kind := fromControl
			if i >= preferred {
				kind = fromPeer
			}
			plan = append(plan, source{kind: kind, addr: fmt.Sprintf("s%d", i)})
		}
		s := newSearch(time.Time{}, rapid.SampledFrom([]string{"", "s0", "gone"}).Draw(t, "left"))
		open := rapid.SampledFrom([]string{"", "s1"}).Draw(t, "open")
		isOpen := func(addr string) bool { return addr == open }
		last := map[string]int{}
		for i := range 3 * len(plan) {
			pick, ok := s.next(plan, isOpen)
			if !ok {
				if len(plan) > 1 {
					t.Fatal("no source although some are not open")
				}
				return
			}
			if pick.addr == open {
				t.Fatal("the source is open already")
			}
			s.record(pick)
			last[pick.addr] = i
			for _, p := range plan[:preferred] {
				if p.addr != open && i-last[p.addr] > 2*preferred {
					t.Fatalf("opening %d: %s had its last turn at %d", i, p.addr, last[p.addr])
				}
			}
		}
		for _, p := range plan {
			if _, tried := last[p.addr]; !tried && p.addr != open {
				t.Fatalf("%s was never tried", p.addr)
			}
		}
	})
}

// Guards against watches without news that accumulate, or that are kept at a
// source of less preference than another one that answers.
func TestKeepWaiting(t *testing.T) {
	plan := []source{{kind: fromRelay, addr: "r1"}, {kind: fromRelay, addr: "r2"}}
	for _, addr := range []string{"c1", "c2", "c3", "c4"} {
		plan = append(plan, source{kind: fromControl, addr: addr})
	}
	plan = append(plan, source{kind: fromPeer, addr: "p1"})
	for _, c := range []struct{ open, kept string }{
		{"p1", "p1"}, {"p1 c2", "c2"}, {"c4 c3 c2 c1", "c1 c2 c3"}, {"c1 c2 r2", "r2"}, {"r2 r1", "r1 r2"}, {"gone c1", "c1"}, {"gone", "gone"},
	} {
		var open []*watch
		for _, addr := range strings.Fields(c.open) {
			open = append(open, &watch{source: source{addr: addr}})
		}
		kept, dropped := keepWaiting(plan, open)
		var names []string
		for _, w := range kept {
			names = append(names, w.addr)
		}
		if got := strings.Join(names, " "); got != c.kept || len(kept)+len(dropped) != len(open) {
			t.Errorf("of %q, %q are kept and %d dropped, want %q", c.open, got, len(dropped), c.kept)
		}
	}
}
