package proxy

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// hostDocument routes by host to one service; two routes have home regions.
const hostDocument = `team: platform
regions: [{name: north, data_centres: [a, b]}, {name: south, data_centres: [c]}]
services: [{name: rota, guarded_slots: true, health_path: /health}]
host_routes:
  - {name: open, host: rota.example, prefix: /open/, safe: true, timeout: 2s, services: [{service: rota, weight: 1}]}
  - {name: north, host: rota.example, prefix: /north/, safe: true, timeout: 2s, home_regions: [north], services: [{service: rota, weight: 1}]}
  - {name: south, host: rota.example, prefix: /south/, safe: true, timeout: 2s, home_regions: [south], services: [{service: rota, weight: 1}]}
`

// useDocument puts a steering document in force in the entry.
func (w *testEntry) useDocument(text string, members ...*fescuepb.Member) {
	w.Helper()
	snap, err := new(snapshot.Builder).Build(snapshot.Content{
		Version: w.h.Store.Load().Version + 1, Members: members,
		Sections: []*fescuepb.Section{{Team: "platform", Yaml: []byte(text)}},
		Targets:  []*fescuepb.Target{{Id: "0", Service: "rota", DataCentre: "a"}, {Id: "9", Service: "rota", DataCentre: "c"}, {Id: "10", Service: "rota", DataCentre: "d"}},
	})
	if err != nil {
		w.Fatal(err)
	}
	w.h.Store.Swap(snap)
}

// Guards against a request that reaches a target, or another entry, in a region
// that is not one of the home regions of its route.
func TestHomeRegions(t *testing.T) {
	var here, there atomic.Int32
	target := func(n *atomic.Int32) string {
		return target(t, func(http.ResponseWriter, *http.Request) { n.Add(1) })
	}
	w := newTestEntry(t, false, target(&here))
	w.useDocument(hostDocument, &fescuepb.Member{
		Instance: "e3", DataCentre: "c", Region: "south", Role: fescuepb.Role_ROLE_ENTRY, PeerAddr: target(&there),
	})
	for path, want := range map[string]struct{ here, there int32 }{
		"/open/1": {1, 0}, "/north/1": {1, 0}, "/south/1": {0, 1},
	} {
		here.Store(0)
		there.Store(0)
		req := w.request("GET", path, "")
		req.Host = "rota.example"
		if _, _, err := w.do(req); err != nil {
			t.Fatal(err)
		}
		if here.Load() != want.here || there.Load() != want.there {
			t.Errorf("%s: %d at the target here, %d at the entry there; want %v", path, here.Load(), there.Load(), want)
		}
	}
	// If no entry of a home region is known, the request is refused as not run.
	w.useDocument(hostDocument)
	req := w.request("GET", "/south/1", "")
	req.Host = "rota.example"
	w.expectError(req, errkind.NoTarget, errkind.No)
}
