package follow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/version/blocks"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
)

// blockControl is a control replica that also has the chunks of a client-block table.
type blockControl struct {
	*controlReplica
	chunks map[string][]byte
}

func (b *blockControl) BlockChunk(_ context.Context, r *fescuepb.BlockChunkRequest) (*fescuepb.BlockChunkReply, error) {
	return &fescuepb.BlockChunkReply{Data: b.chunks[string(r.Hash)]}, nil
}

// Guards against the outage of TestLargeConfigurationOnNarrowLinks for the client-block
// table: its chunks pass the same links as the counter. 13 entries are a data centre of
// the planned size, and 10 chunks of 17,000 blocks a twentieth of the planned table.
func TestBlockTableOnNarrowLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 2))
		table := blocks.New()
		for i := range 10 {
			for range 17000 {
				addr := netip.AddrFrom4([4]byte{byte(10 + i), byte(random.IntN(256)), byte(random.IntN(256)), 0})
				if err := table.Insert(netip.PrefixFrom(addr, 24), fmt.Sprint("site-", random.IntN(130))); err != nil {
					t.Fatal(err)
				}
			}
		}
		encoded, err := blocks.Encode(table)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { time.Sleep(3 * time.Second) })
		s := &site{t: t, net: &network{ctx: t.Context(), hosts: map[string]*host{}}, control: newControlReplica(), rate: wideLink}
		b := &blockControl{s.control, map[string][]byte{}}
		bt := &fescuepb.BlockTable{Blocks: uint64(table.Len())}
		bytes := 0
		for _, c := range encoded {
			b.chunks[string(c.Hash[:])] = c.Data
			bt.ChunkHashes = append(bt.ChunkHashes, append([]byte(nil), c.Hash[:]...))
			bytes += len(c.Data)
		}
		s.net.serve(t, s.net.addHost("control"), func(g *grpc.Server) {
			fescuepb.RegisterFollowServer(g, b)
			fescuepb.RegisterMembersServer(g, s.control)
		})
		go s.control.run(t.Context())
		if err := s.control.setSection("platform", 0, []byte(platformYAML)); err != nil {
			t.Fatal(err)
		}
		s.change(fewRoutes, usualWeight)
		var tables []*atomic.Pointer[blocks.Table]
		for i := range 13 {
			e := &entry{name: fmt.Sprintf("entry-%d", i+1), metrics: tally.NewTestScope("", nil)}
			e.host = s.net.addHost(e.name)
			pointer := new(atomic.Pointer[blocks.Table])
			tables = append(tables, pointer)
			e.Follower = New(Config{
				Self:    &fescuepb.Member{Instance: e.name, GrpcAddr: e.name, Region: "south", DataCentre: "dc1", Role: fescuepb.Role_ROLE_ENTRY, Incarnation: 1},
				Sources: []string{"control"}, Store: new(snapshot.Store), Log: logging.Discard(), Metrics: e.metrics, Blocks: pointer,
				Dial: func(addr string) (*grpc.ClientConn, error) { return s.net.dial(e.host, addr) },
			})
			e.now = time.Now
			s.net.serve(t, e.host, e.Register)
			start(t, e.Follower)
			s.entries = append(s.entries, e)
		}
		s.run(30 * time.Second)
		s.narrow()
		if err := s.control.propose(&fescuepb.Command{Body: &fescuepb.Command_BlockTable{BlockTable: bt}}); err != nil {
			t.Fatal(err)
		}
		c := change{time.Now(), s.control.machine.Version()}
		s.run(30 * time.Second)
		built := 0
		for _, p := range tables {
			if x := p.Load(); x != nil && x.Len() == table.Len() {
				built++
			}
		}
		var most int64
		var unconfirmed time.Duration
		for _, e := range s.entries {
			most = max(most, e.sourceChanges()-e.sources)
			unconfirmed = max(unconfirmed, e.lapsedSince(c.at))
		}
		t.Logf("%d bytes of chunks, %d entries have the table after 30 s; an entry left or changed its source %d times and was unconfirmed for %v", bytes, built, most, unconfirmed)
		if most > 0 || unconfirmed > 0 {
			t.Errorf("an entry left or changed its source %d times and was unconfirmed for %v", most, unconfirmed)
		}
	})
}
