package dispatch

import "time"

// queue is a binary heap of queued requests, ordered by deadline and then by
// arrival. Each request stores its index in the heap, so that a cancelled
// request is removed in logarithmic time.
type queue struct{ items []*Request }

func (q *queue) len() int { return len(q.items) }

func (q *queue) head() *Request {
	if len(q.items) == 0 {
		return nil
	}
	return q.items[0]
}

func before(a, b *Request) bool {
	if a.deadline != b.deadline {
		return a.deadline < b.deadline
	}
	return a.seq < b.seq
}

func (q *queue) push(r *Request) {
	r.pos = len(q.items)
	q.items = append(q.items, r)
	q.up(r.pos)
}

func (q *queue) remove(r *Request) {
	i, last := r.pos, len(q.items)-1
	q.swap(i, last)
	q.items[last] = nil
	q.items = q.items[:last]
	if i < last {
		q.down(i)
		q.up(i)
	}
	r.pos = -1
}

// ahead returns the number of requests whose deadline is not after the given
// one.
func (q *queue) ahead(deadline time.Duration) int {
	n := 0
	for _, r := range q.items {
		if r.deadline <= deadline {
			n++
		}
	}
	return n
}

// oldest returns the request that has waited longest, or nil if the queue is
// empty.
func (q *queue) oldest() *Request {
	var oldest *Request
	for _, r := range q.items {
		if oldest == nil || r.seq < oldest.seq {
			oldest = r
		}
	}
	return oldest
}

func (q *queue) swap(i, j int) {
	q.items[i], q.items[j] = q.items[j], q.items[i]
	q.items[i].pos, q.items[j].pos = i, j
}

func (q *queue) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !before(q.items[i], q.items[parent]) {
			return
		}
		q.swap(i, parent)
		i = parent
	}
}

func (q *queue) down(i int) {
	for {
		least := 2*i + 1
		if least >= len(q.items) {
			return
		}
		if right := least + 1; right < len(q.items) && before(q.items[right], q.items[least]) {
			least = right
		}
		if !before(q.items[least], q.items[i]) {
			return
		}
		q.swap(i, least)
		i = least
	}
}
