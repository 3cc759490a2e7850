package dispatch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuejunction/fescuejunction/internal/version/document"
)

var epoch = time.Unix(1_000_000, 0)

// groupHarness drives a Group with random steps and checks its invariants.
type groupHarness struct {
	group *Group
	now   time.Time
	live  []*Request // queued or running
	slots map[string]int
}

func (m *groupHarness) settle() {
	for _, r := range m.group.Decided() {
		if r.state == queued || r.state == idle {
			panic("a decided request is neither started nor refused")
		}
	}
	kept := m.live[:0]
	for _, r := range m.live {
		if r.state == queued || r.state == running {
			kept = append(kept, r)
		}
	}
	m.live = kept
}

func (m *groupHarness) targets(t *rapid.T) {
	var infos []TargetInfo
	for i := range rapid.IntRange(0, 5).Draw(t, "targets") {
		infos = append(infos, TargetInfo{
			ID:           fmt.Sprint("t", i),
			State:        TargetState(rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "state")),
			Slots:        rapid.IntRange(0, 4).Draw(t, "slots"),
			ReportedLoad: rapid.Float64Range(-1, 1).Draw(t, "load"),
		})
	}
	m.slots = map[string]int{}
	for _, info := range infos {
		if info.State == Active {
			m.slots[info.ID] = info.Slots
		}
	}
	m.group.SetTargets(m.now, infos)
}

func (m *groupHarness) submit(t *rapid.T) {
	r := &Request{}
	w := Work{
		Class:    rapid.SampledFrom([]document.Class{document.Short, document.Long}).Draw(t, "class"),
		Route:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "route"),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "deadline")) * time.Millisecond),
		Safe:     rapid.Bool().Draw(t, "safe"),
		Remote:   rapid.Bool().Draw(t, "remote"),
	}
	if rapid.IntRange(0, 3).Draw(t, "tried") == 0 {
		w.Exclude = []string{"t0"}
	}
	longBefore, longCap := m.group.longInFlight, m.group.longCap(m.group.sinceEpoch(m.now))
	err := m.group.Submit(m.now, r, w)
	if (err == nil) != (r.state == queued || r.state == running) {
		t.Fatalf("state %d after error %v", r.state, err)
	}
	if r.state == running && r.long && longBefore >= longCap {
		t.Fatalf("long work started beyond its share: %d of %d", longBefore, longCap)
	}
	if err == nil {
		m.live = append(m.live, r)
	}
}

func (m *groupHarness) finish(t *rapid.T) {
	if len(m.live) == 0 {
		return
	}
	r := m.live[rapid.IntRange(0, len(m.live)-1).Draw(t, "which")]
	if rapid.Bool().Draw(t, "cancel") {
		m.group.Cancel(m.now, r)
		return
	}
	result := rapid.SampledFrom([]Result{OK, OK, OK, Shed, Unreachable, Failed, CancelledByCaller}).Draw(t, "result")
	m.group.Done(m.now, r, Outcome{Result: result})
	m.group.Done(m.now, r, Outcome{Result: result})
}

func (m *groupHarness) hedge(t *rapid.T) {
	if len(m.live) == 0 {
		return
	}
	r := m.live[rapid.IntRange(0, len(m.live)-1).Draw(t, "which")]
	h := &Request{}
	if m.group.Hedge(m.now, r, h) {
		if h.target == r.target || !r.work.Safe {
			t.Fatal("hedge on the same target or of unsafe work")
		}
		m.live = append(m.live, h)
	}
}

// check compares the counters of the group with the states of the requests, and
// checks that no target exceeded its slots in the last step.
func (m *groupHarness) check(t *rapid.T, before map[string]int) {
	byTarget, queuedN := map[string]int{}, 0
	for _, r := range m.live {
		switch r.state {
		case running:
			byTarget[r.info.ID]++
		case queued:
			queuedN++
		}
	}
	total := 0
	for id, n := range byTarget {
		total += n
		if n > m.slots[id] && n > before[id] {
			t.Fatalf("target %s has %d in flight, slots %d, before the step %d", id, n, m.slots[id], before[id])
		}
	}
	if total != m.group.inFlight || queuedN != m.group.queuedCount() {
		t.Fatalf("in flight %d, counted %d; queued %d, counted %d", total, m.group.inFlight, queuedN, m.group.queuedCount())
	}
}

// Guards, in any order of steps, against leaked slots, exceeded slots, and
// requests that are neither started, refused nor cancelled.
func TestGroupInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &groupHarness{now: epoch}
		m.group = NewGroup(m.now, Settings{QueueLimit: 6, LongSharePercent: 50, HedgePercent: 50})
		m.targets(t)
		steps := rapid.SliceOfN(rapid.IntRange(0, 9), 100, 300).Draw(t, "steps")
		for _, s := range steps {
			before := map[string]int{}
			for _, r := range m.live {
				if r.state == running {
					before[r.info.ID]++
				}
			}
			switch s {
			case 0:
				m.targets(t)
			case 1, 2, 3, 4:
				m.submit(t)
			case 5, 6:
				m.finish(t)
			case 7:
				m.hedge(t)
			default:
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 800).Draw(t, "ms")) * time.Millisecond)
				m.group.Tick(m.now)
			}
			m.settle()
			m.check(t, before)
		}
		for len(m.live) > 0 {
			m.group.Done(m.now, m.live[0], Outcome{})
			m.group.Cancel(m.now, m.live[0])
			m.settle()
		}
		if m.group.inFlight != 0 || m.group.longInFlight != 0 || m.group.queuedCount() != 0 {
			t.Fatalf("after the end: %d in flight, %d of them long, %d queued; want none", m.group.inFlight, m.group.longInFlight, m.group.queuedCount())
		}
	})
}
