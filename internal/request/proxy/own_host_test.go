package proxy

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// Guards against a request of a host route that an entry takes for one of a service that it
// names, because the version in force there has no routes of the host yet: from a caller on
// a host that is not the entry's own, and from another entry that has selected the route.
func TestRequestOfUnknownHostNamesNoService(t *testing.T) {
	for name, peer := range map[string]bool{"from a caller": false, "from another entry": true} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int32
			w := newTestEntry(t, peer, target(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
			w.h.NamesServices = func(host string, _ *snapshot.Snapshot) bool { return host == "127.0.0.1" }
			req := w.request("GET", "/rota/chairs", "")
			req.Host = "Rota.example:80"
			kind := errkind.UnknownRoute
			if peer {
				kind = errkind.NotReady // the other entry has a later version
				for header, value := range map[string]string{headerHops: "1", headerService: "rota", headerVersion: "9", headerHostRoute: "1"} {
					req.Header.Set(header, value)
				}
			}
			w.expectError(req, kind, errkind.No)
			if n := runs.Load(); n > 0 {
				t.Errorf("the request ran %d times, at a service without the route", n)
			}
			if peer {
				req.Header.Del(headerHostRoute) // forwarded by name of the service
			} else {
				req.Host = w.addr
			}
			if resp, body, err := w.do(req); err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("a request that names its service: %v %s %v, want 200", resp, body, err)
			}
		})
	}
}
