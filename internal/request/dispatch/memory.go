package dispatch

import (
	"container/list"
	"time"
)

// maxObjects bounds the objects that are remembered for a target.
const maxObjects = 512

// memory is which objects a target has handled lately, the latest first. A
// target keeps a limited number of them at hand.
type memory struct {
	order list.List // of handled
	at    map[string]*list.Element
}

type handled struct {
	object string
	at     time.Duration
}

// touch notes that the target handles an object now.
func (m *memory) touch(at time.Duration, object string) {
	if object == "" {
		return
	}
	if e := m.at[object]; e != nil {
		e.Value = handled{object, at}
		m.order.MoveToFront(e)
		return
	}
	if m.at == nil {
		m.at = map[string]*list.Element{}
	}
	m.at[object] = m.order.PushFront(handled{object, at})
	if m.order.Len() > maxObjects {
		last := m.order.Back()
		delete(m.at, last.Value.(handled).object)
		m.order.Remove(last)
	}
}

// distance returns how many other objects the target has handled since it
// handled this one, or false if it is not remembered.
func (m *memory) distance(object string) (int, bool) {
	want := m.at[object]
	if want == nil {
		return 0, false
	}
	n := 0
	for e := m.order.Front(); e != want; e = e.Next() {
		n++
	}
	return n, true
}

// since returns how many objects were handled at or after a time.
func (m *memory) since(at time.Duration) int {
	n := 0
	for e := m.order.Front(); e != nil && e.Value.(handled).at >= at; e = e.Next() {
		n++
	}
	return n
}

// clear forgets everything, as a target does that starts anew.
func (m *memory) clear() {
	m.order.Init()
	m.at = nil
}
