package dispatch

import (
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/version/document"
)

// serve runs n requests of a route one after another, each for the given
// time, and returns the last one.
func serve(t *testing.T, g *Group, now *time.Time, route string, n int, run time.Duration) *Request {
	t.Helper()
	var r *Request
	for range n {
		r = &Request{}
		if err := g.Submit(*now, r, Work{Class: document.Short, Route: route}); err != nil {
			t.Fatal(err)
		}
		*now = now.Add(run)
		g.Tick(*now)
		g.Done(*now, r, Outcome{})
	}
	return r
}

// Guards against stragglers that stay short, and against a route that stays
// long after it became quick or after the whole service became slower.
func TestStragglerRoutes(t *testing.T) {
	now := epoch
	g := NewGroup(now, Settings{})
	g.SetTargets(now, infos(4, 4))
	mixed := func(n int, history time.Duration) *Request {
		var r *Request
		for range n {
			serve(t, g, &now, "rota", 3, 10*time.Millisecond)
			r = serve(t, g, &now, "history", 1, history)
		}
		return r
	}
	if r := mixed(10, 500*time.Millisecond); !r.long || r.straggled {
		t.Error("a route of stragglers is not long from the start")
	}
	if r := mixed(40, 10*time.Millisecond); r.long {
		t.Error("a route that became quick is still long")
	}
	if r := serve(t, g, &now, "rota", 200, time.Second); r.long {
		t.Error("the only route is long after the service became slower")
	}
}
