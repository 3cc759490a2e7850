package view

import (
	"fmt"
	"testing"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// keralaView has the size of grown Kerala with 1,400 more routes.
func keralaView() *View {
	v := New()
	for i := range 100 {
		v.SetMember(&fescuepb.Member{Instance: fmt.Sprintf("entry-south-%d", i), GrpcAddr: fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256), DataCentre: "dc1", Region: "south", ChangedVersion: uint64(1 + i)})
	}
	for i := range 200 {
		v.SetTarget(&fescuepb.Target{Id: fmt.Sprintf("target-%06d", i), Service: "roster", DataCentre: "dc1", ChangedVersion: uint64(1001 + i)})
	}
	for i := range 1408 {
		v.setRoute(&fescuepb.HostRoute{Team: "rota", Name: fmt.Sprintf("r-%06d", i), Host: "rota.example", Prefix: fmt.Sprintf("/p%06d/", i), ChangedVersion: 7000,
			Services: []*fescuepb.ServicePart{{Service: "rota", Weight: 1}}})
	}
	v.SetTarget(&fescuepb.Target{Id: "last", ChangedVersion: 7001})
	return v
}

func BenchmarkKeralaPageOfSmallChange(b *testing.B) {
	v := keralaView()
	for b.Loop() {
		v.Page(At(7000), 32<<10)
	}
}

func BenchmarkKeralaSinceOfSmallChange(b *testing.B) {
	v := keralaView()
	for b.Loop() {
		v.Since(7000)
	}
}

func BenchmarkKeralaWholePage(b *testing.B) {
	v := keralaView()
	for b.Loop() {
		v.Page(Position{}, 1<<40)
	}
}

func BenchmarkKeralaWholeSince(b *testing.B) {
	v := keralaView()
	for b.Loop() {
		v.Since(0)
	}
}
