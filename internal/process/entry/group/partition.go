package group

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/fescuejunction/fescuejunction/internal/base/rendezvous"
	slotlink "github.com/fescuejunction/fescuejunction/internal/connection/slots"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// The least numbers of slots and targets in each part of a partition. A dispatcher gets a
// question and a report for each request, over a link that it shares with its callers, so
// its part must not grow with the region; smaller parts even out bursts and failures badly.
const (
	minPartSlots   = 45
	minPartTargets = 4
)

// regionTargets identifies the targets of a service in a region.
type regionTargets struct{ service, region string }

// partition divides the targets of a service in a region into parts, each with a
// dispatcher of its own. It depends on the targets in the snapshot only, so entries with
// the same snapshot agree on it. Invariants: each target is in one part; the parts differ
// by few targets; a target that joins or leaves moves few others to another part, unless
// the number of parts changes.
type partition struct {
	partOf map[string]int // by target ID
	slots  []int          // of the active targets, by part
}

// partitionLocked returns the partition of the targets of a service in a region.
func (g *Guarded) partitionLocked(svc *snapshot.Service, region string) *partition {
	key := regionTargets{svc.Name, region}
	if p := g.partitions[key]; p != nil {
		return p
	}
	p := newPartition(g.regionTargetInfosLocked(svc, region))
	g.partitions[key] = p
	return p
}

// parts returns the number of parts of a pool's targets, 1 if there are none.
func (g *Guarded) parts(pool slotlink.Pool) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.snap == nil || g.snap.Services[pool.Service] == nil {
		return 1
	}
	return len(g.partitionLocked(g.snap.Services[pool.Service], pool.Region).slots)
}

func newPartition(targets []dispatch.TargetInfo) *partition {
	total := 0
	for _, t := range targets {
		total += t.Slots
	}
	parts := partCount(total, len(targets))
	p := &partition{partOf: make(map[string]int, len(targets)), slots: make([]int, parts)}
	room := make([]int, parts) // targets that still fit
	for i := range room {
		room[i] = (len(targets) + parts - 1) / parts
	}
	byHash := slices.Clone(targets)
	slices.SortFunc(byHash, func(a, b dispatch.TargetInfo) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	for _, t := range byHash {
		part := preferredPart(t.ID, room)
		room[part]--
		p.partOf[t.ID] = part
		if t.State == dispatch.Active {
			p.slots[part] += t.Slots
		}
	}
	return p
}

// partCount returns the largest power of two for which each part has minPartSlots and
// minPartTargets. With powers of two, a change of the number leaves half of the targets in
// their parts.
func partCount(slots, targets int) int {
	parts := 1
	for slots >= 2*parts*minPartSlots && targets >= 2*parts*minPartTargets {
		parts *= 2
	}
	return parts
}

// preferredPart returns the part with room that a target prefers, by rendezvous hashing.
func preferredPart(id string, room []int) int {
	best, highest := 0, uint64(0)
	for part, n := range room {
		if hash := rendezvous.Hash(id, strconv.Itoa(part)); n > 0 && hash >= highest {
			best, highest = part, hash
		}
	}
	return best
}

// has reports whether there is such a part.
func (p *partition) has(part int) bool { return part < len(p.slots) }

// order returns the parts that have active targets in the order of preference for an
// object, or the first part if there is none. Objects are spread in proportion to the
// slots, by weighted rendezvous hashing. Without an object the order is random.
func (p *partition) order(object string) []int {
	if len(p.slots) == 1 {
		return []int{0}
	}
	if object == "" {
		object = strconv.FormatUint(rand.Uint64(), 36)
	}
	out := make([]int, 0, len(p.slots))
	scores := make([]float64, len(p.slots))
	for part, slots := range p.slots {
		if slots > 0 {
			out = append(out, part)
			scores[part] = rendezvous.Score(object, strconv.Itoa(part), float64(slots))
		}
	}
	if len(out) == 0 {
		return []int{0}
	}
	slices.SortFunc(out, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
	return out
}
