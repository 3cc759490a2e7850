package load

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// measureLookups sends only look-ups, in a closed loop of workers or, if a
// rate is set, in an open loop with Poisson arrivals. Each look-up names a
// random client address unless one is set; the entries take turns.
func (g *generator) measureLookups(ctx context.Context) {
	workers := g.settings.Workers
	if g.settings.Rate > 0 {
		g.lookupsOpenLoop(ctx)
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	for w := range workers {
		wg.Go(func() {
			plan := newPlanner(g.settings, g.runID, uint64(w))
			for n := w; ctx.Err() == nil && time.Since(g.start) < g.settings.Duration.AsDuration(); n++ {
				g.lookupOnce(ctx, plan.next(), plan.rnd, n)
			}
		})
	}
}

func (g *generator) lookupsOpenLoop(ctx context.Context) {
	plan := newPlanner(g.settings, g.runID, 0)
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		c := plan.next()
		if c.at > g.settings.Duration.AsDuration() || !sleepUntil(ctx, g.start.Add(c.at)) {
			return
		}
		address := randomClient(plan.rnd)
		wg.Go(func() { g.lookupAt(ctx, c, address, n) })
	}
}

func (g *generator) lookupOnce(ctx context.Context, c call, rnd *rand.Rand, n int) {
	g.lookupAt(ctx, c, randomClient(rnd), n)
}

func (g *generator) lookupAt(ctx context.Context, c call, client string, n int) {
	uncached := lookupCache{client: g.client, clientAddress: client, results: g.results}
	if g.settings.Client != "" {
		uncached.clientAddress = g.settings.Client
	}
	entry := g.settings.Entries[n%len(g.settings.Entries)]
	_, _, _ = uncached.lookup(ctx, entry, c.route.Service) // results counts the errors
}

// randomClient returns a random IPv4 address.
func randomClient(rnd *rand.Rand) string {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], rnd.Uint32())
	return netip.AddrFrom4(b).String()
}
