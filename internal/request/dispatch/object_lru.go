package dispatch

import (
	"container/list"
	"time"
)

// maxTrackedObjects bounds the number of objects that are tracked for a target.
const maxTrackedObjects = 512

// objectLRU holds the objects that a target has handled, the most recently used
// first. It models the target's cache, which holds a limited number of objects.
// The zero value is empty.
type objectLRU struct {
	order    list.List // of objectUse, the most recent first
	byObject map[string]*list.Element
}

type objectUse struct {
	object string
	at     time.Duration
}

// touch records that the target handles the object at this time. Requests
// without an object are ignored.
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

// reuseDistance returns the number of other objects that the target has handled
// since it handled this one, or false if the object is not tracked.
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

// countSince returns the number of objects that were last handled at or after
// the given time.
func (m *objectLRU) countSince(at time.Duration) int {
	n := 0
	for e := m.order.Front(); e != nil && e.Value.(objectUse).at >= at; e = e.Next() {
		n++
	}
	return n
}

// clear removes all objects. It is called when the target has probably lost its
// cache, for instance by a restart.
func (m *objectLRU) clear() {
	m.order.Init()
	m.byObject = nil
}
