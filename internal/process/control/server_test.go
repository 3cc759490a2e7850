package control

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/process/control/operatorauth"
	"github.com/fescuejunction/fescuejunction/internal/process/shared/feed"
	"github.com/fescuejunction/fescuejunction/internal/version/state"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

const platformYAML = "team: platform\nregions:\n  - name: south\n    data_centres: [dc1]\n"

// newServer returns a server on an in-memory log with a section of the platform
// team.
func newServer(t testing.TB, plaintext bool) *Server {
	t.Helper()
	machine := state.New()
	s := New(Config{
		Instance: "control-1", Log: newMemLog(machine, "127.0.0.1:1"), Machine: machine,
		Auth: LoopbackTeam{Plaintext: plaintext}, Replicas: func() []string { return nil },
		Logger: logging.Discard(), Metrics: tally.NoopScope,
	})
	if err := s.LoadInitial(t.Context(), []InitialSection{{Team: "platform", YAML: []byte(platformYAML)}}); err != nil {
		t.Fatal(err)
	}
	return s
}

// as returns a context of a call in which the caller names the given team.
func as(ctx context.Context, team string) context.Context {
	return metadata.NewIncomingContext(ctx, metadata.Pairs(operatorauth.TeamMetadataKey, team))
}

// Guards against a team that changes the section of another team, against callers
// that are not authenticated, and against refusals with the wrong gRPC code.
func TestOperatorRefusals(t *testing.T) {
	const section = "team: a\nshifts: [{name: s, cap: 1}]\n"
	for name, c := range map[string]struct {
		caller    string
		plaintext bool
		req       *fescuepb.ApplyRequest
		code      codes.Code
	}{
		"own section":                  {"a", true, &fescuepb.ApplyRequest{Team: "a", ChangeId: "1", Yaml: []byte(section)}, codes.OK},
		"other section":                {"b", true, &fescuepb.ApplyRequest{Team: "a", ChangeId: "1", Yaml: []byte(section)}, codes.PermissionDenied},
		"platform section":             {"a", true, &fescuepb.ApplyRequest{Team: "platform", ChangeId: "1", Delete: true}, codes.PermissionDenied},
		"platform edits other section": {"platform", true, &fescuepb.ApplyRequest{Team: "a", ChangeId: "1", Yaml: []byte(section)}, codes.PermissionDenied},
		"no team":                      {"", true, &fescuepb.ApplyRequest{Team: "a", ChangeId: "1", Yaml: []byte(section)}, codes.Unauthenticated},
		"not on loopback":              {"a", false, &fescuepb.ApplyRequest{Team: "a", ChangeId: "1", Yaml: []byte(section)}, codes.Unauthenticated},
		"no change identifier":         {"a", true, &fescuepb.ApplyRequest{Team: "a", Yaml: []byte(section)}, codes.InvalidArgument},
		"delete of missing section":    {"a", true, &fescuepb.ApplyRequest{Team: "a", ChangeId: "1", Delete: true}, codes.NotFound},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, c.plaintext)
			version := s.cfg.Machine.Version()
			_, err := (&operator{s: s}).Apply(as(t.Context(), c.caller), c.req)
			if status.Code(err) != c.code {
				t.Fatalf("got %v", err)
			}
			if changed := s.cfg.Machine.Version() != version; changed != (c.code == codes.OK) {
				t.Fatalf("changed: %v", changed)
			}
		})
	}
}

// Guards against invalid or conflicting changes that are written to the log, and
// against reads that do not return an accepted change.
func TestOperatorChange(t *testing.T) {
	s := newServer(t, true)
	o, ctx := &operator{s: s}, as(t.Context(), "a")
	index := s.cfg.Log.Applied()
	invalid, err := o.Apply(ctx, &fescuepb.ApplyRequest{Team: "a", ChangeId: "1", Yaml: []byte("team: a\nshifts: [{name: s, cap: -1}]\n")})
	if err != nil || len(invalid.Problems) != 1 || invalid.Problems[0].Line != 2 || s.cfg.Log.Applied() != index {
		t.Fatalf("invalid change: %v, %v", invalid, err)
	}
	for i, yaml := range []string{"team: a\n", "team: a\nshifts: []\n"} {
		if _, err := o.Apply(ctx, &fescuepb.ApplyRequest{Team: "a", ChangeId: string(rune('x' + i)), ExpectedRevision: uint64(i), Yaml: []byte(yaml)}); err != nil {
			t.Fatal(err)
		}
	}
	index = s.cfg.Log.Applied()
	late, err := o.Apply(ctx, &fescuepb.ApplyRequest{Team: "a", ChangeId: "late", ExpectedRevision: 1, Yaml: []byte("team: a\n")})
	if err != nil || late.Conflict.GetRevision() != 2 || late.Conflict.Author != "a" || late.Conflict.ChangeId != "y" || s.cfg.Log.Applied() != index {
		t.Fatalf("late change: %v, %v", late, err)
	}
	got, err := o.Get(ctx, &fescuepb.GetRequest{Team: "a"})
	if err != nil || got.Sections[0].Revision != 2 {
		t.Fatalf("get: %v, %v", got, err)
	}
	history, err := o.History(ctx, &fescuepb.HistoryRequest{Team: "a", Limit: 5})
	if err != nil || len(history.Revisions) != 2 || history.Revisions[0].Revision != 2 {
		t.Fatalf("history: %v, %v", history, err)
	}
	if _, err := o.Get(ctx, &fescuepb.GetRequest{Team: "b"}); status.Code(err) != codes.NotFound {
		t.Fatalf("get of a section that does not exist: %v", err)
	}
}

