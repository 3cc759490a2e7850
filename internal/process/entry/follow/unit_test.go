package follow

import (
	"fmt"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/state"
	"github.com/fescuejunction/fescuejunction/internal/version/view"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

// Guards against a version that is confirmed by cut-off replicas, whose counters
// do not advance. Watches are opened, and counters arrive, in random order,
// directly and through a relay that switches between replicas.
func TestCutOffReplicasNeverConfirm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		counters := rapid.SliceOfN(rapid.Uint64Range(0, 20), 1, 5).Draw(t, "counters")
		relay := newFollower("relay", nil, nil)
		var follower freshness
		onRelay, direct, behind := &watchProgress{}, &watchProgress{}, &watchProgress{}
		cut := rapid.SampledFrom(counters)
		from := cut.Draw(t, "relay's source")
		for range 50 {
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				onRelay, from = &watchProgress{}, cut.Draw(t, "relay's source")
			case 1:
				direct = &watchProgress{}
			case 2:
				behind = &watchProgress{}
			case 3:
				relay.applyUpdate(onRelay, &fescuepb.Update{Version: from, Counter: from}, time.Now())
			case 4:
				follower.observe(direct, cut.Draw(t, "counter of a new watch"), time.Now())
				direct = &watchProgress{}
			case 5:
				follower.observe(behind, relaySource{relay}.Counter(), time.Now())
			}
			if follower.isFresh(time.Now()) || direct.caughtUp || behind.caughtUp || direct.confirmsVersion() || behind.confirmsVersion() || relay.Ready() {
				t.Fatal("confirmed by cut-off replicas")
			}
		}
	})
}

// Guards against a counter that counts as an advance twice, also after a switch to
// another source, and against a healthy candidate that never catches up because
// another watch receives each counter earlier.
func TestFreshness(t *testing.T) {
	now := time.Now()
	var f freshness
	first, second := &watchProgress{}, &watchProgress{}
	for i, s := range []struct {
		w       *watchProgress
		counter uint64
		advance bool
	}{
		{first, 0, false}, {first, 5, false}, {first, 5, false}, {first, 6, true}, {first, 4, false},
		{second, 6, false}, {second, 6, false}, {first, 7, true}, {second, 7, false}, {second, 8, true},
	} {
		if got := f.observe(s.w, s.counter, now); got != s.advance {
			t.Fatalf("step %d: advance %v", i, got)
		}
	}
	beside := &watchProgress{}
	for _, c := range []uint64{7, 8} {
		if f.observe(beside, c, now) || beside.caughtUp != (c == 8) {
			t.Fatalf("counter %d beside another watch: %+v", c, beside)
		}
	}
	if !first.confirmsVersion() || second.confirmsVersion() || !f.isFresh(now.Add(freshnessWindow-1)) || f.isFresh(now.Add(freshnessWindow)) {
		t.Fatalf("advances %d, %d", first.advances, second.advances)
	}
}

// Guards against a version in force that decreases or whose content differs from
// what was accepted, at a follower that switches between sources that delay,
// lose, repeat and reorder updates.
func TestVersionInForceNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := state.New()
		f := newFollower("entry-1", nil, nil)
		members := map[uint64]int{}
		watches := []*watchProgress{{}, {}, {}}
		var sent []*fescuepb.Update
		for index := uint64(1); index < 40; index++ {
			instance := fmt.Sprintf("e%d", rapid.IntRange(0, 4).Draw(t, "instance"))
			cmd := &fescuepb.Command{Body: &fescuepb.Command_Join{Join: &fescuepb.JoinRequest{
				Member: &fescuepb.Member{Instance: instance, Incarnation: index, Role: fescuepb.Role_ROLE_ENTRY},
			}}}
			if rapid.Bool().Draw(t, "leave") {
				cmd.Body = &fescuepb.Command_Leave{Leave: &fescuepb.LeaveRequest{Instance: instance, Incarnation: m.Incarnation(instance), Gone: true}}
			}
			data, _ := proto.Marshal(cmd)
			m.Apply(index, data)
			members[m.Version()] = len(m.Members())
			u := m.Since(f.watchRequest(0).Version)
			u.Counter = index
			sent = append(sent, u)
			for range rapid.IntRange(0, 3).Draw(t, "deliveries") {
				w := rapid.SampledFrom(watches).Draw(t, "watch")
				before := versionInForce(f)
				f.applyUpdate(w, rapid.SampledFrom(sent).Draw(t, "update"), time.Now())
				now := versionInForce(f)
				if now < before || (now > 0 && !f.Ready()) {
					t.Fatalf("version %d after %d", now, before)
				}
				if now > 0 && len(f.cfg.Store.Load().Members()) != members[now] {
					t.Fatalf("version %d has %d members, want %d", now, len(f.cfg.Store.Load().Members()), members[now])
				}
			}
		}
	})
}

