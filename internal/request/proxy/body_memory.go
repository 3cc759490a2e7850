package proxy

import (
	"io"
	"sync/atomic"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// DefaultBodyMemory is the default limit in bytes of a BodyMemory: half of the
// 128 MB of memory that an entry may use.
const DefaultBodyMemory = 64 << 20

// DefaultAnswerMemory is the default limit in bytes for the answers that are being
// read whole. It is 32 of the largest ones, and a quarter of the 128 MB of memory that
// an entry may use.
const DefaultAnswerMemory = 32 << 20

// BodyMemory bounds the total size of the bodies that an entry holds in memory.
// Bodies of requests are read before admission, so neither the queues nor the caps
// of shifts bound them. It is safe for concurrent use.
type BodyMemory struct {
	limit int64
	used  atomic.Int64
}

// NewBodyMemory returns a BodyMemory with a limit in bytes.
func NewBodyMemory(limit int64) *BodyMemory { return &BodyMemory{limit: limit} }

// reserve reserves n bytes. The error has kind QueueFull, and then nothing is
// reserved.
func (m *BodyMemory) reserve(n int64) error {
	if m.used.Add(n) <= m.limit {
		return nil
	}
	m.used.Add(-n)
	return errkind.New(errkind.QueueFull, "bodies in memory have reached the limit of %d bytes", m.limit)
}

// bodyReader reads a body and reserves memory for the bytes as they
// arrive. If it reserved the announced length, senders that announce long bodies
// and send nothing could exhaust the memory.
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

// release returns all memory that the reader has reserved.
func (r *bodyReader) release() {
	r.memory.used.Add(-r.reserved)
	r.reserved = 0
}
