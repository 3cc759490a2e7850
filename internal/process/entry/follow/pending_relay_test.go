package follow

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/process/shared/feed"
	"github.com/fescuejunction/fescuejunction/internal/version/view"
	"google.golang.org/grpc"
)

// Guards against an entry that stays with a relay that waits for its own content without
// end, for instance behind a link with losses, although another source has the content.
func TestRelayThatStaysBehindIsLeft(t *testing.T) {
	ready := newFakeSource(t, 31, 100)
	s := &fakeSource{view: view.New(), counter: 100, isCutOff: true}
	s.view.SetSection(&fescuepb.Section{Team: "platform", Yaml: []byte(platformYAML), Revision: 30, Version: 30})
	var pending atomic.Uint64
	s.hub = feed.NewHub(feed.Config{Instance: "relay", Source: s, Pending: pending.Load})
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := grpc.NewServer()
	fescuepb.RegisterFollowServer(g, s)
	fescuepb.RegisterMembersServer(g, s)
	go func() { _ = g.Serve(lis) }()
	t.Cleanup(g.Stop)
	f := newFollower("entry-1", []string{lis.Addr().String()}, nil)
	go s.run(t.Context())
	s.setCutOff(false)
	start(t, f)
	eventually(t, 5*time.Second, "version 30 in force", func() bool { return versionInForce(f) == 30 && f.Confirmed() })
	f.SetSources([]string{lis.Addr().String(), ready.addr})
	s.setCutOff(true) // the content of the relay falls behind
	stop := time.AfterFunc(0, func() {
		for t.Context().Err() == nil {
			time.Sleep(100 * time.Millisecond)
			pending.Store(max(pending.Load(), s.Counter()) + 1)
		}
	})
	defer stop.Stop()
	at := time.Now()
	eventually(t, 10*time.Second, "version 31 of the other source in force", func() bool { return versionInForce(f) == 31 })
	t.Logf("version 31 in force after %v", time.Since(at))
}
