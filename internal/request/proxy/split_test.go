package proxy

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/fescuejunction/fescuejunction/internal/version/document"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// Guards against a service of a split route that gets more or fewer requests than
// its weight allows, in any sequence of requests and also directly after the
// weights have changed.
func TestSplitFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s splitter
		for range rapid.IntRange(1, 3).Draw(t, "versions") {
			r := &snapshot.Route{Host: "h", Prefix: "/"}
			sum := 0
			for i := range rapid.IntRange(1, 4).Draw(t, "parts") {
				w := rapid.IntRange(0, 100).Draw(t, "weight")
				sum += w
				r.Services = append(r.Services, document.ServicePart{Service: string(rune('a' + i)), Weight: w})
			}
			if sum == 0 {
				continue // the validation of documents refuses this
			}
			got, n := map[string]int{}, rapid.IntRange(1, 200).Draw(t, "requests")
			for range n {
				got[s.pick(r)]++
			}
			for _, p := range r.Services {
				want := float64(n) * float64(p.Weight) / float64(sum)
				if d := float64(got[p.Service]) - want; d > float64(len(r.Services)) || d < -float64(len(r.Services)) {
					t.Fatalf("part %s with weight %d of %d got %d of %d requests", p.Service, p.Weight, sum, got[p.Service], n)
				}
				if p.Weight == 0 && got[p.Service] > 0 {
					t.Fatalf("part %s with weight 0 got %d requests", p.Service, got[p.Service])
				}
			}
		}
	})
}
