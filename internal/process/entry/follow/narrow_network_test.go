package follow

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/process/shared/feed"
	"github.com/fescuejunction/fescuejunction/internal/version/state"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"
)

const (
	wideLink   = 1000e6 / 8 // bytes per second, of a control replica
	narrowLink = 2e6 / 8    // bytes per second, of an entry in each direction
	linkDelay  = time.Millisecond
	packetSize = 1400 // bytes
)

// link is one direction of the link of a host. It passes the packets of all
// connections in the order of their arrival.
type link struct {
	rate   atomic.Int64 // bytes per second
	queue  chan packet  // has room for 22 MB
	passed atomic.Int64 // bytes
}

// packet is a part of the data of a connection.
type packet struct {
	conn    *connection
	data    []byte
	forward func() // called when the packet has passed the link
}

func newLink(ctx context.Context) *link {
	l := &link{queue: make(chan packet, 16<<10)}
	l.rate.Store(wideLink)
	go l.run(ctx)
	return l
}

func (l *link) run(ctx context.Context) {
	for {
		select {
		case p := <-l.queue:
			if !p.conn.closed.Load() {
				time.Sleep(time.Duration(len(p.data)) * time.Second / time.Duration(l.rate.Load()))
				l.passed.Add(int64(len(p.data)))
				p.forward()
			}
		case <-ctx.Done():
			return
		}
	}
}

// host is a machine with its link.
type host struct {
	up, down *link
	listener *pipeListener
}

// bytes returns the bytes that passed the link in both directions.
func (h *host) bytes() int64 { return h.up.passed.Load() + h.down.passed.Load() }

// network connects the hosts by their names.
type network struct {
	ctx context.Context

	mu    sync.Mutex
	hosts map[string]*host
	conns []*connection
}

func (n *network) addHost(name string) *host {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[name] = &host{newLink(n.ctx), newLink(n.ctx), newPipeListener()}
	return n.hosts[name]
}

func (n *network) host(name string) *host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[name]
}

// serve starts a gRPC server on a host.
func (n *network) serve(t *testing.T, h *host, register func(*grpc.Server)) {
	g := grpc.NewServer()
	register(g)
	go func() { _ = g.Serve(h.listener) }()
	t.Cleanup(g.Stop)
}

// dial returns a gRPC connection from a host to the one with the given name.
func (n *network) dial(from *host, to string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+to, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return n.connect(ctx, from, n.host(to)) }))
}

// connection joins two local connections, one at each host, through their links.
type connection struct {
	from   *host
	ends   [2]net.Conn
	closed atomic.Bool
}

func (n *network) connect(ctx context.Context, from, to *host) (net.Conn, error) {
	time.Sleep(2 * linkDelay)
	server, err := to.listener.DialContext(ctx)
	if err != nil {
		return nil, err
	}
	local, client := net.Pipe()
	c := &connection{from: from, ends: [2]net.Conn{client, server}}
	n.mu.Lock()
	n.conns = append(n.conns, c)
	n.mu.Unlock()
	go c.carry(client, from.up, to.down, server)
	go c.carry(server, to.up, from.down, client)
	return local, nil
}

// carry passes the data of one direction through two links.
func (c *connection) carry(src net.Conn, up, down *link, dst net.Conn) {
	defer c.close()
	for {
		data := make([]byte, packetSize)
		size, err := src.Read(data)
		if err != nil {
			return
		}
		data = data[:size]
		arrive := func() { _, _ = dst.Write(data) }
		up.queue <- packet{c, data, func() {
			time.AfterFunc(linkDelay, func() { down.queue <- packet{c, data, arrive} })
		}}
	}
}

// close breaks the connection at both hosts. Data on its way is lost.
func (c *connection) close() {
	if !c.closed.Swap(true) {
		_, _ = c.ends[0].Close(), c.ends[1].Close()
	}
}

// breakConnections breaks the connections that a host has opened.
func (n *network) breakConnections(from *host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		if c.from == from {
			c.close()
		}
	}
}

// controlReplica is a control replica without a replicated log.
type controlReplica struct {
	fescuepb.UnimplementedFollowServer
	fescuepb.UnimplementedMembersServer
	machine  *state.Machine
	hub      *feed.Hub
	sessions *feed.Sessions
	counter  atomic.Uint64

	mu    sync.Mutex // guards index; machine allows one Apply at a time
	index uint64
}

