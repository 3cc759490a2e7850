package operator

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/base/settings"
	"github.com/fescuejunction/fescuejunction/internal/base/tlsconf"
	"github.com/fescuejunction/fescuejunction/internal/connection/peer"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/process/control/operatorauth"
	"google.golang.org/grpc"
)

const platformYAML = `team: platform
regions: [{name: south, data_centres: [kochi-1, kochi-2]}, {name: north, data_centres: [leh-1]}]
links: [{from: south, to: north, bytes_per_second: 1000}]
`

const keralaYAML = `team: kerala # the coast
services:
  # chairs of the coast
  - name: rota
    data_centres: [leh-1, kochi-2, kochi-1]
    slots_per_target: 7
    routes: [{path: /, safe: true}, {path: /swaps, methods: [POST], once: true}]
shifts: [{name: coast, cap: 40}]
`

// fakeControl is a control replica with a document in memory. Its status reports
// six entries, of which those with names ending in a are alive, and the replica c2.
type fakeControl struct {
	fescuepb.UnimplementedOperatorServer
	auth *operatorauth.Authenticator

	mu             sync.Mutex
	version        uint64
	sections       map[string]*fescuepb.Section
	changes        map[string]*fescuepb.ApplyReply
	applied        int
	lostReplies    int // number of coming Apply calls that make the change but return an error
	noLeader       bool
	statusLag      uint64 // versions by which the status lags, as on a follower
	pending        []*fescuepb.PendingCap
	versionsBehind map[string]uint64 // by instance, the versions by which it lags
	replicaSilent  bool              // replica c2 is not alive
	suspects       []*fescuepb.Suspect
	more           []*fescuepb.InstanceStatus // beside the replica and the six entries
}

func (f *fakeControl) team(ctx context.Context) (string, error) {
	if f.noLeader {
		return "", errkind.Status(errkind.New(errkind.NotLeader, "no leader"))
	}
	team, err := f.auth.Team(ctx)
	return team, errkind.Status(err)
}

func (f *fakeControl) Apply(ctx context.Context, req *fescuepb.ApplyRequest) (*fescuepb.ApplyReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	team, err := f.team(ctx)
	if err != nil {
		return nil, err
	}
	if err := operatorauth.CheckSectionOwner(team, req.Team); err != nil {
		return nil, errkind.Status(err)
	}
	if r := f.changes[req.ChangeId]; r != nil {
		return &fescuepb.ApplyReply{Revision: r.Revision, Version: r.Version, RepeatedChange: true}, nil
	}
	if cur := f.sections[req.Team]; cur.GetRevision() != req.ExpectedRevision {
		return &fescuepb.ApplyReply{Conflict: &fescuepb.Conflict{Revision: cur.GetRevision(), Author: cur.GetAuthor(), ChangeId: cur.GetChangeId()}}, nil
	}
	f.put(req.Team, team, string(req.Yaml), req.ChangeId)
	f.applied++
	if f.lostReplies > 0 {
		f.lostReplies--
		return nil, errkind.Status(errkind.New(errkind.NoQuorum, "reply lost"))
	}
	return f.changes[req.ChangeId], nil
}

func (f *fakeControl) put(team, author, yaml, changeID string) {
	f.version++
	rev := f.sections[team].GetRevision() + 1
	f.sections[team] = &fescuepb.Section{Team: team, Revision: rev, Yaml: []byte(yaml), Author: author, ChangeId: changeID}
	f.changes[changeID] = &fescuepb.ApplyReply{Revision: rev, Version: f.version}
}

func (f *fakeControl) Validate(context.Context, *fescuepb.ValidateRequest) (*fescuepb.ValidateReply, error) {
	return &fescuepb.ValidateReply{}, nil
}

func (f *fakeControl) Get(ctx context.Context, req *fescuepb.GetRequest) (*fescuepb.GetReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := f.team(ctx); err != nil {
		return nil, err
	}
	reply := &fescuepb.GetReply{Version: f.version}
	for team, s := range f.sections {
		if req.Team == "" || req.Team == team {
			reply.Sections = append(reply.Sections, s)
		}
	}
	return reply, nil
}

func (f *fakeControl) History(context.Context, *fescuepb.HistoryRequest) (*fescuepb.HistoryReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &fescuepb.HistoryReply{Revisions: []*fescuepb.Section{f.sections["kerala"]}}, nil
}

func (f *fakeControl) Release(_ context.Context, req *fescuepb.ReleaseRequest) (*fescuepb.ReleaseReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, s := range f.suspects {
		if s.Id == req.Suspect {
			f.suspects = append(f.suspects[:i], f.suspects[i+1:]...)
			return &fescuepb.ReleaseReply{Version: 9}, nil
		}
	}
	return nil, errkind.Status(errkind.New(errkind.NotFound, "%q is no suspect", req.Suspect))
}

