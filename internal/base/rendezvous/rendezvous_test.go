package rendezvous

import (
	"math"
	"strconv"
	"testing"
)

func preferred(key string, weights map[string]float64) string {
	best, highest := "", math.Inf(-1)
	for node, w := range weights {
		if s := Score(key, node, w); s > highest {
			best, highest = node, s
		}
	}
	return best
}

// Guards against keys that are spread otherwise than by weight, and against keys that move
// between nodes whose weights stay.
func TestScoreFollowsWeights(t *testing.T) {
	const keys = 20000
	before := map[string]float64{"a": 1, "b": 2, "c": 5}
	after := map[string]float64{"a": 1, "b": 2, "c": 3}
	count := map[string]float64{}
	for i := range keys {
		key := strconv.Itoa(i)
		was, is := preferred(key, before), preferred(key, after)
		count[was]++
		if was != is && was != "c" {
			t.Fatalf("key %s moves from %s to %s, only c lost weight", key, was, is)
		}
	}
	for node, w := range before {
		if share := count[node] / keys; math.Abs(share-w/8) > 0.02 {
			t.Errorf("node %s has %.3f of the keys, want %.3f", node, share, w/8)
		}
	}
}
