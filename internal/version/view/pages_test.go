package view

import (
	"fmt"
	"testing"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// largeView has the size of 1,000 instances.
func largeView() *View { return viewOf(1000, 5000, 10000) }

// viewOf returns a view with so many objects, and a target that changed last.
func viewOf(members, targets, routes int) *View {
	v := New()
	for i := range members {
		v.SetMember(&fescuepb.Member{Instance: fmt.Sprintf("entry-south-%d", i), GrpcAddr: fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256), DataCentre: "dc1", Region: "south", ChangedVersion: uint64(1 + i)})
	}
	for i := range targets {
		v.SetTarget(&fescuepb.Target{Id: fmt.Sprintf("target-%06d", i), Service: "roster", DataCentre: "dc1", ChangedVersion: uint64(1001 + i)})
	}
	for i := range routes {
		v.setRoute(&fescuepb.HostRoute{Team: "rota", Name: fmt.Sprintf("r-%06d", i), Host: "rota.example", Prefix: fmt.Sprintf("/p%06d/", i), ChangedVersion: 7000,
			Services: []*fescuepb.ServicePart{{Service: "rota", Weight: 1}}})
	}
	v.SetTarget(&fescuepb.Target{Id: "last", ChangedVersion: 7001})
	return v
}

func BenchmarkPageOfSmallChange(b *testing.B) {
	v := largeView()
	b.ReportAllocs()
	for b.Loop() {
		v.Page(At(7000), 32<<10)
	}
}

func BenchmarkSinceOfSmallChange(b *testing.B) {
	v := largeView()
	b.ReportAllocs()
	for b.Loop() {
		v.Since(7000)
	}
}

func BenchmarkFirstPage(b *testing.B) {
	v := largeView()
	b.ReportAllocs()
	for b.Loop() {
		v.Page(Position{}, 32<<10)
	}
}

func BenchmarkWholePage(b *testing.B) {
	v := largeView()
	b.ReportAllocs()
	for b.Loop() {
		v.Page(Position{}, 1<<40)
	}
}

func BenchmarkWholeSince(b *testing.B) {
	v := largeView()
	b.ReportAllocs()
	for b.Loop() {
		v.Since(0)
	}
}

func BenchmarkTransferByPages(b *testing.B) {
	v := largeView()
	b.ReportAllocs()
	for b.Loop() {
		r, pages := NewReceiver(), 0
		for r.View.Version < v.Version {
			r.Apply(v.Page(r.Position(), 32<<10))
			pages++
		}
		b.ReportMetric(float64(pages), "pages")
	}
}

// Guards against a page that is larger than asked for because of removals.
func TestRemovalsAreDividedIntoPages(t *testing.T) {
	v := largeView()
	at := At(v.Version)
	for i := range 4000 {
		v.removeRoute(RouteKey{"rota", fmt.Sprintf("r-%06d", i)}, 7002)
	}
	u := v.Page(at, 32<<10)
	size := 0
	for _, r := range u.RemovedRoutes {
		size += len(r.Team) + len(r.Name) + 10
	}
	if size > 36<<10 {
		t.Errorf("a page has %d removed routes, %d bytes", len(u.RemovedRoutes), size)
	}
}

// Guards against a transfer that begins anew at a source that is newer than the follower,
// only because this source itself started since then.
func TestTransferContinuesAtRestartedRelay(t *testing.T) {
	v, follower, relay := New(), NewReceiver(), NewReceiver()
	v.SetMember(&fescuepb.Member{Instance: "a", ChangedVersion: 1})
	follower.Apply(v.Page(follower.Position(), 1))
	for i := range 100 {
		v.setRoute(&fescuepb.HostRoute{Team: "rota", Name: fmt.Sprintf("r-%03d", i), ChangedVersion: 2})
	}
	for range 90 {
		follower.Apply(v.Page(follower.Position(), 1))
	}
	for relay.View.Version < 2 { // a relay that has just started
		relay.Apply(v.Page(relay.Position(), 1<<20))
	}
	u := relay.View.Page(follower.Position(), 1)
	if u.Restart {
		t.Errorf("the transfer begins anew, although the follower had 90 of 100 routes at %+v and the relay has version 2", follower.Position())
	}
}
