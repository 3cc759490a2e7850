package dispatch

import (
	"container/list"
	"time"
)

// maxObjects bounds the objects that are remembered for a target.
const maxTrackedObjects = 512

// memory is which objects a target has handled lately, the latest first. A
// target keeps a limited number of them at hand.
type objectLRU struct {
	order    list.List // of handled
	byObject map[string]*list.Element
}

type objectUse struct {
	object string
	at     time.Duration
}

// touch notes that the target handles an object now.
func (m *objectLRU) touch(at time.Duration, object string) {
	if object == "" {
		return
	}
	if e := m.byObject[object]; e != nil {
		e.Value = objectUse{object, at}
		m.order.MoveToFront(e)
		return
	}
	if m.byObject == nil {
		m.byObject = map[string]*list.Element{}
	}
	m.byObject[object] = m.order.PushFront(objectUse{object, at})
	if m.order.Len() > maxTrackedObjects {
		last := m.order.Back()
		delete(m.byObject, last.Value.(objectUse).object)
		m.order.Remove(last)
	}
}

// distance returns how many other objects the target has handled since it
// handled this one, or false if it is not remembered.
func (m *objectLRU) reuseDistance(object string) (int, bool) {
	element := m.byObject[object]
	if element == nil {
		return 0, false
	}
	n := 0
	for e := m.order.Front(); e != element; e = e.Next() {
		n++
	}
	return n, true
}

// since returns how many objects were handled at or after a time.
func (m *objectLRU) countSince(at time.Duration) int {
	n := 0
	for e := m.order.Front(); e != nil && e.Value.(objectUse).at >= at; e = e.Next() {
		n++
	}
	return n
}

// clear forgets everything, as a target does that starts anew.
func (m *objectLRU) clear() {
	m.order.Init()
	m.byObject = nil
}
