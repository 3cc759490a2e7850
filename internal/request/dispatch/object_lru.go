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
	order    list.List // of *objectUse, the most recent first
	byObject map[string]*list.Element
	uses     uint64 // number of calls of touch
	// edge is the element at position limit-1, so that it takes constant time to find
	// out whether an object is among the limit most recent ones. It is nil if there are
	// fewer elements.
	edge  *list.Element
	limit int
}

type objectUse struct {
	object string
	at     time.Duration
	seq    uint64 // value of uses at that time
}

func useOf(e *list.Element) *objectUse { return e.Value.(*objectUse) }

// touch records that the target handles the object at this time. Requests
// without an object are ignored.
func (m *objectLRU) touch(at time.Duration, object string) {
	if object == "" {
		return
	}
	m.uses++
	if e := m.byObject[object]; e != nil {
		m.moveEdge(useOf(e).seq)
		use := useOf(e)
		use.at, use.seq = at, m.uses
		m.order.MoveToFront(e)
		m.restoreEdge()
		return
	}
	if m.byObject == nil {
		m.byObject = map[string]*list.Element{}
	}
	m.moveEdge(0)
	m.byObject[object] = m.order.PushFront(&objectUse{object, at, m.uses})
	m.restoreEdge()
	if m.order.Len() > maxTrackedObjects {
		last := m.order.Back()
		delete(m.byObject, useOf(last).object)
		m.order.Remove(last)
	}
}

// moveEdge prepares the edge for an element that moves to the front. seq is that of the
// element, 0 for a new one. If the element is not in front of the edge, the element
// before the edge becomes the edge.
func (m *objectLRU) moveEdge(seq uint64) {
	if m.edge != nil && seq <= useOf(m.edge).seq {
		m.edge = m.edge.Prev()
	}
}

// restoreEdge sets the edge if there is none although there are enough elements: the
// list has grown to limit elements, or limit is 1.
func (m *objectLRU) restoreEdge() {
	if m.edge != nil || m.limit <= 0 || m.order.Len() < m.limit {
		return
	}
	m.edge = m.order.Front()
	for range m.limit - 1 {
		m.edge = m.edge.Next()
	}
}

// setLimit sets the number of most recent objects that within and fullSince look at.
func (m *objectLRU) setLimit(limit int) {
	if m.limit != limit {
		m.limit, m.edge = limit, nil
		m.restoreEdge()
	}
}

// within reports whether the object is among the limit most recent ones, and whether it
// is known at all.
func (m *objectLRU) within(object string) (recent, known bool) {
	e := m.byObject[object]
	if e == nil {
		return false, false
	}
	return m.edge == nil || useOf(e).seq >= useOf(m.edge).seq, true
}

// fullSince reports whether at least limit objects were last handled at or after the
// given time.
func (m *objectLRU) fullSince(at time.Duration) bool { return m.edge != nil && useOf(m.edge).at >= at }

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

// clear removes all objects. It is called when the target has probably lost its
// cache, for instance by a restart.
func (m *objectLRU) clear() {
	m.order.Init()
	m.byObject, m.edge = nil, nil
}
