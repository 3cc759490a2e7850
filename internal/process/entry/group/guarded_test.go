package group

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/base/steady"
	slotlink "github.com/fescuejunction/fescuejunction/internal/connection/slots"
	"github.com/fescuejunction/fescuejunction/internal/request/announce"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

const guardedYAML = `team: platform
regions: [{name: north, data_centres: [a]}]
services: [{name: rota, guarded_slots: true, health_path: /health, cold: {for: 3s, per_second: 10}}]
host_routes: [{name: r, host: rota.example, prefix: /, safe: true, max_attempts: 2, timeout: 2s, services: [{service: rota, weight: 1}]}]
`

var guardedNames = []string{"e1", "e2", "e3"}

// guardedSnapshot returns a snapshot with three entries of a region.
func guardedSnapshot(t *testing.T, version uint64, yaml string, targets ...*fescuepb.Target) *snapshot.Snapshot {
	t.Helper()
	var members []*fescuepb.Member
	for _, name := range guardedNames {
		members = append(members, &fescuepb.Member{
			Instance: name, DataCentre: "a", Region: "north", Role: fescuepb.Role_ROLE_ENTRY, GrpcAddr: name + ":1", Session: 1,
		})
	}
	return snapshotOf(t, version, yaml, members, targets...)
}

// snapshotOf returns a snapshot with one section.
func snapshotOf(t *testing.T, version uint64, yaml string, members []*fescuepb.Member, targets ...*fescuepb.Target) *snapshot.Snapshot {
	t.Helper()
	var b snapshot.Builder
	snap, err := b.Build(snapshot.Content{
		Version: version, Sections: []*fescuepb.Section{{Team: "platform", Yaml: []byte(yaml)}}, Members: members, Targets: targets,
	})
	if err != nil {
		t.Fatal(err)
	}
	return snap
}

// guardedEntries returns one Guarded for each of three entries of a region, all
// with the same snapshot.
func guardedEntries(t *testing.T, targets ...*fescuepb.Target) []*Guarded {
	t.Helper()
	snap := guardedSnapshot(t, 1, guardedYAML, targets...)
	var out []*Guarded
	for _, name := range guardedNames {
		g := &Guarded{Instance: name, DataCentre: "a", Client: &slotlink.Client{Log: logging.Discard()}, Now: time.Now, Log: logging.Discard()}
		g.SetSnapshot(snap)
		out = append(out, g)
	}
	return out
}

// Guards against a cold target that receives its permitted rate of requests from
// several entries at once. Entries that cannot reach the dispatcher use their own
// one, which does not know what the others send.
func TestOnlyTheDispatcherSendsToColdTargets(t *testing.T) {
	entries := guardedEntries(t, &fescuepb.Target{
		Id: "t1", Service: "rota", Address: "127.0.0.1:1", DataCentre: "a", Slots: 3, ColdMs: 3000,
	})
	pool := slotlink.Pool{Service: "rota", Region: "north"}
	senders := 0
	for _, g := range entries {
		for _, other := range entries {
			if other != g {
				g.MarkUnreachable(other.Instance)
			}
		}
		if g.remoteDispatcher(pool) != nil {
			t.Errorf("%s asks an entry that does not answer", g.Instance)
		}
		now := time.Now()
		w := dispatch.Work{Route: "r", Safe: true, Objective: now.Add(time.Second), Deadline: now.Add(time.Second), NoQueue: true}
		if ticket, err := g.Dispatcher(pool).Acquire(t.Context(), w); err == nil {
			senders++
			ticket.Done(dispatch.Outcome{Result: dispatch.OK})
		}
	}
	if senders != 1 {
		t.Errorf("%d of %d entries send to the cold target, want 1", senders, len(entries))
	}
}

