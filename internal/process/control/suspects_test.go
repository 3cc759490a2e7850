package control

import (
	"testing"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/quarantine"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Guards against evidence of entries that is not recorded, against malformed evidence
// that is, and against a team other than the platform's that ends a quarantine.
func TestSuspects(t *testing.T) {
	s := newServer(t, true)
	m, o := &members{s: s}, &operator{s: s}
	id := quarantine.Fingerprint(3).String()
	crash := func(target string, ids ...string) *fescuepb.SuspectsChange {
		return &fescuepb.SuspectsChange{Instance: "e1", Crashes: []*fescuepb.TargetCrash{{Target: target, Suspects: ids}}}
	}
	if _, err := m.Suspects(t.Context(), crash("a/1", "no fingerprint")); status.Code(err) != codes.InvalidArgument {
		t.Errorf("malformed evidence: %v", err)
	}
	for _, target := range []string{"a/1", "b/1", "c/1"} {
		if reply, err := m.Suspects(t.Context(), crash(target, id)); err != nil || reply.Version != s.cfg.Machine.Version() {
			t.Fatal(reply, err)
		}
	}
	st, err := o.Status(as(t.Context(), "a"), &fescuepb.StatusRequest{})
	if err != nil || len(st.Suspects) != 1 || !quarantine.Quarantined(st.Suspects[0]) {
		t.Errorf("status: %v, %v", st.GetSuspects(), err)
	}
	for _, c := range []struct {
		team, suspect string
		code          codes.Code
	}{{"a", id, codes.PermissionDenied}, {"", id, codes.Unauthenticated}, {"platform", "x", codes.NotFound}, {"platform", id, codes.OK}} {
		if _, err := o.Release(as(t.Context(), c.team), &fescuepb.ReleaseRequest{Suspect: c.suspect}); status.Code(err) != c.code {
			t.Errorf("release of %q by team %q: %v", c.suspect, c.team, err)
		}
	}
	if left := s.cfg.Machine.Suspects(); len(left) != 0 {
		t.Errorf("%v left after the release", left)
	}
}
