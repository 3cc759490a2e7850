// Package rendezvous implements rendezvous hashing: each key prefers the node for which
// it has the highest score, so all processes with the same nodes agree without a table,
// and a change of the nodes moves as few keys as possible.
package rendezvous

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the hash of a key for a node.
func Hash(key, node string) uint64 { return xxhash.Sum64String(key + "\x00" + node) }

// Score returns the score of a key for a node, higher is preferred. The keys are spread
// over the nodes in proportion to their weights. A weight of 0 gives the lowest scores.
func Score(key, node string, weight float64) float64 {
	uniform := (float64(Hash(key, node)>>11) + 0.5) / (1 << 53) // in (0, 1)
	return -weight / math.Log(uniform)
}
