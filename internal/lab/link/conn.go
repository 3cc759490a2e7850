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
	queueChunks = 1024 // 32 MiB at most wait in each direction
	dialTimeout = 5 * time.Second
)

// conn is one relayed connection.
type conn struct {
	link *Link
	near *net.TCPConn
	lost atomic.Bool   // bytes vanished
	done chan struct{} // closed by reset

	mu     sync.Mutex
	far    *net.TCPConn // nil until it is open
	closed bool
}

// chunk is bytes on their way. No bytes mean that the sender has closed.
type chunk struct {
	data []byte
	at   time.Time // when they reach the far side
}

// relay connects both sides and moves bytes until both directions end.
func (c *conn) relay() {
	defer c.link.remove(c)
	defer c.end(false)
	if !c.dial() {
		c.reset()
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.pump(forward, c.near, c.far) })
	wg.Go(func() { c.pump(backward, c.far, c.near) })
	wg.Wait()
}

// dial opens the far side and reports whether it did.
func (c *conn) dial() bool {
	switch state := c.pass(); state {
	case Reset:
		return false
	case Cut:
		c.lost.Store(true)
		_, _ = io.Copy(io.Discard, c.near) // ends when the caller closes or the cut does
		return false
	}
	far, err := net.DialTimeout("tcp", c.link.Status().To, dialTimeout)
	if err != nil {
		return false
	}
	return c.setFar(far.(*net.TCPConn))
}

// setFar keeps the far side, unless the connection was reset meanwhile.
func (c *conn) setFar(far *net.TCPConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = far.Close()
		return false
	}
	c.far = far
	return true
}

// pass waits while the link is frozen and returns what it does then.
func (c *conn) pass() State {
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

// reset ends the connection for both sides at once.
func (c *conn) reset() { c.end(true) }

// end closes both sides. Bytes that the system still has to send are
// dropped if abort is set.
func (c *conn) end(abort bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	close(c.done)
	for _, side := range []*net.TCPConn{c.near, c.far} {
		if side == nil {
			continue
		}
		if abort {
			_ = side.SetLinger(0) // the close becomes a reset
		}
		_ = side.Close()
	}
}

// pump moves the bytes of one direction.
func (c *conn) pump(direction int, from, to *net.TCPConn) {
	queue := make(chan chunk, queueChunks)
	go c.read(from, queue)
	for ch := range queue {
		if !c.deliver(direction, ch, to) {
			c.reset()
			return
		}
	}
}

// read queues what arrives until the sender closes.
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

// deliver passes one chunk on and reports whether the connection goes on.
func (c *conn) deliver(direction int, ch chunk, to *net.TCPConn) bool {
	if !c.sleepUntil(ch.at) {
		return false
	}
	switch c.pass() {
	case Reset:
		return false
	case Cut:
		c.lost.Store(true)
		return true
	}
	if c.lost.Load() {
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
