package snapshot

import (
	"testing"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
)

const testDocument = `team: platform
regions: [{name: north, data_centres: [n1, n2]}, {name: south, data_centres: [s1]}]
links: [{from: north, to: south, bytes_per_second: 1000, delay_ms: 35}]
limits: {longest_deadline: 10s}
services:
  - name: rota
    data_centres: [n1, s1]
    slots_per_target: 3
    max_deadline: 2s
    routes:
      - {path: /, class: long}
      - {path: /roster, methods: [GET], safe: true}
      - {path: /roster/claims, methods: [POST], once: true}
drains:
  - {service: rota, data_centre: s1}
  - {service: rota, target: t9}
  - {instance: e2}
`

func buildTestSnapshot(t *testing.T) *Snapshot {
	t.Helper()
	members := []*fescuepb.Member{
		{Instance: "e1", DataCentre: "n1", Role: fescuepb.Role_ROLE_ENTRY},
		{Instance: "e2", DataCentre: "n1", Role: fescuepb.Role_ROLE_ENTRY},
		{Instance: "e3", DataCentre: "n1", Role: fescuepb.Role_ROLE_ENTRY, Leaving: true},
	}
	s, err := Build(7, []*fescuepb.Section{{Team: "platform", Yaml: []byte(testDocument)}}, members, nil)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against a request that is handled by the rules of another route, for
// instance an at-most-once request that is treated as safe and hedged.
func TestRouteSelection(t *testing.T) {
	svc := buildTestSnapshot(t).Services["rota"]
	for _, tc := range []struct{ method, path, want string }{
		{"GET", "/roster/7", "/roster"},
		{"POST", "/roster/claims/7", "/roster/claims"},
		{"GET", "/roster/claims/7", "/roster"},
		{"POST", "/roster", "/"},
		{"GET", "/history", "/"},
	} {
		if got := svc.Route(tc.method, tc.path); got == nil || got.Prefix != tc.want {
			t.Errorf("%s %s: route %v, want %s", tc.method, tc.path, got, tc.want)
		}
	}
}

// Guards against a drain that does not apply to what it names, or that also
// applies to other services, data centres, targets or instances.
func TestDrains(t *testing.T) {
	s := buildTestSnapshot(t)
	for _, tc := range []struct {
		dc, target string
		want       bool
	}{{"s1", "t1", true}, {"n1", "t1", false}, {"n1", "t9", true}} {
		if got := s.TargetDrained("rota", tc.dc, tc.target); got != tc.want {
			t.Errorf("target %s in %s drained: %v, want %v", tc.target, tc.dc, got, tc.want)
		}
	}
	if s.ServiceDrained("rota", "n1") || !s.ServiceDrained("rota", "s1") {
		t.Error("the drain of a target drains its service in n1, or the drain of the service in s1 has no effect")
	}
	if order := s.DispatchOrder("rota", "n1"); len(order) != 1 || order[0].Instance != "e1" {
		t.Errorf("dispatchers %v, want e1 alone: e2 is drained, e3 is leaving", order)
	}
}

// Guards against delay estimates that order data centres wrongly, and against a
// deadline above the service's maximum.
func TestDelayAndLongestDeadline(t *testing.T) {
	s := buildTestSnapshot(t)
	if near, far := s.OneWayDelayMicros("n1", "n2"), s.OneWayDelayMicros("n1", "s1"); near >= far || far != 35_000 {
		t.Errorf("one-way delays %d and %d us", near, far)
	}
	if got := s.LongestDeadline(s.Services["rota"]); got.Seconds() != 2 {
		t.Errorf("longest deadline %s, want 2s", got)
	}
}

// Guards against a store whose snapshot is replaced by one of an older or equal
// version.
func TestStoreRejectsOlderVersions(t *testing.T) {
	var st Store
	changed := st.Changed()
	if !st.Swap(&Snapshot{Version: 5}) || st.Swap(&Snapshot{Version: 5}) || st.Swap(&Snapshot{Version: 4}) {
		t.Fatal("an older or equal version was accepted, or a newer one was rejected")
	}
	select {
	case <-changed:
	default:
		t.Fatal("the channel of Changed was not closed")
	}
	if st.Load().Version != 5 {
		t.Fatalf("current version %d, want 5", st.Load().Version)
	}
}
