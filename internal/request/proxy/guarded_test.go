package proxy

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dialect"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
)

// threeRegionsDocument routes by host to one service with targets in three
// regions.
const threeRegionsDocument = `team: platform
regions: [{name: north, data_centres: [a, b]}, {name: south, data_centres: [c]}, {name: east, data_centres: [d]}]
services: [{name: rota, guarded_slots: true, health_path: /health, retry: {budget_percent: 100}}]
host_routes:
  - {name: safe, host: rota.example, prefix: /safe/, safe: true, max_attempts: 2, timeout: 2s, services: [{service: rota, weight: 1}]}
  - {name: unsafe, host: rota.example, prefix: /unsafe/, max_attempts: 2, timeout: 2s, services: [{service: rota, weight: 1}]}
`

// refusingPeer starts a stand-in for an entry and returns its address. The
// stand-in answers with an error of the given kind and states that it has sent the
// request to the given number of targets. If kind is empty, it closes the
// connection without an answer.
func refusingPeer(t *testing.T, asked *atomic.Int32, kind errkind.Kind, targets int) string {
	return target(t, func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		if kind == "" {
			panic(http.ErrAbortHandler)
		}
		before, _ := strconv.Atoi(r.Header.Get(headerSends))
		w.Header().Set(headerID, r.Header.Get(headerID))
		w.Header().Set(headerKind, string(kind))
		w.Header().Set(headerSends, strconv.Itoa(before+targets))
		w.WriteHeader(kind.Response().Status)
	})
}

// Guards against a request that is sent to more targets than its route allows. An
// entry that ignores the sends of other entries causes this, by asking one region
// after another.
func TestSendsOfOtherEntriesCount(t *testing.T) {
	for _, tc := range []struct {
		name        string
		path        string
		localSheds  bool
		kind        errkind.Kind // of the errors of the entries in the other regions; "": they give no answer
		sends       int          // to targets, by each of these entries
		wantEntries int32
		want        errkind.Kind
	}{
		{"no slot here, none there", "/safe/1", false, errkind.QueueFull, 0, 2, errkind.NoTarget},
		{"no slot here, shed there", "/safe/1", false, errkind.TargetShed, 1, 2, errkind.TargetShed},
		{"shed here, shed there", "/safe/1", true, errkind.TargetShed, 1, 1, errkind.TargetShed},
		{"shed here, no slot there", "/safe/1", true, errkind.QueueFull, 0, 2, errkind.NoTarget},
		{"shed twice there", "/safe/1", false, errkind.TargetShed, 2, 1, errkind.TargetShed},
		{"an entry is lost during a safe request", "/safe/1", false, "", 1, 2, errkind.TargetFailed},
		{"an entry is lost during an unsafe request", "/unsafe/1", false, "", 1, 1, errkind.TargetFailed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var here, entries atomic.Int32
			w := newTestEntry(t, false, target(t, func(w http.ResponseWriter, _ *http.Request) {
				here.Add(1)
				w.Header().Set(dialect.HeaderNotRun, "true")
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			if !tc.localSheds {
				w.d.SetTargets(nil)
			}
			var members []*fescuepb.Member
			for dc, region := range map[string]string{"c": "south", "d": "east"} {
				members = append(members, &fescuepb.Member{
					Instance: "e" + dc, DataCentre: dc, Region: region, Role: fescuepb.Role_ROLE_ENTRY,
					PeerAddr: refusingPeer(t, &entries, tc.kind, tc.sends),
				})
			}
			w.useDocument(threeRegionsDocument, members...)
			req := w.request("GET", tc.path, "")
			req.Host = "rota.example"
			w.expectError(req, tc.want, tc.want.Response().DidRun)
			if entries.Load() != tc.wantEntries {
				t.Errorf("%d other entries got the request, want %d", entries.Load(), tc.wantEntries)
			}
			if tc.localSheds != (here.Load() > 0) {
				t.Errorf("%d sends to the target of the own region", here.Load())
			}
		})
	}
}

// countingSlots refuses every request, after a time in the queue.
type countingSlots struct {
	dispatch.Slots
	queued time.Duration
	asked  atomic.Int32
}

func (s *countingSlots) Acquire(context.Context, dispatch.Work) (*dispatch.Ticket, error) {
	s.asked.Add(1)
	time.Sleep(s.queued)
	return nil, dispatch.NewRefusal(errkind.DeadlineUnmeetable, "the latency objective cannot be met", time.Second)
}

// countingGuarded returns countingSlots for the own region.
type countingGuarded struct {
	testGuarded
	slots *countingSlots
}

func (g countingGuarded) Slots(string, string) dispatch.Slots { return g.slots }

// Guards against a dispatcher that is asked twice for each request that it refuses: the
// second time for a slot that is free now, right after it found none. After a time in
// the queue there may be one.
func TestRefusingDispatcherIsAskedOnce(t *testing.T) {
	for queued, want := range map[time.Duration]int32{0: 1, 2 * refusedAtOnce: 2} {
		w := newTestEntry(t, false)
		s := &countingSlots{Slots: w.d, queued: queued}
		w.h.Guarded = countingGuarded{testGuarded{w}, s}
		w.useDocument(threeRegionsDocument, &fescuepb.Member{Instance: "e1", DataCentre: "a", Region: "north", Role: fescuepb.Role_ROLE_ENTRY})
		req := w.request("GET", "/safe/1", "")
		req.Host = "rota.example"
		w.expectError(req, errkind.DeadlineUnmeetable, errkind.No)
		if got := s.asked.Load(); got != want {
			t.Errorf("refused after %v: asked %d times, want %d", queued, got, want)
		}
	}
}
