package feed

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// constantSource is a source whose version and counter never change.
type constantSource struct{}

func (constantSource) Version() uint64 { return 5 }
func (constantSource) Counter() uint64 { return 9 }
func (constantSource) Since(base uint64) *fescuepb.Update {
	return &fescuepb.Update{Base: base, Version: 5}
}

// Guards against followers that wait for a source whose counter stands still, or
// that leave one whose counter advances again, because an update that was encoded
// earlier is sent.
func TestStalledSourceIsReported(t *testing.T) {
	stalled := false
	h := NewHub(Config{Instance: "source", Source: constantSource{}, Stalled: func() bool { return stalled }})
	for _, stalled = range []bool{false, true, true, false} {
		f, err := h.frame(0)
		if err != nil {
			t.Fatal(err)
		}
		var u fescuepb.Update
		if err := proto.Unmarshal(f.data, &u); err != nil {
			t.Fatal(err)
		}
		if u.Stalled != stalled || u.Version != 5 || u.Counter != 9 {
			t.Errorf("update %v of a source with stalled %v", &u, stalled)
		}
	}
}
