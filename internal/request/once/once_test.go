package once

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/process/entry/group"
	"github.com/fescuejunction/fescuejunction/internal/request/proxy"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

const testDocument = `team: platform
regions: [{name: north, data_centres: [n1, n2]}]
limits: {longest_deadline: 1s, once_retention: 60s}
services:
  - {name: swaps, data_centres: [n1], slots_per_target: 5, routes: [{path: /, once: true}]}
`

var errDisconnected = errors.New("connection cut")

// cluster simulates one dispatch group: the entries of its data centre n1, and
// entry x in n2 of the same region, which can hold backups.
type cluster struct {
	t            *rapid.T
	now          time.Time
	snap         *snapshot.Snapshot
	nodes        map[string]*node
	groupMembers []string // entries of the group's data centre
	disconnected map[string]bool
	claims       map[string]*fescuepb.GroupClaim
	runCounts    map[string]int // number of runs by key
	epochCount   int
	// loseReply makes the next reply of a peer get lost after the call took
	// effect.
	loseReply bool
}

type node struct {
	incarnation uint64
	core        *group.Core
	svc         *Service
	running     map[string]bool
}

func newCluster(t *rapid.T, local int) *cluster {
	cl := &cluster{
		t: t, now: time.Unix(1000, 0), nodes: map[string]*node{}, disconnected: map[string]bool{},
		claims: map[string]*fescuepb.GroupClaim{}, runCounts: map[string]int{}, groupMembers: []string{"e1", "e2", "e3"}[:local],
	}
	for _, n := range cl.groupMembers {
		cl.start(n, "n1")
	}
	cl.start("x", "n2")
	return cl
}

func (cl *cluster) start(name, dc string) {
	n := &node{incarnation: 1, running: map[string]bool{}}
	if old := cl.nodes[name]; old != nil {
		n.incarnation = old.incarnation + 1
	}
	cl.nodes[name] = n
	cl.publishMembers()
	store := &snapshot.Store{}
	store.Swap(cl.snap)
	n.core = group.NewCore(name, dc, n.incarnation, cl.now, func() string { cl.epochCount++; return fmt.Sprintf("T%d", cl.epochCount) })
	n.svc = New(Config{
		Instance: name, DataCentre: dc, Incarnation: n.incarnation, Store: store, Log: logging.Discard(),
		Role: func(s string) Role {
			p := n.core.Previous(s)
			return Role{Epoch: n.core.Epoch(s), IsDispatcher: n.core.IsDispatcher(s), Dispatcher: n.core.Dispatcher(s), Token: n.core.Token(s), Previous: p.Instance, PreviousIncarnation: p.Incarnation, PreviousSilent: p.Silent}
		},
		ProvedDead:             func(i string) bool { return n.core.ProvedDead(i, cl.now) },
		Leaving:                func(i string) bool { return n.core.Leaving(i) },
		DiedWithoutTakeover:    func(i string) bool { return n.core.DiedWithoutTakeover(i, cl.now) },
		AllEntriesAccountedFor: func() bool { return n.core.AllEntriesAccountedFor(cl.now) },
		RaiseEpoch:             n.core.RaiseEpoch,
		Peer:                   func(m *fescuepb.Member) Peer { return link{cl, name, m} },
		AddressRefused:         func(m *fescuepb.Member) bool { return cl.nodes[m.Instance].core == nil },
		Now:                    func() time.Time { return cl.now },
		Claim:                  cl.claim,
	})
	cl.publishMembers()
}

// publishMembers gives every running process a new version with the current
// members.
func (cl *cluster) publishMembers() {
	var members []*fescuepb.Member
	for name, n := range cl.nodes {
		dc := "n1"
		if name == "x" {
			dc = "n2"
		}
		members = append(members, &fescuepb.Member{Instance: name, DataCentre: dc, Role: fescuepb.Role_ROLE_ENTRY, Incarnation: n.incarnation})
	}
	version := uint64(1)
	if cl.snap != nil {
		version = cl.snap.Version + 1
	}
	s, err := snapshot.Build(version, []*fescuepb.Section{{Team: "platform", Yaml: []byte(testDocument)}}, members, nil)
	if err != nil {
		cl.t.Fatal(err)
	}
	cl.snap = s
	for _, n := range cl.nodes {
		if n.core != nil {
			n.core.SetSnapshot(s)
			n.svc.cfg.Store.Swap(s)
		}
	}
}

