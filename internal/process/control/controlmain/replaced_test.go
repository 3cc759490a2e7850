package controlmain

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/base/settings"
	"github.com/fescuejunction/fescuejunction/internal/lab/ports"
	"github.com/fescuejunction/fescuejunction/internal/process/control/raft"
	"github.com/fescuejunction/fescuejunction/internal/process/control/replica"
	"google.golang.org/grpc/metadata"
)

// Guards against the removal of control replicas that no other replica has replaced.
func TestReplacedMembers(t *testing.T) {
	// Incarnations are times on the clocks of different instances, so they do not show
	// which of two members joined first. Here they are in the opposite order.
	member := func(dc, addr string, joined uint64) *fescuepb.Member {
		return &fescuepb.Member{
			Instance: addr, Role: fescuepb.Role_ROLE_CONTROL, DataCentre: dc, GrpcAddr: addr, Incarnation: 100 - joined, JoinedVersion: joined,
		}
	}
	peer := func(addr string, voter, active bool) replica.PeerStatus {
		return replica.PeerStatus{ID: addr + "#0", Addr: addr, Voter: voter, Active: active}
	}
	old := member("a", "old", 1)
	for name, tc := range map[string]struct {
		other *fescuepb.Member
		peers []replica.PeerStatus
		want  bool
	}{
		"replaced":                     {member("a", "new", 2), []replica.PeerStatus{peer("old", true, false), peer("new", true, true)}, true},
		"no longer a peer":             {member("a", "new", 2), []replica.PeerStatus{peer("new", true, true)}, true},
		"old replica active":           {member("a", "new", 2), []replica.PeerStatus{peer("old", true, true), peer("new", true, true)}, false},
		"other data centre":            {member("b", "new", 2), []replica.PeerStatus{peer("old", true, false), peer("new", true, true)}, false},
		"other replica joined earlier": {member("a", "new", 0), []replica.PeerStatus{peer("old", true, false), peer("new", true, true)}, false},
		"successor does not vote":      {member("a", "new", 2), []replica.PeerStatus{peer("old", true, false), peer("new", false, true)}, false},
		"successor not active either":  {member("a", "new", 2), []replica.PeerStatus{peer("old", true, false), peer("new", true, false)}, false},
	} {
		got := replacedMembers([]*fescuepb.Member{old, tc.other}, tc.peers)
		if (len(got) == 1 && got[0] == old) != tc.want || len(got) > 1 {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// Guards against the removal of a replica that is suspended for some seconds, because another
// one of its data centre joined after it when the cluster was formed.
func TestSiblingIsNoReplacement(t *testing.T) {
	members := func(perDC ...int) []*fescuepb.Member {
		var out []*fescuepb.Member
		for dc, n := range perDC {
			for range n {
				out = append(out, &fescuepb.Member{Role: fescuepb.Role_ROLE_CONTROL, DataCentre: string(rune('a' + dc))})
			}
		}
		return append(out, &fescuepb.Member{Role: fescuepb.Role_ROLE_ENTRY, DataCentre: "a"})
	}
	for name, tc := range map[string]struct {
		members []*fescuepb.Member
		want    time.Duration
	}{
		"two in each data centre": {members(2, 2, 2), siblingSilenceTimeout},
		"one replaced":            {members(3, 2, 2), replacedSilenceTimeout},
		"one in each, replaced":   {members(2, 1, 1), replacedSilenceTimeout},
		"others replaced":         {members(2, 3, 3), siblingSilenceTimeout},
		"one data centre":         {members(4), replacedSilenceTimeout},
	} {
		if got := silenceTimeout(tc.members, "a"); got != tc.want {
			t.Errorf("%s: removed after %v of silence, want %v", name, got, tc.want)
		}
	}
}

// Guards against a lost voter that stays because its replacement cannot become a voter
// while there are as many as there may be.
func TestReplacedMembersWithAllVoters(t *testing.T) {
	old := &fescuepb.Member{Instance: "old", Role: fescuepb.Role_ROLE_CONTROL, DataCentre: "a", GrpcAddr: "old", JoinedVersion: 1}
	successor := &fescuepb.Member{Instance: "new", Role: fescuepb.Role_ROLE_CONTROL, DataCentre: "a", GrpcAddr: "new", JoinedVersion: 2}
	peers := []replica.PeerStatus{{ID: "old#0", Addr: "old", Voter: true}, {ID: "new#0", Addr: "new", Active: true}}
	for n := 1; n < raft.MaxVoters; n++ {
		addr := fmt.Sprint("voter", n)
		peers = append(peers, replica.PeerStatus{ID: addr + "#0", Addr: addr, Voter: true, Active: true})
	}
	if got := replacedMembers([]*fescuepb.Member{old, successor}, peers); len(got) != 1 || got[0] != old {
		t.Errorf("replaced: %v, want the silent voter", got)
	}
}

// Guards against control replicas that are replaced one after the other without
// leaving the quorum, until the lost voters outnumber the others.
func TestReplacedReplicaLeavesQuorum(t *testing.T) {
	c := startCluster(t)
	addr := ports.For(t)
	s := &Settings{
		Instance: "control-3", Region: "south", DataCentre: "dc1", GRPCAddr: addr, AdminAddr: "127.0.0.1:0",
		DataDir: t.TempDir(), Join: c.addrs, TLS: settings.TLS{PlaintextLoopback: true},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Run(ctx, s, nil, Extension{}, logging.Discard()) }()
	t.Cleanup(func() { cancel(); <-done })
	voters := func() (n int) {
		op := c.operator(t, 1)
		ctx, cancel := context.WithTimeout(metadata.AppendToOutgoingContext(t.Context(), "fescue-team", "a"), time.Second)
		defer cancel()
		st, err := op.Status(ctx, &fescuepb.StatusRequest{})
		if err != nil {
			return 0
		}
		for _, r := range st.GetReplicas() {
			if r.Voter {
				n++
			}
		}
		return n
	}
	waitFor(t, 15*time.Second, "four voters", func() bool { return voters() == 4 })
	_ = c.stop[0]()
	waitFor(t, 15*time.Second, "three voters again", func() bool { return voters() == 3 })
}