// replicaSource is the content that the hub of a control replica serves.
type replicaSource struct {
	*state.Machine
	counter *atomic.Uint64
}

func (s replicaSource) Counter() uint64 { return s.counter.Load() }

func newControlReplica() *controlReplica {
	r := &controlReplica{machine: state.New()}
	r.counter.Store(100)
	r.sessions = &feed.Sessions{
		Via: "control", Members: r.machine.Members, Now: time.Now, Counter: r.counter.Load, Log: logging.Discard(),
		Report: func(_ context.Context, c *fescuepb.SessionChange) error {
			return r.propose(&fescuepb.Command{Body: &fescuepb.Command_Session{Session: c}})
		},
	}
	r.hub = feed.NewHub(feed.Config{Instance: "control", Source: replicaSource{r.machine, &r.counter}, Sessions: r.sessions})
	return r
}

func (r *controlReplica) register(g *grpc.Server) {
	fescuepb.RegisterFollowServer(g, r)
	fescuepb.RegisterMembersServer(g, r)
}

// run advances the counter every 100 ms and pushes it every feed.PushInterval.
func (r *controlReplica) run(ctx context.Context) {
	go r.sessions.Run(ctx)
	for tick := 1; ctx.Err() == nil; tick++ {
		time.Sleep(100 * time.Millisecond)
		r.counter.Add(1)
		if time.Duration(tick)*100*time.Millisecond%feed.PushInterval == 0 {
			r.hub.Wake()
		}
	}
}

// propose applies a command and pushes the version that results.
func (r *controlReplica) propose(cmd *fescuepb.Command) error {
	data, err := proto.Marshal(cmd)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.index++
	var res fescuepb.CommandResult
	if err := proto.Unmarshal(r.machine.Apply(r.index, data), &res); err != nil {
		return err
	}
	r.hub.Wake()
	if problems := res.GetApply().GetProblems(); len(problems) > 0 {
		return fmt.Errorf("change rejected: %v", problems[0])
	}
	return state.ResultError(&res)
}

// setSection replaces the section of a team.
func (r *controlReplica) setSection(team string, revision uint64, yaml []byte) error {
	return r.propose(&fescuepb.Command{Body: &fescuepb.Command_Apply{Apply: &fescuepb.ApplyCommand{Request: &fescuepb.ApplyRequest{
		Team: team, ExpectedRevision: revision, ChangeId: fmt.Sprint(revision), Yaml: yaml,
	}}}})
}

func (r *controlReplica) Watch(stream grpc.BidiStreamingServer[fescuepb.WatchRequest, fescuepb.Update]) error {
	return r.hub.Watch(stream)
}

func (r *controlReplica) Join(_ context.Context, req *fescuepb.JoinRequest) (*fescuepb.JoinReply, error) {
	return &fescuepb.JoinReply{}, r.propose(&fescuepb.Command{Body: &fescuepb.Command_Join{Join: req}})
}

func (r *controlReplica) Session(_ context.Context, c *fescuepb.SessionChange) (*fescuepb.SessionReply, error) {
	return &fescuepb.SessionReply{}, r.propose(&fescuepb.Command{Body: &fescuepb.Command_Session{Session: c}})
}

// operatorYAML returns a section with routes of about 230 bytes each.
func operatorYAML(routes, weight int) []byte {
	var y bytes.Buffer
	y.WriteString("team: operator\nservices:\n")
	for _, name := range []string{"roster", "swap", "permits"} {
		fmt.Fprintf(&y, "  - {name: %s, guarded_slots: true, health_path: /health}\n", name)
	}
	y.WriteString("host_routes:\n")
	random := rand.New(rand.NewPCG(1, 2)) // the same routes each time
	for i := range routes {
		w := usualWeight
		if i == routes-1 {
			w = weight
		}
		fmt.Fprintf(&y, "  - name: route-%08x\n    host: host-%d.example\n    prefix: /%012x/%08x/\n", random.Uint32(), random.IntN(4), random.Uint64()>>16, random.Uint32())
		y.WriteString("    safe: true\n    timeout: 2s\n    priority: 1\n    max_attempts: 3\n")
		fmt.Fprintf(&y, "    services: [{service: roster, weight: %d}, {service: swap, weight: 30}]\n", w)
	}
	return y.Bytes()
}
