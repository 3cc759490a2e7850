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

// fake is a control instance with one document and a fixed state of the
// instances.
type fake struct {
	fescuepb.UnimplementedOperatorServer
	auth *operatorauth.Authenticator

	mu       sync.Mutex
	version  uint64
	sections map[string]*fescuepb.Section
	changes  map[string]*fescuepb.ApplyReply
	applied  int
	lose     int // answers to Apply that are lost after the change was made
	down     bool
	lag      uint64 // versions that the status is behind, as at a follower
	pending  []*fescuepb.PendingCap
	behind   map[string]uint64 // how many versions an instance is behind
	silent   bool              // a control replica does not report
}

func (f *fake) team(ctx context.Context) (string, error) {
	if f.down {
		return "", errkind.Status(errkind.New(errkind.NotLeader, "no leader"))
	}
	team, err := f.auth.Team(ctx)
	return team, errkind.Status(err)
}

func (f *fake) Apply(ctx context.Context, req *fescuepb.ApplyRequest) (*fescuepb.ApplyReply, error) {
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
	if f.lose > 0 {
		f.lose--
		return nil, errkind.Status(errkind.New(errkind.NoQuorum, "answer lost"))
	}
	return f.changes[req.ChangeId], nil
}

func (f *fake) put(team, author, yaml, change string) {
	f.version++
	rev := f.sections[team].GetRevision() + 1
	f.sections[team] = &fescuepb.Section{Team: team, Revision: rev, Yaml: []byte(yaml), Author: author, ChangeId: change}
	f.changes[change] = &fescuepb.ApplyReply{Revision: rev, Version: f.version}
}

func (f *fake) Validate(context.Context, *fescuepb.ValidateRequest) (*fescuepb.ValidateReply, error) {
	return &fescuepb.ValidateReply{}, nil
}

func (f *fake) Get(ctx context.Context, req *fescuepb.GetRequest) (*fescuepb.GetReply, error) {
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

func (f *fake) History(context.Context, *fescuepb.HistoryRequest) (*fescuepb.HistoryReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &fescuepb.HistoryReply{Revisions: []*fescuepb.Section{f.sections["kerala"]}}, nil
}

func (f *fake) Status(context.Context, *fescuepb.StatusRequest) (*fescuepb.StatusReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	reply := &fescuepb.StatusReply{Version: f.version - f.lag, Leader: "c1", LeaderAnswered: f.pending != nil, PendingCaps: f.pending}
	if f.lag > 0 {
		return reply, nil
	}
	reply.Instances = append(reply.Instances, &fescuepb.InstanceStatus{
		Member: &fescuepb.Member{Instance: "c2", Role: fescuepb.Role_ROLE_CONTROL}, Alive: !f.silent, VersionInForce: f.version,
	})
	for _, dc := range []string{"kochi-1", "kochi-2", "leh-1"} {
		for _, n := range []string{"a", "b"} {
			m := &fescuepb.Member{Instance: dc + n, DataCentre: dc, Role: fescuepb.Role_ROLE_ENTRY}
			reply.Instances = append(reply.Instances, &fescuepb.InstanceStatus{
				Member: m, Alive: n == "a", LastHeardMs: map[string]int64{"a": 1500, "b": -1}[n], VersionInForce: f.version - f.behind[m.Instance],
			})
		}
	}
	return reply, nil
}

// rig is a fake server behind TLS and the arguments to reach it.
type rig struct {
	*fake
	t    *testing.T
	dir  string
	addr string
	args []string
}

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{t: t, dir: t.TempDir()}
	ca, err := tlsconf.NewAuthority("test", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	server := r.cert(ca, "c1", tlsconf.Instance)
	op := r.cert(ca, "op", tlsconf.Operator)
	var entries string
	for _, team := range []string{"kerala", "cascadia"} {
		key, e, err := operatorauth.NewKey(team)
		if err != nil {
			t.Fatal(err)
		}
		r.write(team+".key", key+"\n")
		entries += fmt.Sprintf("- {team: %s, key_sha256: %q}\n", team, e.KeySHA256)
	}
	r.write("keys.yaml", "keys:\n"+entries)
	auth, err := operatorauth.New(r.path("keys.yaml"), logging.Discard())
	if err != nil {
		t.Fatal(err)
	}
	r.fake = &fake{auth: auth, sections: map[string]*fescuepb.Section{}, changes: map[string]*fescuepb.ApplyReply{}, behind: map[string]uint64{}}
	r.put("platform", "platform", platformYAML, "p1")
	r.put("kerala", "asha", keralaYAML, "k1")
	r.serve(server)
	r.args = []string{"--server", "127.0.0.1:1", "--server", r.addr, "--timeout", "2s", "--team", "kerala",
		"--tls-cert", op.CertFile, "--tls-key", op.KeyFile, "--tls-ca", op.CAFile, "--key-file", r.path("kerala.key")}
	return r
}

func (r *rig) serve(set settings.TLS) {
	links, err := peer.NewLinks(set, logging.Discard())
	if err != nil {
		r.t.Fatal(err)
	}
	lis, err := links.ListenGRPC("127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	srv := grpc.NewServer(links.ServerOptions()...)
	fescuepb.RegisterOperatorServer(srv, r.fake)
	go srv.Serve(lis)
	r.t.Cleanup(srv.Stop)
	r.addr = lis.Addr().String()
}

func (r *rig) path(name string) string { return filepath.Join(r.dir, name) }

func (r *rig) write(name, content string) string {
	r.t.Helper()
	if err := os.WriteFile(r.path(name), []byte(content), 0o600); err != nil {
		r.t.Fatal(err)
	}
	return r.path(name)
}

func (r *rig) cert(ca *tlsconf.Authority, name string, role tlsconf.Role) settings.TLS {
	set, err := ca.IssueFiles(r.dir, name, role, []string{"127.0.0.1"}, time.Hour)
	if err != nil {
		r.t.Fatal(err)
	}
	return set
}

// ctl runs fescuectl against the fake.
func (r *rig) ctl(args ...string) (code int, stdout, stderr string) {
	r.t.Helper()
	var out, notes bytes.Buffer
	app := App{Version: "test", Stdout: &out, Stderr: &notes}
	code = app.Run(append(append([]string{}, args...), r.args...))
	return code, out.String(), notes.String()
}