// Guards against a nil dereference for requests that arrive when the first
// snapshot is in the store but has not been passed to Guarded yet.
func TestGuardedBeforeTheFirstSnapshot(t *testing.T) {
	g := &Guarded{Instance: "e1", DataCentre: "a", Client: &slotlink.Client{Log: logging.Discard()}, Now: time.Now, Log: logging.Discard()}
	pool := slotlink.Pool{Service: "rota", Region: "north"}
	if g.Ready() || g.Slots("rota", "") != nil || g.Dispatcher(pool) != nil || g.RegionEntries("north", "id") != nil {
		t.Error("entries, slots or a dispatcher without a snapshot")
	}
}

// Guards against an entry that takes over as dispatcher and grants a target of which
// the dispatcher before it, or its own requests, had learned that it leaves. Another
// process of the target gets requests.
func TestNewDispatcherKnowsLeavingTargets(t *testing.T) {
	const restarted = 2000
	entries := guardedEntries(t, &fescuepb.Target{
		Id: "t1", Service: "rota", Address: "127.0.0.1:1", DataCentre: "a", Slots: 3, BornUnixMs: 1000,
	}, &fescuepb.Target{Id: "t2", Service: "rota", Address: "127.0.0.1:2", DataCentre: "a", Slots: 3, BornUnixMs: restarted})
	pool := slotlink.Pool{Service: "rota", Region: "north"}
	leaving := []dispatch.Process{{ID: "t1", Addr: "127.0.0.1:1", Incarnation: 1000}, {ID: "t2", Addr: "127.0.0.1:2", Incarnation: 1000}}
	for _, g := range entries {
		g.Announced = announce.New(steady.Now, logging.Discard(), tally.NoopScope)
		g.recordLoad(pool, dispatch.Load{Leaving: leaving})
		for range 4 {
			ticket, err := g.Dispatcher(pool).Acquire(t.Context(), dispatch.Work{Route: "r", Deadline: time.Now().Add(time.Second), NoQueue: true})
			if err != nil || ticket.Target.ID != "t2" {
				t.Fatalf("%s granted %+v, %v; want t2, which has restarted", g.Instance, ticket, err)
			}
			ticket.Done(dispatch.Outcome{Result: dispatch.OK})
		}
	}
}

// Guards against requests to a target that is leaving or drained, sent by an entry that
// knows it, because a dispatcher without news has granted the target.
func TestGrantOfOlderVersionIsNotUsed(t *testing.T) {
	listed := func(id string, leaving bool) *fescuepb.Target {
		return &fescuepb.Target{Id: id, Service: "rota", Address: "127.0.0.1:1", DataCentre: "a", Slots: 3, Leaving: leaving}
	}
	drained := guardedYAML + "drains: [{service: rota, data_centre: a, target: t1}]\n"
	for _, tc := range []struct {
		name, yaml string
		targets    []*fescuepb.Target // according to the version in force at the entry that asks
		want       string
	}{
		{"same", guardedYAML, []*fescuepb.Target{listed("t1", false), listed("t2", false)}, "t1"},
		{"leaving", guardedYAML, []*fescuepb.Target{listed("t1", true), listed("t2", false)}, "t2"},
		{"drained", drained, []*fescuepb.Target{listed("t1", false), listed("t2", false)}, "t2"},
		{"not listed yet", guardedYAML, []*fescuepb.Target{listed("t2", false)}, "t1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			pool := slotlink.Pool{Service: "rota", Region: "north"}
			entries := guardedEntries(t, listed("t1", false))
			byName := map[string]*Guarded{}
			for _, g := range entries {
				byName[g.Instance] = g
			}
			asks := entries[0]
			if asks.remoteDispatcher(pool) == nil {
				asks = entries[1]
			}
			dispatches := byName[asks.remoteDispatcher(pool).Instance]
			asks.Client = slotClient(t, dispatches)
			asks.SetSnapshot(guardedSnapshot(t, 2, tc.yaml, tc.targets...))
			now := time.Now()
			w := dispatch.Work{Route: "r", Safe: true, Objective: now.Add(5 * time.Second), Deadline: now.Add(5 * time.Second)}
			ticket, err := asks.Slots("rota", "").Acquire(t.Context(), w)
			if err != nil || ticket.Target.ID != tc.want {
				t.Fatalf("%+v, %v, want %s", ticket, err, tc.want)
			}
			ticket.Done(dispatch.Outcome{Result: dispatch.OK})
			for until := time.Now().Add(3 * time.Second); dispatches.Dispatcher(pool).Load().InFlight > 0; time.Sleep(time.Millisecond) {
				if time.Now().After(until) {
					t.Fatal("the granted slot was not given back")
				}
			}
		})
	}
}

