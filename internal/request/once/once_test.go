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

var errCut = errors.New("cut off")

// world is one dispatch group: the entries of its data centre, and one of
// the region that can hold backups.
type world struct {
	t      *rapid.T
	now    time.Time
	snap   *snapshot.Snapshot
	nodes  map[string]*node
	names  []string // of the group's data centre
	cut    map[string]bool
	claims map[string]*fescuepb.GroupClaim
	ran    map[string]int // runs by key
	epochs int
	// loseReply makes the next answer of a peer get lost after it took effect.
	loseReply bool
}

type node struct {
	inc     uint64
	core    *group.Core
	svc     *Service
	running map[string]bool
}

func newWorld(t *rapid.T, local int) *world {
	w := &world{
		t: t, now: time.Unix(1000, 0), nodes: map[string]*node{}, cut: map[string]bool{},
		claims: map[string]*fescuepb.GroupClaim{}, ran: map[string]int{}, names: []string{"e1", "e2", "e3"}[:local],
	}
	for _, n := range w.names {
		w.start(n, "n1")
	}
	w.start("x", "n2")
	return w
}

func (w *world) start(name, dc string) {
	n := &node{inc: 1, running: map[string]bool{}}
	if old := w.nodes[name]; old != nil {
		n.inc = old.inc + 1
	}
	w.nodes[name] = n
	w.commit()
	store := &snapshot.Store{}
	store.Swap(w.snap)
	n.core = group.NewCore(name, dc, n.inc, w.now, func() string { w.epochs++; return fmt.Sprintf("T%d", w.epochs) })
	n.svc = New(Config{
		Instance: name, DataCentre: dc, Incarnation: n.inc, Store: store, Log: logging.Discard(),
		Role: func(s string) Role {
			p := n.core.Previous(s)
			return Role{Epoch: n.core.Epoch(s), Here: n.core.IsHome(s), Home: n.core.Home(s), Token: n.core.Token(s), Previous: p.Instance, PreviousIncarnation: p.Incarnation, PreviousSilent: p.Silent}
		},
		Dead:          func(i string) bool { return n.core.Dead(i, w.now) },
		Leaving:       func(i string) bool { return n.core.Leaving(i) },
		DiedInContact: func(i string) bool { return n.core.DiedInContact(i, w.now) },
		AllSeen:       func() bool { return n.core.AllSeen(w.now) },
		Raise:         n.core.Raise,
		Peer:          func(m *fescuepb.Member) Peer { return link{w, name, m} },
		Refused:       func(m *fescuepb.Member) bool { return w.nodes[m.Instance].core == nil },
		Now:           func() time.Time { return w.now },
		Claim:         w.claim,
	})
	w.commit()
}

// commit gives every process the present members.
func (w *world) commit() {
	var members []*fescuepb.Member
	for name, n := range w.nodes {
		dc := "n1"
		if name == "x" {
			dc = "n2"
		}
		members = append(members, &fescuepb.Member{Instance: name, DataCentre: dc, Role: fescuepb.Role_ROLE_ENTRY, Incarnation: n.inc})
	}
	version := uint64(1)
	if w.snap != nil {
		version = w.snap.Version + 1
	}
	s, err := snapshot.Build(version, []*fescuepb.Section{{Team: "platform", Yaml: []byte(testDocument)}}, members, nil)
	if err != nil {
		w.t.Fatal(err)
	}
	w.snap = s
	for _, n := range w.nodes {
		if n.core != nil {
			n.core.SetSnapshot(s)
			n.svc.cfg.Store.Swap(s)
		}
	}
}

func (w *world) claim(_ context.Context, c *fescuepb.GroupClaim) (*fescuepb.ClaimReply, error) {
	before := w.claims[c.Group.Service]
	if c.Epoch > before.GetEpoch() {
		w.claims[c.Group.Service] = c
	}
	return &fescuepb.ClaimReply{Accepted: c.Epoch > before.GetEpoch(), Previous: before}, nil
}

func (w *world) reach(a, b string) bool { return !w.cut[a+"|"+b] && !w.cut[b+"|"+a] }

// link is the connection from one entry to another.
type link struct {
	w    *world
	from string
	to   *fescuepb.Member
}

