package group

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	slotlink "github.com/fescuejunction/fescuejunction/internal/connection/slots"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// narrowLink is the link of an entry: all its connections share a bandwidth in each
// direction, first come, first served.
type narrowLink struct {
	bytesPerSecond float64

	mu     sync.Mutex
	freeAt [2]time.Time // by direction
}

// The directions of a narrowLink.
const (
	inbound = iota
	outbound
)

// pass waits until n bytes have passed the link.
func (l *narrowLink) pass(direction, n int) {
	l.mu.Lock()
	start := time.Now()
	if l.freeAt[direction].After(start) {
		start = l.freeAt[direction]
	}
	end := start.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	l.freeAt[direction] = end
	l.mu.Unlock()
	time.Sleep(time.Until(end))
}

type narrowListener struct {
	net.Listener
	link *narrowLink
}

func (l narrowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return narrowConn{c, l.link}, err
}

type narrowConn struct {
	net.Conn
	link *narrowLink
}

func (c narrowConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.link.pass(inbound, n)
	return n, err
}

func (c narrowConn) Write(b []byte) (int, error) {
	c.link.pass(outbound, len(b))
	return c.Conn.Write(b)
}

// Guards against requests that are late because one entry dispatches all targets of a
// service in a region: the questions of the other entries queue on its link.
func TestReplyTimeOnNarrowLinks(t *testing.T) {
	const (
		entries        = 12
		targets        = 30
		asksPerSecond  = 500
		bytesPerSecond = 25_000 // what the callers of an entry leave of its link
		duration       = 1500 * time.Millisecond
		late           = 100 * time.Millisecond
	)
	var members []*fescuepb.Member
	for i := range entries {
		name := fmt.Sprintf("e%d", i)
		members = append(members, &fescuepb.Member{
			Instance: name, DataCentre: "a", Region: "north", Role: fescuepb.Role_ROLE_ENTRY, GrpcAddr: name + ":1", Session: 1,
		})
	}
	var listed []*fescuepb.Target
	for i := range targets {
		listed = append(listed, &fescuepb.Target{Id: fmt.Sprintf("t%d", i), Service: "rota", Address: fmt.Sprintf("10.0.0.%d:1", i), DataCentre: "a", Slots: 9})
	}
	snap := snapshotOf(t, 1, guardedYAML, members, listed...)
	addrs := map[string]string{}
	for _, m := range members {
		g := &Guarded{Instance: m.Instance, DataCentre: "a", Client: &slotlink.Client{Log: logging.Discard()}, Now: time.Now, Log: logging.Discard()}
		g.SetSnapshot(snap)
		addrs[m.GrpcAddr] = serveSlots(t, g, &narrowLink{bytesPerSecond: bytesPerSecond})
	}
	client := &slotlink.Client{Log: logging.Discard(), Dial: func(addr string) (*grpc.ClientConn, error) {
		return grpc.NewClient(addrs[addr], grpc.WithTransportCredentials(insecure.NewCredentials()))
	}}
	t.Cleanup(client.Close)
	asking := &Guarded{Instance: "asking", DataCentre: "a", Client: client, Now: time.Now, Log: logging.Discard()}
	asking.SetSnapshot(snap)

	var mu sync.Mutex
	var replies []time.Duration
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Second / asksPerSecond)
	defer tick.Stop()
	for i := range int(duration.Seconds() * asksPerSecond) {
		<-tick.C
		wg.Go(func() {
			object, now := strconv.Itoa(i%230), time.Now()
			ticket, err := asking.Slots("rota", object).Acquire(t.Context(), dispatch.Work{
				Route: "r", Object: object, Safe: true, Objective: now.Add(time.Second), Deadline: now.Add(2 * time.Second),
			})
			took := time.Since(now)
			if err == nil {
				took -= ticket.QueuedFor
				time.AfterFunc(200*time.Millisecond, func() { ticket.Done(dispatch.Outcome{Result: dispatch.OK}) })
			}
			mu.Lock()
			replies = append(replies, took)
			mu.Unlock()
		})
	}
	wg.Wait()
	slices.Sort(replies)
	t.Logf("replies: p50 %v, p90 %v", replies[len(replies)/2], replies[len(replies)*9/10])
	if p90 := replies[len(replies)*9/10]; p90 > late {
		t.Errorf("a tenth of the replies took %v or more, want at most %v", p90.Round(time.Millisecond), late)
	}
}

// serveSlots serves the slots of g behind a link, unless it is nil, and returns the address.
func serveSlots(t *testing.T, g *Guarded, link *narrowLink) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	fescuepb.RegisterSlotsServer(server, &slotlink.Server{Now: time.Now, Slots: g.LocalSlots})
	served := lis
	if link != nil {
		served = narrowListener{lis, link}
	}
	go func() { _ = server.Serve(served) }()
	t.Cleanup(server.Stop)
	return lis.Addr().String()
}