func (f *fakeControl) Status(context.Context, *fescuepb.StatusRequest) (*fescuepb.StatusReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	reply := &fescuepb.StatusReply{Version: f.version - f.statusLag, Leader: "c1", Suspects: f.suspects, LeaderAnswered: f.pending != nil, PendingCaps: f.pending}
	if f.statusLag > 0 {
		return reply, nil
	}
	reply.Instances = append(reply.Instances, &fescuepb.InstanceStatus{
		Member: &fescuepb.Member{Instance: "c2", Role: fescuepb.Role_ROLE_CONTROL}, Alive: !f.replicaSilent, VersionInForce: f.version,
	})
	for _, dc := range []string{"kochi-1", "kochi-2", "leh-1"} {
		for _, n := range []string{"a", "b"} {
			m := &fescuepb.Member{Instance: dc + n, DataCentre: dc, Role: fescuepb.Role_ROLE_ENTRY}
			reply.Instances = append(reply.Instances, &fescuepb.InstanceStatus{
				Member: m, Alive: n == "a", LastHeardMs: map[string]int64{"a": 1500, "b": -1}[n], VersionInForce: f.version - f.versionsBehind[m.Instance],
			})
		}
	}
	reply.Instances = append(reply.Instances, f.more...)
	return reply, nil
}

// harness runs fescuectl against a fakeControl that serves over TLS.
type harness struct {
	*fakeControl
	t    *testing.T
	dir  string
	addr string
	args []string // flags for the connection to the server
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{t: t, dir: t.TempDir()}
	ca, err := tlsconf.NewAuthority("test", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	server := h.cert(ca, "c1", tlsconf.Instance)
	op := h.cert(ca, "op", tlsconf.Operator)
	var entries string
	for _, team := range []string{"kerala", "cascadia"} {
		key, e, err := operatorauth.NewKey(team)
		if err != nil {
			t.Fatal(err)
		}
		h.write(team+".key", key+"\n")
		entries += fmt.Sprintf("- {team: %s, key_sha256: %q}\n", team, e.KeySHA256)
	}
	h.write("keys.yaml", "keys:\n"+entries)
	auth, err := operatorauth.New(h.path("keys.yaml"), logging.Discard())
	if err != nil {
		t.Fatal(err)
	}
	h.fakeControl = &fakeControl{auth: auth, sections: map[string]*fescuepb.Section{}, changes: map[string]*fescuepb.ApplyReply{}, versionsBehind: map[string]uint64{}}
	h.put("platform", "platform", platformYAML, "p1")
	h.put("kerala", "asha", keralaYAML, "k1")
	h.serve(server)
	h.args = []string{"--server", "127.0.0.1:1", "--server", h.addr, "--timeout", "2s", "--team", "kerala",
		"--tls-cert", op.CertFile, "--tls-key", op.KeyFile, "--tls-ca", op.CAFile, "--key-file", h.path("kerala.key")}
	return h
}

func (h *harness) serve(set settings.TLS) {
	links, err := peer.NewLinks(set, logging.Discard())
	if err != nil {
		h.t.Fatal(err)
	}
	lis, err := links.ListenGRPC("127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	srv := grpc.NewServer(links.ServerOptions()...)
	fescuepb.RegisterOperatorServer(srv, h.fakeControl)
	go srv.Serve(lis)
	h.t.Cleanup(srv.Stop)
	h.addr = lis.Addr().String()
}

func (h *harness) path(name string) string { return filepath.Join(h.dir, name) }

func (h *harness) write(name, content string) string {
	h.t.Helper()
	if err := os.WriteFile(h.path(name), []byte(content), 0o600); err != nil {
		h.t.Fatal(err)
	}
	return h.path(name)
}

func (h *harness) cert(ca *tlsconf.Authority, name string, role tlsconf.Role) settings.TLS {
	set, err := ca.IssueFiles(h.dir, name, role, []string{"127.0.0.1"}, time.Hour)
	if err != nil {
		h.t.Fatal(err)
	}
	return set
}

// run runs fescuectl with the arguments and those for the connection.
func (h *harness) run(args ...string) (code int, stdout, stderr string) {
	h.t.Helper()
	var out, notes bytes.Buffer
	app := App{Version: "test", Stdout: &out, Stderr: &notes}
	code = app.Run(append(append([]string{}, args...), h.args...))
	return code, out.String(), notes.String()
}
