package follow

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/process/control"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
)

const (
	idleDuration    = 4 * time.Second
	measuredChanges = 20
)

// BenchmarkCost measures the cost of following control for several numbers of
// followers, sections and shifts per section: bytes per second and follower when
// idle, and bytes, CPU time and latency per change. CPU time includes control
// and all followers. Run one iteration:
//
//	go test -run - -bench Cost -benchtime 1x ./internal/process/entry/follow
func BenchmarkCost(b *testing.B) {
	for _, c := range []struct{ followers, sections, shifts int }{
		{10, 10, 20}, {50, 10, 20}, {150, 10, 20},
		{50, 100, 20}, {50, 400, 20},
		{50, 10, 200}, {50, 10, 2000},
	} {
		b.Run(fmt.Sprintf("followers=%d/sections=%d/shifts=%d", c.followers, c.sections, c.shifts), func(b *testing.B) {
			for b.Loop() {
				measureCost(b, c.followers, c.sections, c.shifts)
			}
		})
	}
}

// traffic counts the bytes received and sent on the followers' connections.
type traffic struct{ in, out atomic.Int64 }

type countingConn struct {
	net.Conn
	traffic *traffic
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.in.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.out.Add(int64(n))
	return n, err
}

func (t *traffic) dial(addr string) (*grpc.ClientConn, error) {
	return grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			conn, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
			return countingConn{conn, t}, err
		}))
}

// measureCost starts control and the followers and reports the metrics.
func measureCost(b *testing.B, count, sections, shifts int) {
	srv, addr := startControl(b)
	loadSections(b, srv, sections, shifts)
	t := &traffic{}
	followers := make([]*Follower, count)
	for i := range followers {
		followers[i] = newFollower(fmt.Sprintf("entry-%d", i), []string{addr}, nil)
		followers[i].cfg.Self.DataCentre = fmt.Sprintf("dc-%d", i) // the only entry there, so it follows control directly
		followers[i].cfg.Dial = t.dial
		start(b, followers[i])
	}
	waitFor(b, followers, uint64(sections+count))
	time.Sleep(time.Second)
	in, out, cpu := t.in.Load(), t.out.Load(), cpuTime()
	time.Sleep(idleDuration)
	perSecond := float64(count) * idleDuration.Seconds()
	b.ReportMetric(float64(t.in.Load()-in)/perSecond, "idle-B/s-down")
	b.ReportMetric(float64(t.out.Load()-out)/perSecond, "idle-B/s-up")
	b.ReportMetric(float64(cpuTime()-cpu)/float64(idleDuration)*100/float64(count), "idle-%core")
	in, out, cpu = t.in.Load(), t.out.Load(), cpuTime()
	began := time.Now()
	for i := range measuredChanges {
		waitFor(b, followers, applyShifts(b, addr, "team-1", uint64(i+1), shifts))
	}
	time.Sleep(2 * ackDelay)
	perChange := float64(count * measuredChanges)
	b.ReportMetric(float64(t.in.Load()-in)/perChange, "B/change-down")
	b.ReportMetric(float64(t.out.Load()-out)/perChange, "B/change-up")
	b.ReportMetric(float64(cpuTime()-cpu)/1e6/perChange, "cpu-ms/change")
	b.ReportMetric(float64(time.Since(began).Milliseconds())/measuredChanges, "ms/change")
	var mem runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&mem)
	b.ReportMetric(float64(mem.HeapAlloc)/1e6/float64(count), "heap-MB/follower")
	b.ReportMetric(0, "ns/op")
}

// loadSections loads the initial sections: that of the platform team and
// sections-1 others with the given number of shifts.
func loadSections(b *testing.B, srv *control.Server, sections, shifts int) {
	list := []control.InitialSection{{Team: "platform", YAML: []byte(platformYAML)}}
	for i := 1; i < sections; i++ {
		team := fmt.Sprintf("team-%d", i)
		list = append(list, control.InitialSection{Team: team, YAML: shiftsYAML(team, shifts, 1)})
	}
	if err := srv.LoadInitial(b.Context(), list); err != nil {
		b.Fatal(err)
	}
}

// shiftsYAML returns a section with shifts that all have the same cap.
func shiftsYAML(team string, shifts, limit int) []byte {
	var y strings.Builder
	fmt.Fprintf(&y, "team: %s\nshifts:\n", team)
	for i := range shifts {
		fmt.Fprintf(&y, "  - {name: %s-%d, cap: %d}\n", team, i, limit)
	}
	return []byte(y.String())
}

// applyShifts changes the cap of every shift in a section and returns the new
// version.
func applyShifts(b *testing.B, addr, team string, revision uint64, shifts int) uint64 {
	conn, err := dialPlain(addr)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	reply, err := fescuepb.NewOperatorClient(conn).Apply(metadata.AppendToOutgoingContext(b.Context(), "fescue-team", team), &fescuepb.ApplyRequest{
		Team: team, ExpectedRevision: revision, ChangeId: fmt.Sprint(revision), Yaml: shiftsYAML(team, shifts, int(revision+1)),
	})
	if err != nil || reply.Revision != revision+1 {
		b.Fatal(reply, err)
	}
	return reply.Version
}

// waitFor waits until every follower has the version, or a newer one, in force.
func waitFor(b *testing.B, followers []*Follower, version uint64) {
	for _, f := range followers {
		eventually(b, 30*time.Second, "version in force", func() bool { return versionInForce(f) >= version })
	}
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