// Guards against a data centre with too few or too many relays, and against
// followers that plan only some of the available sources.
func TestPlanSources(t *testing.T) {
	entry := func(i int, leaving bool) *fescuepb.Member {
		return &fescuepb.Member{
			Instance: fmt.Sprintf("e%d", i), DataCentre: "dc1", Role: fescuepb.Role_ROLE_ENTRY,
			GrpcAddr: fmt.Sprintf("e%d:1", i), Leaving: leaving,
		}
	}
	members := []*fescuepb.Member{
		{Instance: "far", DataCentre: "dc2", Role: fescuepb.Role_ROLE_ENTRY, GrpcAddr: "far:1"},
		{Instance: "c3", DataCentre: "dc1", Role: fescuepb.Role_ROLE_CONTROL, GrpcAddr: "c3:1"},
	}
	for i := range 6 {
		members = append(members, entry(i, i >= 4))
	}
	direct := 0
	for i := range 4 {
		plan := planSources(entry(i, false), members, []string{"c1:1", "c2:1"}, []string{"old:1", "e1:1"})
		if plan[0].kind == fromControl {
			direct++
		}
		kinds := map[sourceKind]int{}
		for _, s := range plan {
			kinds[s.kind]++
			if s.addr == fmt.Sprintf("e%d:1", i) || s.addr == "far:1" || s.addr == "e5:1" {
				t.Errorf("entry %d plans to follow %v", i, s)
			}
		}
		if kinds[fromControl] != 3 || len(plan) != 3+3+1 {
			t.Errorf("entry %d: plan %v", i, plan)
		}
	}
	if direct != relaysPerDataCentre {
		t.Errorf("%d entries follow control directly", direct)
	}
	if plan := planSources(entry(0, false), nil, []string{"c1:1"}, []string{"e1:1"}); plan[0].kind != fromControl || len(plan) != 2 {
		t.Errorf("plan without members: %v", plan)
	}
}

// Guards against a process that was suspended and takes the counters that were
// queued in its socket meanwhile as fresh.
func TestQueuedCountersAfterFreeze(t *testing.T) {
	f := newFollower("entry-1", []string{"127.0.0.1:1"}, nil)
	l := newLoop(f)
	frozenAt := time.Now()
	w := &watch{cancel: func() {}}
	w.progress.lastProgress = frozenAt
	l.current = w
	now := frozenAt.Add(counterTimeout)
	for counter := uint64(1); counter < 5; counter++ {
		l.handleEvent(event{watch: w, update: &fescuepb.Update{Version: counter, Counter: counter}}, now)
	}
	if l.current != nil || f.freshness.isFresh(now) || f.Ready() {
		t.Fatal("old counters were taken for fresh ones")
	}
}

// Guards against a process that keeps acting on an old version after its machine
// was suspended. The monotonic clock does not count the time of the suspension, so
// by that clock the source has just been heard.
func TestSourceExpiresAfterSuspension(t *testing.T) {
	f := newFollower("entry-1", []string{"127.0.0.1:1"}, nil)
	now := time.Now()
	f.now = func() time.Time { return now }
	l := newLoop(f)
	l.current = &watch{cancel: func() {}}
	l.current.progress.lastProgress, l.nextUpgradeAt = now, now.Add(maxUpgradeDelay)
	f.freshness.lastAdvance, f.freshness.advancedAt = 1, now
	f.confirmation.confirm(now)
	if !f.Confirmed() || l.untilWake() <= 0 {
		t.Fatalf("confirmed %v, next step in %v", f.Confirmed(), l.untilWake())
	}
	now = now.Add(5 * time.Second) // suspended
	if f.Confirmed() || l.untilWake() > 0 {
		t.Errorf("confirmed %v, next step in %v: the source has not been heard for 5 s", f.Confirmed(), l.untilWake())
	}
}

// Guards against an entry that takes the content it holds for confirmed, and answers
// 404 for a route that is still on its way, because the counter advances ahead of the
// content; and against one that leaves its source while pages arrive, or stays with a
// source that sends none.
func TestCounterAheadOfContentConfirmsNothing(t *testing.T) {
	large := view.New()
	for i := range 3 {
		large.SetMember(&fescuepb.Member{Instance: fmt.Sprint("e", i), Role: fescuepb.Role_ROLE_ENTRY, ChangedVersion: uint64(i + 1)})
	}
	f := newFollower("entry", nil, nil)
	now := time.Now()
	f.now = func() time.Time { return now }
	w := &watchProgress{lastProgress: now, contentAt: now}
	counter := uint64(0)
	send := func(u *fescuepb.Update) {
		counter++
		u.Counter = counter
		now = now.Add(500 * time.Millisecond)
		f.applyUpdate(w, u, now)
	}
	for range 2 {
		send(large.Page(f.received.Position(), 1))
		for range 3 {
			send(large.Beat(f.received.Position()))
		}
		if f.Confirmed() || f.Ready() || w.caughtUp {
			t.Fatal("confirmed by a counter that is ahead of the content")
		}
		if f.stalled() || now.Sub(w.lastProgress) > 0 {
			t.Fatalf("the source counts as stalled %v after its latest page", now.Sub(w.contentAt))
		}
		if relaySource := (relaySource{f}); f.pending() != counter || relaySource.Counter() != 0 {
			t.Fatalf("pending counter %d, relayed counter %d, want %d and 0", f.pending(), relaySource.Counter(), counter)
		}
	}
	for range 10 {
		send(large.Beat(f.received.Position()))
	}
	if !f.stalled() || now.Sub(w.lastProgress) < counterTimeout {
		t.Error("a source that sends no further page is kept")
	}
	w = &watchProgress{lastProgress: now, contentAt: now}
	for range 3 {
		send(large.Page(f.received.Position(), 1))
	}
	if !f.Ready() || versionInForce(f) != 3 || !f.Confirmed() {
		t.Errorf("version %d in force after the last page, confirmed %v", versionInForce(f), f.Confirmed())
	}
}
