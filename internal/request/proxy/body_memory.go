package proxy

import (
	"io"
	"sync/atomic"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// DefaultBodyMemory is half of the 128 MB that an entry may take.
const DefaultBodyMemory = 64 << 20

// BodyMemory bounds the bytes of request bodies held by all requests of an
// entry. Bodies are read before admission, so queues and caps don't bound
// them. It is safe for concurrent use.
type BodyMemory struct {
	limit int64
	used  atomic.Int64
}

// NewBodyMemory returns a bound of limit bytes.
func NewBodyMemory(limit int64) *BodyMemory { return &BodyMemory{limit: limit} }

func (m *BodyMemory) reserve(n int64) error {
	if m.used.Add(n) <= m.limit {
		return nil
	}
	m.used.Add(-n)
	return errkind.New(errkind.QueueFull, "the bodies of waiting requests take all of %d bytes", m.limit)
}

// bodyReader takes memory for each byte that arrives: a caller that announces
// a long body and sends none takes nothing.
type bodyReader struct {
	io.Reader
	memory   *BodyMemory
	reserved int64
}

func (r *bodyReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if refusal := r.memory.reserve(int64(n)); refusal != nil {
		return 0, refusal
	}
	r.reserved += int64(n)
	return n, err
}

func (r *bodyReader) release() {
	r.memory.used.Add(-r.reserved)
	r.reserved = 0
}
