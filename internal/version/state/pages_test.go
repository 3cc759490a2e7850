package state

import (
	"fmt"
	"slices"
	"testing"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
	"github.com/fescuejunction/fescuejunction/internal/version/view"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

// drawRoutesChange returns a command that replaces the section of a team by one with
// some routes.
func drawRoutesChange(t *rapid.T, m *Machine) *fescuepb.Command {
	team := rapid.SampledFrom([]string{"rota", "history"}).Draw(t, "team")
	sec := &document.Section{Team: team}
	sec.Services = []document.Service{{Name: team, GuardedSlots: true, HealthPath: "/health"}}
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 10, rapid.ID).Draw(t, "routes") {
		sec.HostRoutes = append(sec.HostRoutes, document.HostRoute{
			Name: fmt.Sprint("r", i), Host: team + ".example", Prefix: fmt.Sprintf("/%d/", i),
			Timeout:  document.Duration(1e9 * rapid.IntRange(1, 2).Draw(t, "timeout")),
			Services: []document.ServicePart{{Service: team, Weight: 1}},
		})
	}
	revision, _ := m.ParsedSection(team)
	r := &fescuepb.ApplyRequest{Team: team, ExpectedRevision: revision, ChangeId: fmt.Sprint(m.Version(), team)}
	if rapid.IntRange(0, 9).Draw(t, "delete") == 0 {
		r.Delete = true
	} else {
		r.Yaml, _ = document.Encode(sec)
	}
	return &fescuepb.Command{Body: &fescuepb.Command_Apply{Apply: &fescuepb.ApplyCommand{Request: r}}}
}

// Guards against a follower that acts on a version whose content is not that of the
// control replicas, when it gets pages from a replica, from one that was restored and
// from a relay that lags, and pages are lost, repeated, reordered and continued at
// another source.
func TestPagesMatchFullState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, restored := New(), New()
		full := map[uint64]*fescuepb.Update{}
		relay, follower := view.NewReceiver(), view.NewReceiver()
		var inFlight []*fescuepb.Update
		for index := uint64(1); index < 40; index++ {
			cmd := drawRoutesChange(t, m)
			if rapid.Bool().Draw(t, "other") {
				cmd = drawCommand(t, m)
			}
			data, _ := proto.Marshal(cmd)
			m.Apply(index, data)
			full[m.Version()] = wholePage(m.Page(view.Position{}, 1<<30))
			if rapid.IntRange(0, 3).Draw(t, "restore") == 0 {
				image, err := m.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				if err := restored.Restore(image); err != nil {
					t.Fatal(err)
				}
			}
			pageBytes := rapid.SampledFrom([]int{1, 100, 400, 1 << 20}).Draw(t, "page bytes")
			for range rapid.IntRange(0, 3).Draw(t, "relayed") {
				relay.Apply(m.Page(relay.Position(), pageBytes))
			}
			for range rapid.IntRange(0, 4).Draw(t, "sent") {
				source := rapid.SampledFrom([]interface {
					Page(view.Position, int) *fescuepb.Update
				}{m, restored, relay.View}).Draw(t, "source")
				u := source.Page(follower.Position(), pageBytes)
				inFlight = append(inFlight, u)
				if rapid.Bool().Draw(t, "delivered in order") {
					deliver(t, follower, u, full)
				}
			}
			for range rapid.IntRange(0, 2).Draw(t, "late") {
				if len(inFlight) > 0 {
					deliver(t, follower, rapid.SampledFrom(inFlight).Draw(t, "update"), full)
				}
			}
		}
		for range 200 {
			if follower.View.Version == m.Version() {
				return
			}
			deliver(t, follower, m.Page(follower.Position(), 400), full)
		}
		t.Fatalf("version %d after 200 pages, want %d", follower.View.Version, m.Version())
	})
}

