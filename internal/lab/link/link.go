package link

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// State determines what a link does with the bytes that it relays.
type State string

// The states.
const (
	Open   State = "open"
	Cut    State = "cut"    // bytes are discarded and connections stay open
	Frozen State = "frozen" // bytes are held back until the state changes
	Reset  State = "reset"  // connections are reset, including new ones
)

// Link relays connections from its listener to the upstream address.
type Link struct {
	listener net.Listener

	mu            sync.Mutex
	spec          Spec
	state         State
	changed       chan struct{} // closed when the state changes
	conns         map[*conn]struct{}
	rnd           *rand.Rand
	bandwidthFree [2]time.Time // when each direction has transmitted the bytes reserved so far
}

// Directions of a connection.
const (
	forward  = 0 // from the side that opened the connection
	backward = 1
)

// New returns a link that listens. Serve starts to relay.
func New(spec Spec, seed uint64) (*Link, error) {
	l, err := net.Listen("tcp", spec.Listen)
	if err != nil {
		return nil, err
	}
	return &Link{
		listener: l,
		spec:     spec,
		state:    Open,
		changed:  make(chan struct{}),
		conns:    map[*conn]struct{}{},
		rnd:      rand.New(rand.NewPCG(seed, 0)),
	}, nil
}

// Serve relays connections until the listener is closed.
func (l *Link) Serve() error {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return err
		}
		c := &conn{link: l, downstream: near.(*net.TCPConn), done: make(chan struct{})}
		l.add(c)
		go c.relay()
	}
}

// Close stops the link and resets its connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.SetState(Reset)
}

func (l *Link) add(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
}

func (l *Link) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// SetState changes the state. All connections are reset if the state is Reset.
// When a cut ends, connections that lost bytes are reset, because a stream with
// missing bytes must not continue.
func (l *Link) SetState(s State) {
	l.mu.Lock()
	l.state = s
	close(l.changed)
	l.changed = make(chan struct{})
	var broken []*conn
	for c := range l.conns {
		if s == Reset || s != Cut && c.lostBytes.Load() {
			broken = append(broken, c)
		}
	}
	l.mu.Unlock()
	for _, c := range broken {
		c.reset()
	}
}

// current returns the state and a channel that is closed when it changes.
func (l *Link) current() (State, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.changed
}

// deliverAt returns when bytes that arrive now reach the other side, by delay
// and jitter alone.
func (l *Link) deliverAt(now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.spec.Delay.AsDuration()
	if l.spec.Jitter > 0 {
		d += time.Duration(l.rnd.Int64N(int64(l.spec.Jitter)))
	}
	return now.Add(d)
}

// reserve reserves bandwidth for n bytes and returns when they are transmitted.
func (l *Link) reserve(direction, n int, now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.spec.BytesPerSecond <= 0 {
		return now
	}
	if l.bandwidthFree[direction].Before(now) {
		l.bandwidthFree[direction] = now
	}
	took := time.Duration(float64(n) / float64(l.spec.BytesPerSecond) * float64(time.Second))
	l.bandwidthFree[direction] = l.bandwidthFree[direction].Add(took)
	return l.bandwidthFree[direction]
}

// update changes the delay, jitter or bandwidth.
func (l *Link) update(change func(*Spec)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.spec)
}

// Status is the state of a link for the HTTP interface.
type Status struct {
	ID             string  `json:"id"`
	Listen         string  `json:"listen"`
	To             string  `json:"to"`
	State          State   `json:"state"`
	DelayMs        float64 `json:"delay_ms"`
	JitterMs       float64 `json:"jitter_ms"`
	BytesPerSecond int64   `json:"bytes_per_second"`
	Connections    int     `json:"connections"`
}

// Status returns the present state.
func (l *Link) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Status{
		ID:             l.spec.ID,
		Listen:         l.listener.Addr().String(),
		To:             l.spec.To,
		State:          l.state,
		DelayMs:        float64(l.spec.Delay) / float64(time.Millisecond),
		JitterMs:       float64(l.spec.Jitter) / float64(time.Millisecond),
		BytesPerSecond: l.spec.BytesPerSecond,
		Connections:    len(l.conns),
	}
}
