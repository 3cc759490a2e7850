package dispatch

import (
	"testing"
	"time"
)

// Guards against a target that answers quickly with errors and therefore
// attracts most requests, and against a faulty route that puts every target into
// back-off.
func TestServerErrors(t *testing.T) {
	for _, tc := range []struct {
		failing, most int
	}{{1, 20}, {6, 0}} {
		now := time.Unix(1000, 0)
		g := NewGroup(now, Settings{Service: "rota", Slots: 3})
		var infos []TargetInfo
		for i := range 6 {
			infos = append(infos, TargetInfo{ID: string(rune('a' + i)), State: Active, Slots: 3, ReportedLoad: -1})
		}
		g.SetTargets(now, infos)
		served := map[string]int{}
		for range 300 {
			now = now.Add(2 * time.Millisecond)
			r := &Request{ready: make(chan struct{})}
			if err := g.Submit(now, r, Work{Route: "/"}); err != nil {
				t.Fatalf("%d failing targets: refused: %v", tc.failing, err)
			}
			id := r.target.info.ID
			served[id]++
			o := Outcome{Result: OK, Latency: time.Millisecond}
			if int(id[0]-'a') < tc.failing {
				o.Result = ServerError
			}
			g.Done(now.Add(time.Millisecond), r, o)
		}
		if tc.most > 0 && served["a"] > tc.most {
			t.Errorf("the failing target got %d of 300 requests, want at most %d", served["a"], tc.most)
		}
	}
}