// slotClient returns a client whose links all lead to the dispatchers of g.
func slotClient(t *testing.T, g *Guarded) *slotlink.Client {
	t.Helper()
	addr := serveSlots(t, g, nil)
	c := &slotlink.Client{Log: logging.Discard(), Dial: func(string) (*grpc.ClientConn, error) {
		return grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	}}
	t.Cleanup(c.Close)
	return c
}

// Guards against numbers of a target in a log of an older build that overflow where they
// are used: a cold time that becomes negative, so that a cold target gets all requests at
// once, and free slots that other entries see as none.
func TestStoredTargetOutOfBounds(t *testing.T) {
	pool := slotlink.Pool{Service: "rota", Region: "north"}
	for _, cold := range []uint64{math.MaxUint64, 1 << 63, math.MaxInt64, math.MaxInt64/uint64(time.Millisecond) + 1, 1 << 44, 1 << 32} {
		granted := 0
		for _, g := range guardedEntries(t, &fescuepb.Target{Id: "t1", Service: "rota", Address: "127.0.0.1:1", DataCentre: "a", Slots: 3, ColdMs: cold}) {
			for range 3 {
				w := dispatch.Work{Route: "r", Deadline: time.Now().Add(time.Second), NoQueue: true}
				if _, err := g.Dispatcher(pool).Acquire(t.Context(), w); err == nil {
					granted++
				}
			}
		}
		if granted != 1 {
			t.Errorf("cold for %d ms: %d requests at once, want 1", cold, granted)
		}
	}
	var targets []*fescuepb.Target
	for i, slots := range []uint32{math.MaxUint32, 1, 0, 1 << 31, document.MaxSlotsPerTarget + 1} {
		id := string(rune('a' + i))
		targets = append(targets, &fescuepb.Target{Id: id, Service: "rota", Address: "127.0.0.1:1", DataCentre: "a", Slots: slots})
	}
	g := guardedEntries(t, targets...)[0]
	if free := g.Dispatcher(pool).Load().FreeSlots; free != 3*document.MaxSlotsPerTarget+1 {
		t.Errorf("%d free slots", free)
	}
}

// BenchmarkRegionEntries measures the choice of the entries for a request that is forwarded
// to another region, with 200 entries in ten data centres.
func BenchmarkRegionEntries(b *testing.B) {
	var members []*fescuepb.Member
	yaml := "team: platform\nregions:\n"
	for r := range 2 {
		yaml += fmt.Sprintf("  - {name: r%d, data_centres: [", r)
		for d := range 5 {
			yaml += fmt.Sprintf("r%dd%d, ", r, d)
			for i := range 20 {
				name := fmt.Sprintf("r%dd%de%d", r, d, i)
				members = append(members, &fescuepb.Member{Instance: name, DataCentre: fmt.Sprintf("r%dd%d", r, d), Region: fmt.Sprintf("r%d", r), Role: fescuepb.Role_ROLE_ENTRY, GrpcAddr: name + ":1", Session: 1})
			}
		}
		yaml += "]}\n"
	}
	snap, err := new(snapshot.Builder).Build(snapshot.Content{Version: 1, Sections: []*fescuepb.Section{{Team: "platform", Yaml: []byte(yaml)}}, Members: members})
	if err != nil {
		b.Fatal(err)
	}
	g := &Guarded{Instance: "r0d0e0", DataCentre: "r0d0", Client: &slotlink.Client{Log: logging.Discard()}, Now: time.Now, Log: logging.Discard()}
	g.SetSnapshot(snap)
	for b.Loop() {
		if len(g.RegionEntries("r1", "request")) != maxRegionEntries {
			b.Fatal("too few entries")
		}
	}
}