// deliver applies an update and checks the view.
func deliver(t *rapid.T, r *view.Receiver, u *fescuepb.Update, full map[uint64]*fescuepb.Update) {
	before := r.View.Version
	outcome := r.Apply(u)
	v := r.View
	if v.Version < before || (outcome == view.Advanced) != (v.Version > before) {
		t.Fatalf("version %d after version %d, which does not match the outcome", v.Version, before)
	}
	if v.Version == 0 {
		return
	}
	got := wholePage(v.Page(view.Position{}, 1<<30))
	if want := full[v.Version]; want == nil || !proto.Equal(got, want) {
		t.Fatalf("version %d has the content\n%v\nwant\n%v", v.Version, got, want)
	}
}

// wholePage returns the content of a full update without what depends on its history.
func wholePage(u *fescuepb.Update) *fescuepb.Update {
	out := proto.CloneOf(u)
	out.Sections = slices.DeleteFunc(out.Sections, func(s *fescuepb.Section) bool { return s.Deleted })
	return out
}

// Guards against a change of one route that costs as much as the whole section.
func TestSmallChangeIsSmall(t *testing.T) {
	sec := &document.Section{Team: "rota", Services: []document.Service{{Name: "rota", GuardedSlots: true, HealthPath: "/health"}}}
	for i := range 1400 {
		sec.HostRoutes = append(sec.HostRoutes, document.HostRoute{
			Name: fmt.Sprintf("r-%06d", i*7919%1000003), Host: "rota.example", Prefix: fmt.Sprintf("/p%06d/", i*104729%1000003),
			Timeout: document.Duration(2e9), Services: []document.ServicePart{{Service: "rota", Weight: 1}},
		})
	}
	m, follower := New(), view.NewReceiver()
	change := func(index uint64) {
		yaml, _ := document.Encode(sec)
		data, _ := EncodeChange(&fescuepb.ApplyRequest{Team: "rota", Yaml: yaml, ExpectedRevision: index - 1, ChangeId: fmt.Sprint(index)}, "rota", 0)
		var res fescuepb.CommandResult
		if err := proto.Unmarshal(m.Apply(index, data), &res); err != nil || res.GetApply().GetVersion() != index {
			t.Fatalf("change %d: %v, %v", index, err, &res)
		}
	}
	change(1)
	for follower.View.Version < 1 {
		u := m.Page(follower.Position(), 32<<10)
		if size := proto.Size(u); size > 36<<10 {
			t.Errorf("a page has %d bytes", size)
		}
		follower.Apply(u)
	}
	sec.HostRoutes[700].Services[0].Weight = 2
	sec.HostRoutes = slices.Delete(sec.HostRoutes, 3, 4)
	change(2)
	u := m.Page(follower.Position(), 32<<10)
	if size := proto.Size(u); size > 1<<10 || len(u.Routes) != 1 || len(u.RemovedRoutes) != 1 {
		t.Errorf("a change of one route and the removal of another have %d bytes, %d routes, %d removed", size, len(u.Routes), len(u.RemovedRoutes))
	}
	if follower.Apply(u) != view.Advanced || len(follower.View.Routes) != 1399 {
		t.Errorf("version %d with %d routes after it", follower.View.Version, len(follower.View.Routes))
	}
}

// Cost of one update of a small change, and of the content that each replica compiles,
// with 1,400 routes.
func BenchmarkUpdateOfSmallChange(b *testing.B) {
	v := view.New()
	head := &fescuepb.Section{Team: "rota", Version: 1, RoutesApart: true}
	var routes []*fescuepb.HostRoute
	for i := range 1400 {
		routes = append(routes, &fescuepb.HostRoute{Team: "rota", Name: fmt.Sprint("r", i), Host: "rota.example", Prefix: fmt.Sprintf("/%d/", i)})
	}
	v.SetSectionWithRoutes(head, head, routes)
	for i := range 300 {
		v.SetTarget(&fescuepb.Target{Id: fmt.Sprint("t", i), ChangedVersion: uint64(i + 2)})
	}
	b.Run("page", func(b *testing.B) {
		for b.Loop() {
			v.Page(view.At(v.Version-1), 32<<10)
		}
	})
	b.Run("full", func(b *testing.B) {
		for b.Loop() {
			v.Full()
		}
	})
	b.Run("full by position", func(b *testing.B) {
		for b.Loop() {
			v.Page(view.Position{}, 1<<30)
		}
	})
}
