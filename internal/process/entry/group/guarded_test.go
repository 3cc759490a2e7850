package group

import (
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/base/steady"
	slotlink "github.com/fescuejunction/fescuejunction/internal/connection/slots"
	"github.com/fescuejunction/fescuejunction/internal/request/announce"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/uber-go/tally/v4"
)

const guardedYAML = `team: platform
regions: [{name: north, data_centres: [a]}]
services: [{name: rota, guarded_slots: true, health_path: /health, cold: {for: 3s, per_second: 10}}]
host_routes: [{name: r, host: rota.example, prefix: /, safe: true, max_attempts: 2, timeout: 2s, services: [{service: rota, weight: 1}]}]
`

// guardedEntries returns one Guarded for each of three entries of a region, all
// with the same snapshot.
func guardedEntries(t *testing.T, targets ...*fescuepb.Target) []*Guarded {
	t.Helper()
	var members []*fescuepb.Member
	names := []string{"e1", "e2", "e3"}
	for _, name := range names {
		members = append(members, &fescuepb.Member{
			Instance: name, DataCentre: "a", Region: "north", Role: fescuepb.Role_ROLE_ENTRY, GrpcAddr: name + ":1", Session: 1,
		})
	}
	var b snapshot.Builder
	snap, err := b.Build(snapshot.Content{
		Version: 1, Sections: []*fescuepb.Section{{Team: "platform", Yaml: []byte(guardedYAML)}}, Members: members, Targets: targets,
	})
	if err != nil {
		t.Fatal(err)
	}
	var out []*Guarded
	for _, name := range names {
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
	if g.Ready() || g.Slots("rota") != nil || g.Dispatcher(pool) != nil || g.RegionEntries("north", "id") != nil {
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