func call[R any](l link, f func(s *Service) (R, error)) (R, error) {
	var zero R
	n := l.w.nodes[l.to.Instance]
	if n == nil || n.core == nil || !l.w.reach(l.from, l.to.Instance) {
		return zero, errCut
	}
	out, err := f(n.svc)
	if l.w.loseReply {
		l.w.loseReply = false
		return zero, errCut
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

// round lets the entries exchange pings, decide and settle.
func (w *world) round() {
	for _, a := range w.names {
		for _, b := range w.names {
			w.ping(a, b)
		}
		if n := w.nodes[a]; n.core != nil {
			n.core.Tick(w.now)
			n.svc.settle(context.Background(), w.snap, "swaps")
		}
	}
	w.now = w.now.Add(group.PingInterval)
}

func (w *world) ping(a, b string) {
	from, to := w.nodes[a], w.nodes[b]
	switch {
	case a == b || from.core == nil || !w.reach(a, b):
	case to.core == nil:
		from.core.OnRefused(b, w.now)
	default:
		from.core.OnPingReply(b, to.core.OnPing(from.core.Ping(b), w.now), w.now, w.now)
	}
}

// prefixes returns the key prefixes that look-ups can have handed out: a
// token is random, so no key carries one that was not made yet.
func (w *world) prefixes() []string {
	out := []string{"", "n1~"}
	for i := max(1, w.epochs-3); i <= w.epochs; i++ {
		out = append(out, fmt.Sprintf("n1.T%d~", i))
	}
	return out
}

// submit starts a key at a node if it keeps the keys now.
func (w *world) submit(name, key string) {
	n := w.nodes[name]
	if n.core == nil || !n.core.IsHome("swaps") {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // a duplicate of a running key does not wait
	stored, err := n.svc.Start(ctx, "swaps", key, []byte("d"))
	if err != nil || stored != nil {
		return
	}
	w.ran[key]++
	n.running[key] = true
	if w.ran[key] > 1 {
		w.t.Fatalf("key %q ran %d times", key, w.ran[key])
	}
}

// finish ends a running key.
func (w *world) finish(name, key string, notRun bool) {
	n := w.nodes[name]
	if n.core == nil || !n.running[key] {
		return
	}
	delete(n.running, key)
	if notRun {
		w.ran[key]--
		n.svc.Finish(context.Background(), "swaps", key, nil, true)
		return
	}
	n.svc.Finish(context.Background(), "swaps", key, &proxy.StoredAnswer{Status: 200}, false)
}

func (w *world) fault(kind, name, other string) {
	n := w.nodes[name]
	switch kind {
	case "kill":
		n.core = nil
	case "restart":
		dc := "n1"
		if name == "x" {
			dc = "n2"
		}
		w.start(name, dc)
	case "cut":
		w.cut[name+"|"+other] = name != other
	case "heal":
		w.cut = map[string]bool{}
	case "stop":
		if n.core != nil {
			n.core.Stop()
		}
	case "lose":
		w.loseReply = true
	}
}

// submitAll sends the keys of the last phases to every entry, as callers do
// that try again elsewhere.
func (w *world) submitAll(phase int, first string) {
	order := append([]string{first}, w.names...)
	for _, name := range order {
		for i := max(0, phase-2); i <= phase; i++ {
			for _, prefix := range w.prefixes() {
				w.submit(name, fmt.Sprintf("%sk%d", prefix, i))
			}
		}
	}
}

// Guards against an at-most-once request that runs twice, in any order of
// kills, restarts, cuts, handovers, lost answers and duplicates.
func TestKeyRunsAtMostOnce(t *testing.T) {
	faults := []string{"kill", "restart", "restart", "cut", "cut", "heal", "stop", "lose", "none"}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(1, 3).Draw(t, "local"))
		all := append([]string{"x"}, w.names...)
		for phase := range rapid.IntRange(2, 12).Draw(t, "faults") {
			for range rapid.SampledFrom([]int{0, 1, 3, 8, 12}).Draw(t, "rounds") {
				w.round()
			}
			w.submitAll(phase, rapid.SampledFrom(w.names).Draw(t, "first"))
			for range rapid.IntRange(0, 2).Draw(t, "ends") {
				key := fmt.Sprintf("n1~k%d", rapid.IntRange(0, phase).Draw(t, "key"))
				w.finish(rapid.SampledFrom(w.names).Draw(t, "at"), key, rapid.Bool().Draw(t, "not_run"))
			}
			kind := rapid.SampledFrom(faults).Draw(t, "fault")
			w.fault(kind, rapid.SampledFrom(all).Draw(t, "node"), rapid.SampledFrom(all).Draw(t, "other"))
		}
	})
}

// Guards against a ledger that stays unavailable, or forgets outcomes, after
// the dispatcher's process died.
func TestOutcomeSurvivesDispatcher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 2)
		for range 20 {
			w.round()
		}
		home := w.nodes["e1"].core.Home("swaps")
		w.submit(home, "a")
		w.submit(home, "b")
		w.finish(home, "a", false)
		w.fault("kill", home, "")
		for range 8 { // 2 s
			w.round()
		}
		next := map[string]string{"e1": "e2", "e2": "e1"}[home]
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		svc := w.nodes[next].svc
		if stored, err := svc.Start(ctx, "swaps", "a", []byte("d")); err != nil || stored == nil || stored.Status != 200 {
			t.Fatalf("finished key after the takeover: %v, %v", stored, err)
		}
		if _, err := svc.Start(ctx, "swaps", "b", []byte("d")); err == nil {
			t.Fatal("a key that had started was given out again")
		}
		if stored, err := svc.Start(ctx, "swaps", "c", []byte("d")); err != nil || stored != nil {
			t.Fatalf("a new key does not run after the takeover: %v", err)
		}
	})
}

// Guards against a crash when a ledger arrives before the first confirmed
// version, as it did when a restarted entry was chosen as backup at once.
func TestCopyBeforeFirstVersion(t *testing.T) {
	s := New(Config{Store: &snapshot.Store{}, Now: time.Now})
	reply, err := s.Copy(context.Background(), NewLedger(time.Minute, true, time.Now()).Copy(time.Now(), 1))
	if err != nil || reply.Accepted {
		t.Fatalf("copy accepted without a version: %v, %v", reply, err)
	}
}