func (cl *cluster) claim(_ context.Context, c *fescuepb.GroupClaim) (*fescuepb.ClaimReply, error) {
	before := cl.claims[c.Group.Service]
	if c.Epoch > before.GetEpoch() {
		cl.claims[c.Group.Service] = c
	}
	return &fescuepb.ClaimReply{Accepted: c.Epoch > before.GetEpoch(), Previous: before}, nil
}

func (cl *cluster) connected(a, b string) bool {
	return !cl.disconnected[a+"|"+b] && !cl.disconnected[b+"|"+a]
}

// link is a Peer that calls another entry of the cluster.
type link struct {
	cluster *cluster
	from    string
	to      *fescuepb.Member
}

func call[R any](l link, f func(s *Service) (R, error)) (R, error) {
	var zero R
	n := l.cluster.nodes[l.to.Instance]
	if n == nil || n.core == nil || !l.cluster.connected(l.from, l.to.Instance) {
		return zero, errDisconnected
	}
	out, err := f(n.svc)
	if l.cluster.loseReply {
		l.cluster.loseReply = false
		return zero, errDisconnected
	}
	return out, err
}

func (l link) Record(ctx context.Context, r *fescuepb.RecordRequest) (*fescuepb.RecordReply, error) {
	return call(l, func(s *Service) (*fescuepb.RecordReply, error) {
		return s.Record(ctx, proto.Clone(r).(*fescuepb.RecordRequest))
	})
}

func (l link) Copy(ctx context.Context, m []*fescuepb.CopyRequest) (*fescuepb.RecordReply, error) {
	return call(l, func(s *Service) (*fescuepb.RecordReply, error) { return s.Copy(ctx, m) })
}

func (l link) Fetch(ctx context.Context, r *fescuepb.FetchRequest) ([]*fescuepb.CopyRequest, error) {
	return call(l, func(s *Service) ([]*fescuepb.CopyRequest, error) { return s.Fetch(ctx, r) })
}

func (l link) Drop(ctx context.Context, r *fescuepb.DropRequest) (*fescuepb.DropReply, error) {
	return call(l, func(s *Service) (*fescuepb.DropReply, error) { return s.Drop(ctx, r) })
}

// pingRound lets the entries exchange pings, decide about the dispatcher and
// reconcile their ledgers. It takes one ping interval.
func (cl *cluster) pingRound() {
	for _, a := range cl.groupMembers {
		for _, b := range cl.groupMembers {
			cl.ping(a, b)
		}
		if n := cl.nodes[a]; n.core != nil {
			n.core.Tick(cl.now)
			n.svc.reconcile(context.Background(), cl.snap, "swaps")
		}
	}
	cl.now = cl.now.Add(group.PingInterval)
}

func (cl *cluster) ping(a, b string) {
	from, to := cl.nodes[a], cl.nodes[b]
	switch {
	case a == b || from.core == nil || !cl.connected(a, b):
	case to.core == nil:
		from.core.OnRefused(b, cl.now)
	default:
		from.core.OnPingReply(b, to.core.OnPing(from.core.PingRequest(b), cl.now), cl.now, cl.now)
	}
}

// prefixes returns the key prefixes that look-ups can have returned. Tokens are
// random, so no key carries one that has not been generated yet.
func (cl *cluster) prefixes() []string {
	out := []string{"", "n1~"}
	for i := max(1, cl.epochCount-3); i <= cl.epochCount; i++ {
		out = append(out, fmt.Sprintf("n1.T%d~", i))
	}
	return out
}

