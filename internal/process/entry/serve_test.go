package entry

import (
	"testing"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/connection/target"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// Guards against an entry that closes an idle connection of another entry while that
// one sends a request on it: whether the request has run is then not known. The idle
// timeout of callers, which may be shorter than the other entry keeps connections,
// had this fault.
func TestIdleConnectionsOfEntriesOutlastTheirUse(t *testing.T) {
	snap, err := snapshot.Build(1, []*fescuepb.Section{{Team: "platform", Yaml: []byte("team: platform\ncallers: {idle_timeout: 15s}\n")}}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	p := &process{store: &snapshot.Store{}}
	p.store.Swap(snap)
	if got := p.callerLimits().IdleTimeout.Seconds(); got != 15 {
		t.Errorf("connections of callers may be idle for %v s, want 15", got)
	}
	if got := p.peerLimits().IdleTimeout; got <= target.DefaultIdleTimeout {
		t.Errorf("connections of entries are closed after %v, and used until %v", got, target.DefaultIdleTimeout)
	}
}