// Guards against a replica that answers reads without a quorum, and against errors
// that do not say that nothing was changed.
func TestNoQuorum(t *testing.T) {
	s := newServer(t, true)
	s.cfg.Log.(*memLog).noQuorum.Store(true)
	o, ctx := &operator{s: s}, as(context.Background(), "a")
	for name, call := range map[string]func() error{
		"get":     func() error { _, err := o.Get(ctx, &fescuepb.GetRequest{}); return err },
		"history": func() error { _, err := o.History(ctx, &fescuepb.HistoryRequest{Team: "a"}); return err },
		"status":  func() error { _, err := o.Status(ctx, &fescuepb.StatusRequest{}); return err },
		"apply": func() error {
			_, err := o.Apply(ctx, &fescuepb.ApplyRequest{Team: "a", ChangeId: "1", Yaml: []byte("team: a\n")})
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if err := call(); status.Code(err) != codes.Unavailable || !strings.Contains(err.Error(), "nothing was changed") {
				t.Fatal(err)
			}
		})
	}
}

// Guards against a change that is applied twice, or refused, because the reply to
// its proposal is lost and the server proposes it again.
func TestLostReply(t *testing.T) {
	s := newServer(t, true)
	s.cfg.Log.(*memLog).repliesToDrop.Store(2)
	reply, err := (&operator{s: s}).Apply(as(t.Context(), "a"), &fescuepb.ApplyRequest{Team: "a", ChangeId: "1", Yaml: []byte("team: a\n")})
	if err != nil || reply.Revision != 1 || reply.Conflict != nil {
		t.Fatalf("got %v, %v", reply, err)
	}
	if h := s.cfg.Machine.History("a", 0); len(h) != 1 {
		t.Fatalf("change applied %d times, want once", len(h))
	}
}

// Guards against a newer acknowledgement that is replaced by an older one reported
// by another replica, for instance after a follower moved between them.
func TestMergeAcks(t *testing.T) {
	now := time.Now()
	all := map[string]feed.Ack{
		"moved here": {Version: 9, ReceivedAt: now.Add(-time.Second)},
		"moved away": {Version: 3, ReceivedAt: now.Add(-time.Minute)},
	}
	mergeAcks(all, &fescuepb.AcksReply{Acks: []*fescuepb.Ack{
		{Instance: "moved here", Version: 4, AgeMs: 30_000},
		{Instance: "moved away", Version: 9, AgeMs: 10},
		{Instance: "new", Version: 9, AgeMs: 10},
	}}, now)
	for instance, ack := range all {
		if ack.Version != 9 {
			t.Errorf("%s: version %d", instance, ack.Version)
		}
	}
	if len(all) != 3 {
		t.Errorf("%d acknowledgements", len(all))
	}
}

// Guards against pending caps that are reported by a replica that does not lead and
// so does not know them, or taken from a leader that has been replaced.
func TestLeaderStatus(t *testing.T) {
	s := newServer(t, true)
	isLeader := false
	s.cfg.LeaderStatus = func() (*fescuepb.LeaderStatus, bool) { return &fescuepb.LeaderStatus{Term: 4}, isLeader }
	acks, err := (&controlPeers{s: s}).Acks(t.Context(), nil)
	if st := s.LocalStatus(t.Context()); st.LeaderAnswered || st.Term != 4 || err != nil || acks.Leader != nil {
		t.Fatalf("a follower reports as the leader: %v, %v, %v", st, acks, err)
	}
	isLeader = true
	acks, err = (&controlPeers{s: s}).Acks(t.Context(), nil)
	if st := s.LocalStatus(t.Context()); !st.LeaderAnswered || err != nil || acks.Leader.GetTerm() != 4 {
		t.Fatalf("the leader does not report its status: %v, %v, %v", st, acks, err)
	}
	r := &reports{acks: map[string]feed.Ack{}, answered: map[string]bool{}}
	for _, term := range []uint64{0, 4, 3} {
		reply := &fescuepb.AcksReply{}
		if term > 0 {
			reply.Leader = &fescuepb.LeaderStatus{Term: term}
		}
		r.add(string(rune('a'+term)), reply, time.Now())
	}
	if r.leader.GetTerm() != 4 || len(r.answered) != 3 {
		t.Fatalf("leader of term %d, answered %v", r.leader.GetTerm(), r.answered)
	}
}

// Guards against errors that reach the caller with a gRPC code that does not match
// their kind.
func TestRPCError(t *testing.T) {
	for _, c := range []struct {
		err  error
		want codes.Code
	}{
		{errkind.New(errkind.NoQuorum, "x"), codes.Unavailable},
		{errkind.Wrap(errkind.Timeout, context.DeadlineExceeded, "x"), codes.DeadlineExceeded},
		{context.Canceled, codes.Canceled},
		{status.Error(codes.Unimplemented, "x"), codes.Unimplemented},
		{errkind.Wrap(errkind.Forbidden, status.Error(codes.Unknown, "x"), "x"), codes.PermissionDenied},
	} {
		if got := status.Code(rpcError(c.err)); got != c.want {
			t.Errorf("%v: %v, want %v", c.err, got, c.want)
		}
	}
}
