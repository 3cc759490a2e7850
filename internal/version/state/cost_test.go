package state

import (
	"testing"

	"github.com/fescuejunction/fescuejunction/internal/version/document"
)

// allocsOf returns the allocations of one call of f.
func allocsOf(f func()) float64 {
	first := true
	return testing.AllocsPerRun(1, func() { // calls its argument once before it counts
		if !first {
			f()
		}
		first = false
	})
}

// parseAllocs returns the allocations of a parse of a whole section.
func parseAllocs(yaml []byte) float64 {
	return allocsOf(func() { _, _ = document.Parse(largeTeam, yaml) })
}

// Guards against a change of one weight for which each replica parses the whole section
// again: 57 ms of a whole core for 1,400 routes, on machines that have 0.48 of one.
func TestSmallChangeParsesLittle(t *testing.T) {
	sec := largeSection(1000)
	first := largeChange(t, sec, 0)
	next := largeChange(t, sec, 1)
	whole := parseAllocs(next.Yaml)
	m := New()
	applyLarge(t, m, first)
	image, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(image); err != nil {
		t.Fatal(err)
	}
	if allocs := allocsOf(func() { _, _ = m.Check(next) }); allocs > whole/2 {
		t.Errorf("Check allocates %.0f times, a parse of the whole section %.0f times", allocs, whole)
	}
	if allocs := allocsOf(func() { applyLarge(t, m, next) }); allocs > whole/2 {
		t.Errorf("Apply allocates %.0f times, a parse of the whole section %.0f times", allocs, whole)
	}
	if allocs := allocsOf(func() { applyLarge(t, restored, next) }); allocs > whole/2 {
		t.Errorf("Apply after Restore allocates %.0f times, a parse of the whole section %.0f times", allocs, whole)
	}
}

// Guards against a restart that parses each stored revision as a whole before the
// replica applies its next entry: 57 ms of a whole core for each of up to 100 revisions
// with 1,400 routes.
func TestEarlierCapsParseLittle(t *testing.T) {
	m, sec := New(), largeSection(300)
	var whole float64
	const revisions = 20
	for i := range uint64(revisions) {
		r := largeChange(t, sec, i)
		whole = parseAllocs(r.Yaml)
		applyLarge(t, m, r)
	}
	if allocs := allocsOf(func() { m.EarlierCaps() }); allocs > whole*revisions/4 {
		t.Errorf("%.0f allocations for %d revisions, a parse of the whole section %.0f", allocs, revisions, whole)
	}
}

// Guards against a new section that the replica which takes it parses twice, in Check
// and in Apply.
func TestApplyUsesTheSectionThatCheckParsed(t *testing.T) {
	r := largeChange(t, largeSection(1000), 0)
	whole := parseAllocs(r.Yaml)
	m := New()
	if reply, err := m.Check(r); reply != nil || err != nil {
		t.Fatal(reply, err)
	}
	if allocs := allocsOf(func() { applyLarge(t, m, r) }); allocs > whole/2 {
		t.Errorf("Apply allocates %.0f times, a parse of the whole section %.0f times", allocs, whole)
	}
}
