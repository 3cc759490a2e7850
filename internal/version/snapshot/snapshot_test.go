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

func build(t *testing.T) *Snapshot {
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

// Guards against a request that gets the rules of another route, such as an
// at-most-once one that is taken for a safe look-up.
func TestRoute(t *testing.T) {
	svc := build(t).Services["rota"]
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

// Guards against drains that miss their place or reach too far.
func TestDrains(t *testing.T) {
	s := build(t)
	for _, tc := range []struct {
		dc, target string
		want       bool
	}{{"s1", "t1", true}, {"n1", "t1", false}, {"n1", "t9", true}} {
		if got := s.TargetDrained("rota", tc.dc, tc.target); got != tc.want {
			t.Errorf("target %s in %s drained: %v, want %v", tc.target, tc.dc, got, tc.want)
		}
	}
	if s.PlaceDrained("rota", "n1") || !s.PlaceDrained("rota", "s1") {
		t.Error("a drained target drains its place, or a place is not drained")
	}
	if order := s.DispatchOrder("rota", "n1"); len(order) != 1 || order[0].Instance != "e1" {
		t.Errorf("dispatchers %v, want e1 alone: e2 is drained, e3 is leaving", order)
	}
}

// Guards against places in the wrong order and deadlines above the limits.
func TestDistanceAndDeadline(t *testing.T) {
	s := build(t)
	if near, far := s.Distance("n1", "n2"), s.Distance("n1", "s1"); near >= far || far != 35_000 {
		t.Errorf("distances %d and %d us", near, far)
	}
	if got := s.LongestDeadline(s.Services["rota"]); got.Seconds() != 2 {
		t.Errorf("longest deadline %s, want 2s", got)
	}
}

// Guards against a store that goes back to an older version.
func TestStoreNeverGoesBack(t *testing.T) {
	var st Store
	changed := st.Changed()
	if !st.Swap(&Snapshot{Version: 5}) || st.Swap(&Snapshot{Version: 5}) || st.Swap(&Snapshot{Version: 4}) {
		t.Fatal("an older or equal version was put in force, or a newer one was not")
	}
	select {
	case <-changed:
	default:
		t.Fatal("the change was not announced")
	}
	if st.Load().Version != 5 {
		t.Fatalf("version %d in force, want 5", st.Load().Version)
	}
}
