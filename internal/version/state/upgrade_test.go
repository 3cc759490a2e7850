package state

import (
	"fmt"
	"testing"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
	"github.com/fescuejunction/fescuejunction/internal/version/view"
	"google.golang.org/protobuf/proto"
)

// sectionOf returns a section with routes r0 to r(n-1), of which the last has weight.
func sectionOf(n, weight int) *document.Section {
	sec := &document.Section{Team: "rota", Services: []document.Service{{Name: "rota", GuardedSlots: true, HealthPath: "/health"}}}
	for i := range n {
		sec.HostRoutes = append(sec.HostRoutes, document.HostRoute{
			Name: fmt.Sprintf("r%d", i), Host: "rota.example", Prefix: fmt.Sprintf("/%d/", i),
			Timeout: document.Duration(2e9), Services: []document.ServicePart{{Service: "rota", Weight: 1}},
		})
	}
	if n > 0 {
		sec.HostRoutes[n-1].Services[0].Weight = weight
	}
	return sec
}

func mustChange(t *testing.T, m *Machine, index uint64, sec *document.Section) {
	t.Helper()
	yaml, _ := document.Encode(sec)
	revision, _ := m.ParsedSection("rota")
	data, _ := EncodeChange(&fescuepb.ApplyRequest{Team: "rota", Yaml: yaml, ExpectedRevision: revision, ChangeId: fmt.Sprint(index)}, "rota", 0)
	var res fescuepb.CommandResult
	if err := proto.Unmarshal(m.Apply(index, data), &res); err != nil || res.GetApply().GetVersion() != index {
		t.Fatalf("change %d: %v, %v", index, err, &res)
	}
}

// earlierImage returns the state of m as a build before route versions saves it.
func earlierImage(t *testing.T, m *Machine) []byte {
	t.Helper()
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var image fescuepb.StateImage
	if err := proto.Unmarshal(data, &image); err != nil {
		t.Fatal(err)
	}
	image.Routes, image.RemovedRoutes = nil, nil
	data, err = proto.Marshal(&image)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against a follower that loses all unchanged routes of a section in a rolling
// upgrade: it got the whole section from a source of an earlier build, and a source of
// this build sends it the section without routes and only the route that changed.
func TestFollowerOfEarlierSourceKeepsRoutes(t *testing.T) {
	m, follower := New(), view.NewReceiver()
	mustChange(t, m, 1, sectionOf(10, 1))
	follower.Apply(m.Since(0)) // what a source of an earlier build sends
	mustChange(t, m, 2, sectionOf(10, 2))
	for range 10 {
		follower.Apply(m.Page(follower.Position(), 1<<20))
	}
	if follower.View.Version != 2 || len(follower.View.Routes) != 10 {
		t.Errorf("version %d with %d routes, want version 2 with 10", follower.View.Version, len(follower.View.Routes))
	}
}

// Guards against a follower that confirms a version without some routes, because two
// replicas restored snapshots of an earlier build, taken at different versions, and
// therefore give the routes different versions.
func TestReplicasUpgradedAtDifferentVersionsOrderAlike(t *testing.T) {
	m := New()
	mustChange(t, m, 1, sectionOf(10, 1))
	early, late := New(), New()
	if err := early.Restore(earlierImage(t, m)); err != nil {
		t.Fatal(err)
	}
	join := func(m *Machine, index uint64, name string) {
		data, _ := proto.Marshal(&fescuepb.Command{Body: &fescuepb.Command_Join{Join: &fescuepb.JoinRequest{Member: &fescuepb.Member{
			Instance: name, Role: fescuepb.Role_ROLE_ENTRY, Incarnation: 1}}}})
		m.Apply(index, data)
	}
	for _, x := range []*Machine{m, early} {
		join(x, 2, "a")
		mustChange(t, x, 3, sectionOf(10, 2))
	}
	if err := late.Restore(earlierImage(t, m)); err != nil {
		t.Fatal(err)
	}
	join(early, 4, "b")
	join(late, 4, "b")
	follower := view.NewReceiver()
	follower.Apply(late.Page(follower.Position(), 1)) // the member of version 2
	for range 30 {
		follower.Apply(early.Page(follower.Position(), 1))
	}
	if follower.View.Version != 4 || len(follower.View.Routes) != 10 {
		t.Errorf("version %d with %d routes, want version 4 with 10", follower.View.Version, len(follower.View.Routes))
	}
}

// Guards against a follower that keeps a removed route, because the replica restored a
// snapshot of an earlier build, which has no record of the removal.
func TestRestoreOfEarlierSnapshotForgetsNoRemoval(t *testing.T) {
	m, follower := New(), view.NewReceiver()
	mustChange(t, m, 1, sectionOf(10, 1))
	follower.Apply(m.Page(follower.Position(), 1<<20))
	mustChange(t, m, 2, sectionOf(9, 1))
	restored := New()
	if err := restored.Restore(earlierImage(t, m)); err != nil {
		t.Fatal(err)
	}
	for range 10 {
		follower.Apply(restored.Page(follower.Position(), 1<<20))
	}
	if follower.View.Version != 2 || len(follower.View.Routes) != 9 {
		t.Errorf("version %d with %d routes, want version 2 with 9", follower.View.Version, len(follower.View.Routes))
	}
}