// submit starts a key at a node if the node is the dispatcher now. It fails the
// test if the key runs twice.
func (cl *cluster) submit(name, key string) {
	n := cl.nodes[name]
	if n.core == nil || !n.core.IsDispatcher("swaps") {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // so that a duplicate of a running key does not wait
	stored, err := n.svc.Start(ctx, "swaps", key, []byte("d"))
	if err != nil || stored != nil {
		return
	}
	cl.runCounts[key]++
	n.running[key] = true
	if cl.runCounts[key] > 1 {
		cl.t.Fatalf("key %q ran %d times", key, cl.runCounts[key])
	}
}

// finish ends a key that runs at a node, with an outcome or as not run.
func (cl *cluster) finish(name, key string, notRun bool) {
	n := cl.nodes[name]
	if n.core == nil || !n.running[key] {
		return
	}
	delete(n.running, key)
	if notRun {
		cl.runCounts[key]--
		n.svc.Finish(context.Background(), "swaps", key, nil, true)
		return
	}
	n.svc.Finish(context.Background(), "swaps", key, &proxy.StoredAnswer{Status: 200}, false)
}

// fault injects a fault of a kind at a node; other is the other end of a cut.
func (cl *cluster) fault(kind, name, other string) {
	n := cl.nodes[name]
	switch kind {
	case "kill":
		n.core = nil
	case "restart":
		dc := "n1"
		if name == "x" {
			dc = "n2"
		}
		cl.start(name, dc)
	case "cut":
		cl.disconnected[name+"|"+other] = name != other
	case "heal":
		cl.disconnected = map[string]bool{}
	case "stop":
		if n.core != nil {
			n.core.Stop()
		}
	case "lose":
		cl.loseReply = true
	}
}

// submitAll sends the keys of the last three phases to every entry, as callers
// that retry elsewhere do.
func (cl *cluster) submitAll(phase int, first string) {
	order := append([]string{first}, cl.groupMembers...)
	for _, name := range order {
		for i := max(0, phase-2); i <= phase; i++ {
			for _, prefix := range cl.prefixes() {
				cl.submit(name, fmt.Sprintf("%sk%d", prefix, i))
			}
		}
	}
}

// Guards against an at-most-once request that runs twice, with any order of
// killed and restarted processes, cut connections, handovers, lost replies and
// duplicate requests.
func TestKeyRunsAtMostOnce(t *testing.T) {
	faults := []string{"kill", "restart", "restart", "cut", "cut", "heal", "stop", "lose", "none"}
	rapid.Check(t, func(t *rapid.T) {
		cl := newCluster(t, rapid.IntRange(1, 3).Draw(t, "local"))
		all := append([]string{"x"}, cl.groupMembers...)
		for phase := range rapid.IntRange(2, 12).Draw(t, "faults") {
			for range rapid.SampledFrom([]int{0, 1, 3, 8, 12}).Draw(t, "rounds") {
				cl.pingRound()
			}
			cl.submitAll(phase, rapid.SampledFrom(cl.groupMembers).Draw(t, "first"))
			for range rapid.IntRange(0, 2).Draw(t, "ends") {
				key := fmt.Sprintf("n1~k%d", rapid.IntRange(0, phase).Draw(t, "key"))
				cl.finish(rapid.SampledFrom(cl.groupMembers).Draw(t, "at"), key, rapid.Bool().Draw(t, "not_run"))
			}
			kind := rapid.SampledFrom(faults).Draw(t, "fault")
			cl.fault(kind, rapid.SampledFrom(all).Draw(t, "node"), rapid.SampledFrom(all).Draw(t, "other"))
		}
	})
}

// Guards against a ledger that stays unavailable or loses records after the
// dispatcher's process has died.
func TestOutcomeSurvivesDispatcher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cl := newCluster(t, 2)
		for range 20 {
			cl.pingRound()
		}
		dispatcher := cl.nodes["e1"].core.Dispatcher("swaps")
		cl.submit(dispatcher, "a")
		cl.submit(dispatcher, "b")
		cl.finish(dispatcher, "a", false)
		cl.fault("kill", dispatcher, "")
		for range 8 { // 2 s
			cl.pingRound()
		}
		successor := map[string]string{"e1": "e2", "e2": "e1"}[dispatcher]
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		svc := cl.nodes[successor].svc
		if stored, err := svc.Start(ctx, "swaps", "a", []byte("d")); err != nil || stored == nil || stored.Status != 200 {
			t.Fatalf("finished key after the takeover: got %v, %v; want the stored outcome", stored, err)
		}
		if _, err := svc.Start(ctx, "swaps", "b", []byte("d")); err == nil {
			t.Fatal("a key that had started before the takeover was started again")
		}
		if stored, err := svc.Start(ctx, "swaps", "c", []byte("d")); err != nil || stored != nil {
			t.Fatalf("a new key was not started after the takeover: %v", err)
		}
	})
}

// Guards against a crash when a ledger arrives before the first confirmed version
// of the steering document. This happens when a restarted entry is chosen as
// backup immediately.
func TestCopyBeforeFirstVersion(t *testing.T) {
	s := New(Config{Store: &snapshot.Store{}, Now: time.Now})
	reply, err := s.Copy(context.Background(), NewLedger(time.Minute, true, time.Now()).Copy(time.Now(), 1))
	if err != nil || reply.Accepted {
		t.Fatalf("copy accepted without a confirmed version: %v, %v", reply, err)
	}
}
