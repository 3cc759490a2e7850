package follow

import (
	"net"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/process/control"
)

// Guards against a follower that does not join or misses accepted changes, even if
// it can reach control only through another entry.
func TestFollowsControl(t *testing.T) {
	t.Parallel()
	srv, addr := startControl(t)
	sections := []control.InitialSection{{Team: "platform", YAML: []byte(platformYAML)}}
	if err := srv.LoadInitial(t.Context(), sections); err != nil {
		t.Fatal(err)
	}
	f := newFollower("entry-1", []string{addr}, nil)
	start(t, f)
	eventually(t, 3*time.Second, "ready with itself as member", func() bool {
		if !f.Ready() {
			return false
		}
		s := f.cfg.Store.Load()
		return f.Confirmed() && s.Member("entry-1") != nil && s.Region("dc2") == "south"
	})
	behind := newFollower("entry-2", []string{"127.0.0.1:1"}, []string{serve(t, f.Register)})
	start(t, behind)
	eventually(t, 3*time.Second, "member through entry-1", func() bool { return f.cfg.Store.Load().Member("entry-2") != nil })
	if err := behind.Leave(t.Context(), true); err != nil {
		t.Fatal(err)
	}
	eventually(t, time.Second, "entry-2 gone", func() bool { return f.cfg.Store.Load().Member("entry-2") == nil })
	if err := f.Leave(t.Context(), true); err != nil {
		t.Fatal(err)
	}
	eventually(t, time.Second, "no member after it left", func() bool { return f.cfg.Store.Load().Member("entry-1") == nil })
}

// Guards against a restarted process that puts the version of cut-off replicas in
// force, whether it follows one of them, several in turn, or a relay that switches
// between them.
func TestNoVersionInForceUntilConfirmed(t *testing.T) {
	t.Parallel()
	var sources []*fakeSource
	var addrs []string
	for i := range uint64(3) {
		s := newFakeSource(t, 10+i, 100*(i+1))
		s.setCutOff(true)
		sources, addrs = append(sources, s), append(addrs, s.addr)
	}
	relay := newFollower("entry-1", addrs, nil)
	start(t, relay)
	behind := newFollower("entry-2", nil, []string{serve(t, relay.Register)})
	start(t, behind)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if relay.Ready() || behind.Ready() || versionInForce(relay) != 0 || versionInForce(behind) != 0 {
			t.Fatalf("versions %d, %d in force without confirmation", versionInForce(relay), versionInForce(behind))
		}
	}
	for _, s := range sources {
		s.setCutOff(false)
	}
	eventually(t, 4*time.Second, "ready", func() bool { return relay.Ready() && behind.Ready() })
	if versionInForce(relay) != 12 || versionInForce(behind) != 12 {
		t.Fatalf("versions %d, %d, want the highest one seen", versionInForce(relay), versionInForce(behind))
	}
}

// Guards against a restarted entry that cannot serve because its data centre is
// cut off from control, and against one that takes a version from a peer which was
// itself restarted and has confirmed no version.
func TestCutOffDataCentre(t *testing.T) {
	t.Parallel()
	src := newFakeSource(t, 10, 100)
	peer := newFollower("entry-1", []string{src.addr}, nil)
	start(t, peer)
	eventually(t, 3*time.Second, "peer ready", peer.Ready)
	src.stop()
	restarted := newFollower("entry-2", []string{src.addr}, []string{serve(t, peer.Register)})
	start(t, restarted)
	eventually(t, degradedAfter+2*time.Second, "served by the peer", func() bool { return versionInForce(restarted) == 10 })
	if restarted.Confirmed() || restarted.uninterrupted() {
		t.Fatal("a version taken from a peer counts as confirmed")
	}
	second := newFollower("entry-3", []string{src.addr}, []string{serve(t, restarted.Register)})
	start(t, second)
	time.Sleep(degradedAfter + 1500*time.Millisecond)
	if second.Ready() {
		t.Fatal("took the version of a peer that was itself restarted")
	}
}

// Guards against a relay that does not pass updates to the entries that follow it,
// or does not pass their acknowledged versions to control.
func TestRelayForwardsUpdatesAndAcks(t *testing.T) {
	t.Parallel()
	src := newFakeSource(t, 10, 100)
	relay := newFollower("entry-1", []string{src.addr}, nil)
	start(t, relay)
	behind := newFollower("entry-2", nil, []string{serve(t, relay.Register)})
	start(t, behind)
	eventually(t, 4*time.Second, "both ready", func() bool { return relay.Ready() && behind.Ready() })
	src.set(11)
	src.hub.Wake()
	eventually(t, 500*time.Millisecond, "change at both", func() bool { return versionInForce(relay) == 11 && versionInForce(behind) == 11 })
	eventually(t, time.Second, "acknowledgements at control", func() bool {
		acks := src.hub.Acks.All()
		return acks["entry-1"].Version == 11 && acks["entry-2"].Version == 11
	})
}

// Guards against an entry that waits for a source that does not answer while
// another source would. After an outage of all processes, some start later.
func TestTriesSeveralSourcesAtStart(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0") // it never accepts, so connections stay in its backlog
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	good := newFakeSource(t, 5, 100)
	for _, sources := range [][]string{{silent.Addr().String(), good.addr}, {good.addr, silent.Addr().String()}} {
		f := newFollower("entry-1", sources, nil)
		began := time.Now()
		start(t, f)
		eventually(t, counterTimeout, "a version in force from the source that answers", f.Ready)
		t.Logf("ready after %v", time.Since(began))
	}
}
