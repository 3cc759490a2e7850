package group

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"

	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"pgregory.net/rapid"
)

const partitionTestSlots = 9

// partitionTargets returns active targets with the given numbers.
func partitionTargets(numbers ...int) []dispatch.TargetInfo {
	var out []dispatch.TargetInfo
	for _, n := range numbers {
		out = append(out, dispatch.TargetInfo{ID: fmt.Sprintf("i-%04d", n), Slots: partitionTestSlots})
	}
	return out
}

func upTo(n int) []int {
	var out []int
	for i := range n {
		out = append(out, i)
	}
	return out
}

// Guards against parts that are too small to even out bursts, and against one that holds
// much more than its share.
func TestPartitionInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := partitionTargets(rapid.SliceOfNDistinct(rapid.IntRange(0, 9999), 0, 400, rapid.ID).Draw(t, "targets")...)
		p := newPartition(targets)
		size := make([]int, len(p.slots))
		for _, target := range targets {
			part, ok := p.partOf[target.ID]
			if !ok || !p.has(part) {
				t.Fatalf("target %s is in part %d of %d", target.ID, part, len(p.slots))
			}
			size[part]++
		}
		most := (len(targets) + len(size) - 1) / len(size)
		if slices.Max(size) > most {
			t.Errorf("parts with %v targets, want at most %d in each", size, most)
		}
		if total := partitionTestSlots * len(targets); len(size) > 1 && total < len(size)*minPartSlots {
			t.Errorf("%d parts for %d slots", len(size), total)
		}
		large := partitionTargets(0, 1, 2, 3, 4, 5, 6)
		large[0].Slots = rapid.IntRange(1, 1<<30).Draw(t, "slots of one target")
		if parts := len(newPartition(large).slots); parts > 1 {
			t.Errorf("%d parts for %d targets", parts, len(large))
		}
	})
}

// Guards against entries that disagree about the part of a target because their lists of
// targets have another order.
func TestPartitionDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := partitionTargets(rapid.Permutation(upTo(40)).Draw(t, "order")...)
		if got, want := newPartition(targets), newPartition(partitionTargets(upTo(40)...)); !maps.Equal(got.partOf, want.partOf) {
			t.Errorf("the partition depends on the order of the targets")
		}
	})
}

// Guards against a target that leaves and thereby moves most others to new dispatchers,
// which know neither their requests nor their objects.
func TestPartitionMovesFewTargets(t *testing.T) {
	const n = 30
	before := newPartition(partitionTargets(upTo(n)...))
	if len(before.slots) != 4 {
		t.Fatalf("%d parts, want 4", len(before.slots))
	}
	for gone := range n {
		after := newPartition(slices.DeleteFunc(partitionTargets(upTo(n)...), func(i dispatch.TargetInfo) bool { return i.ID == fmt.Sprintf("i-%04d", gone) }))
		moved := 0
		for id, part := range after.partOf {
			if before.partOf[id] != part {
				moved++
			}
		}
		if moved > n/4 {
			t.Errorf("without target %d, %d of %d others move", gone, moved, n-1)
		}
	}
}

// Guards against objects that are not spread in proportion to the slots of the parts, and
// against objects of all parts that move when one part loses its targets.
func TestObjectsFollowSlots(t *testing.T) {
	const objects = 4000
	p := &partition{slots: []int{90, 45, 45, 0}}
	counts, first := make([]int, len(p.slots)), map[string]int{}
	for i := range objects {
		object := strconv.Itoa(i)
		order := p.order(object)
		if len(order) != 3 {
			t.Fatalf("parts %v, want the three with slots", order)
		}
		counts[order[0]]++
		first[object] = order[0]
	}
	for part, slots := range p.slots {
		share, want := float64(counts[part])/objects, float64(slots)/180
		if share < want-0.04 || share > want+0.04 {
			t.Errorf("part %d is preferred by %.2f of the objects, want %.2f", part, share, want)
		}
	}
	without := &partition{slots: []int{90, 0, 45, 0}}
	for object, part := range first {
		if now := without.order(object)[0]; part != 1 && now != part {
			t.Fatalf("object %s moved from part %d to %d when part 1 lost its targets", object, part, now)
		}
	}
}

// Guards against a request without a part to ask while no target is active: its refusal
// names the cause.
func TestPartitionWithoutActiveTargets(t *testing.T) {
	if got := newPartition(nil).order("object"); !slices.Equal(got, []int{0}) {
		t.Errorf("order %v, want the first part", got)
	}
	if got := (&partition{slots: []int{0, 0}}).order(""); !slices.Equal(got, []int{0}) {
		t.Errorf("order %v, want the first part", got)
	}
}
