package budget

import (
	"fmt"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// BenchmarkLease1000Entries measures how long the leader takes for one request
// with asks for ten shifts, while 1,000 entries hold leases.
func BenchmarkLease1000Entries(b *testing.B) {
	caps, entries := map[string]int{}, map[string]uint64{}
	for i := range 10 {
		caps[fmt.Sprintf("s%d", i)] = 100_000
	}
	for i := range 1000 {
		entries[fmt.Sprintf("e%d", i)] = 1
	}
	g := NewGranter()
	g.Observe(buildSnapshot(1, caps, entries))
	now := time.Unix(1000, 0)
	g.BecomeLeader(1, now)
	now = g.GrantsFrom()
	names := sortedKeys(entries)
	request := func(i int) *fescuepb.LeaseRequest {
		req := &fescuepb.LeaseRequest{Instance: names[i%1000], Incarnation: 1, Term: 1, Sequence: uint64(i + 1), VersionInForce: 1}
		for s := range caps {
			req.Asks = append(req.Asks, &fescuepb.LeaseAsk{Shift: s, Want: uint32(i % 70), Pinned: 50})
		}
		return req
	}
	for i := range 1000 {
		if _, err := g.Lease(request(i), now); err != nil {
			b.Fatal(err)
		}
	}
	i := 1000
	for b.Loop() {
		now = now.Add(500 * time.Microsecond) // 2,000 requests per second
		if _, err := g.Lease(request(i), now); err != nil {
			b.Fatal(err)
		}
		i++
	}
}
