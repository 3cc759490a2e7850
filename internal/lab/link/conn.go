package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	chunkBytes  = 32 << 10
	queueChunks = 1024 // at most 32 MiB wait in each direction
	dialTimeout = 5 * time.Second
)

// conn is one relayed connection: downstream is the side that opened it,
// upstream the side that the relay opens.
type conn struct {
	link       *Link
	downstream *net.TCPConn
	lostBytes  atomic.Bool   // bytes were discarded during a cut
	done       chan struct{} // closed when the connection ends

	mu       sync.Mutex
	upstream *net.TCPConn // nil until the relay has opened it
	closed   bool
}

// chunk is a piece of the stream in transit. An empty chunk means that the
// sender has closed its direction.
type chunk struct {
	data []byte
	at   time.Time // when the bytes reach the other side, by the delay of the link
}

// relay opens the upstream side and moves bytes until both directions end.
func (c *conn) relay() {
	defer c.link.remove(c)
	defer c.end(false)
	if !c.dial() {
		c.reset()
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.forwardBytes(forward, c.downstream, c.upstream) })
	wg.Go(func() { c.forwardBytes(backward, c.upstream, c.downstream) })
	wg.Wait()
}

// dial opens the upstream connection and reports whether it is open.
func (c *conn) dial() bool {
	switch state := c.awaitNotFrozen(); state {
	case Reset:
		return false
	case Cut:
		c.lostBytes.Store(true)
		_, _ = io.Copy(io.Discard, c.downstream) // ends when the caller closes or the cut does
		return false
	}
	far, err := net.DialTimeout("tcp", c.link.Status().To, dialTimeout)
	if err != nil {
		return false
	}
	return c.setUpstream(far.(*net.TCPConn))
}

// setUpstream stores the upstream connection. If the relayed connection was
// reset meanwhile, it closes upstream and returns false.
func (c *conn) setUpstream(far *net.TCPConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = far.Close()
		return false
	}
	c.upstream = far
	return true
}

// awaitNotFrozen waits while the link is frozen and returns the state that
// follows, or Reset if the connection ends before.
func (c *conn) awaitNotFrozen() State {
	for {
		state, changed := c.link.current()
		if state != Frozen {
			return state
		}
		select {
		case <-changed:
		case <-c.done:
			return Reset
		}
	}
}

// reset aborts the connection for both sides immediately.
func (c *conn) reset() { c.end(true) }

// end closes both sides. If abort is set, bytes that the operating system has
// not sent yet are dropped.
func (c *conn) end(abort bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	close(c.done)
	for _, side := range []*net.TCPConn{c.downstream, c.upstream} {
		if side == nil {
			continue
		}
		if abort {
			_ = side.SetLinger(0) // makes Close send a TCP reset
		}
		_ = side.Close()
	}
}

// forwardBytes moves the bytes of one direction.
func (c *conn) forwardBytes(direction int, from, to *net.TCPConn) {
	queue := make(chan chunk, queueChunks)
	go c.read(from, queue)
	for ch := range queue {
		if !c.deliver(direction, ch, to) {
			c.reset()
			return
		}
	}
}

// read queues the bytes that arrive until the sender closes.
func (c *conn) read(from *net.TCPConn, queue chan<- chunk) {
	defer close(queue)
	var last time.Time
	for {
		data := make([]byte, chunkBytes)
		n, err := from.Read(data)
		at := c.link.deliverAt(time.Now())
		if at.Before(last) {
			at = last // jitter does not reorder a stream
		}
		last = at
		if n > 0 && !c.enqueue(queue, chunk{data: data[:n], at: at}) {
			return
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				c.enqueue(queue, chunk{at: at})
			} else {
				c.reset()
			}
			return
		}
	}
}

func (c *conn) enqueue(queue chan<- chunk, ch chunk) bool {
	select {
	case queue <- ch:
		return true
	case <-c.done:
		return false
	}
}

// deliver writes one chunk to the other side when it is due and reports
// whether the connection stays open.
func (c *conn) deliver(direction int, ch chunk, to *net.TCPConn) bool {
	if !c.sleepUntil(ch.at) {
		return false
	}
	switch c.awaitNotFrozen() {
	case Reset:
		return false
	case Cut:
		c.lostBytes.Store(true)
		return true
	}
	if c.lostBytes.Load() {
		return false
	}
	if len(ch.data) == 0 {
		return to.CloseWrite() == nil
	}
	if !c.sleepUntil(c.link.reserve(direction, len(ch.data), time.Now())) {
		return false
	}
	_, err := to.Write(ch.data)
	return err == nil
}

func (c *conn) sleepUntil(t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.done:
		return false
	}
}
