package follow

import (
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// moveWithin is the time in which an entry moves away from a source whose counter
// has stopped (docs/design.md, 5.8).
const moveWithin = 1500 * time.Millisecond

// newBubbleFollower returns a follower of two fake sources that uses neither the
// network nor the machine's clock, so that a synctest bubble controls its time.
func newBubbleFollower(t *testing.T) (f *Follower, a, b *fakeSource) {
	listeners := map[string]*pipeListener{"a": newPipeListener(), "b": newPipeListener()}
	a, b = newFakeSourceOn(t, listeners["a"], 10, 100), newFakeSourceOn(t, listeners["b"], 10, 100)
	f = newFollower("entry-1", []string{"a", "b"}, nil)
	f.now = time.Now
	f.cfg.Dial = func(addr string) (*grpc.ClientConn, error) {
		dial := func(ctx context.Context, _ string) (net.Conn, error) { return listeners[addr].DialContext(ctx) }
		return grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithContextDialer(dial))
	}
	return f, a, b
}

// Guards against a follower that stays on an old version because its source was
// cut off but still answers. It must switch to another source within 1.5 s, at
// whatever moment between two counters the source is cut off, before and after a
// version is in force. The bubble's clock stands still while the process waits for
// a processor: with the first cut, 0.1 s of the 1.5 s is left, and in real time
// a process that got no processor for longer failed.
func TestMovesFromCutOffSource(t *testing.T) {
	for phase := time.Duration(0); phase < 200*time.Millisecond; phase += 5 * time.Millisecond {
		t.Run(fmt.Sprintf("cut after %v", phase), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { moveFromCutOffSource(t, phase) })
		})
	}
}

// moveFromCutOffSource cuts the source of a follower off, phase after its first
// advance of the counter. The second advance, 100 ms later, puts a version in force.
func moveFromCutOffSource(t *testing.T, phase time.Duration) {
	t.Cleanup(func() { time.Sleep(time.Second) }) // runs last; the goroutines of watches and sources end meanwhile
	f, a, b := newBubbleFollower(t)
	start(t, f)
	eventually(t, 3*time.Second, "following", f.Confirmed)
	if !a.watchedBy("entry-1") {
		a, b = b, a
	}
	time.Sleep(phase)
	a.setCutOff(true)
	b.set(11)
	began := time.Now()
	eventually(t, moveWithin, "version of the other source", func() bool { return versionInForce(f) == 11 })
	t.Logf("the version was in force after %v", time.Since(began))
	eventually(t, time.Second, "confirmed by the other source", f.Confirmed)
	eventually(t, 2*time.Second, "only one watch", func() bool { return !a.watchedBy("entry-1") })
}

// Guards against tests of stopped sources that find the source of another test at the
// address: the system gives a free port to the next listener.
func TestStoppedSourceKeepsItsAddress(t *testing.T) {
	t.Parallel()
	src := newFakeSource(t, 10, 100)
	f := newFollower("entry-1", []string{src.addr}, nil)
	start(t, f)
	eventually(t, 3*time.Second, "ready", f.Ready)
	src.stop()
	if lis, err := net.Listen("tcp", src.addr); err == nil {
		_ = lis.Close()
		t.Fatal("another source can listen at the address of a stopped one")
	}
}
