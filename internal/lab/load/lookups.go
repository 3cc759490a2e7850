package load

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// lookups measures look-ups alone: every worker, or a Poisson process, looks
// up a service for a random client address at one entry after the other.
func (g *generator) lookups(ctx context.Context) {
	workers := g.settings.Workers
	if g.settings.Rate > 0 {
		g.lookupsOpen(ctx)
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	for w := range workers {
		wg.Go(func() {
			plan := newPlanner(g.settings, g.run, uint64(w))
			for n := w; ctx.Err() == nil && time.Since(g.start) < g.settings.Duration.AsDuration(); n++ {
				g.lookupOnce(ctx, plan.next(), plan.rnd, n)
			}
		})
	}
}

func (g *generator) lookupsOpen(ctx context.Context) {
	plan := newPlanner(g.settings, g.run, 0)
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
	one := cache{client: g.client, clientP: client, results: g.results}
	if g.settings.Client != "" {
		one.clientP = g.settings.Client
	}
	entry := g.settings.Entries[n%len(g.settings.Entries)]
	_, _, _ = one.lookup(ctx, entry, c.route.Service) // counted by results
}

// randomClient returns a random IPv4 address.
func randomClient(rnd *rand.Rand) string {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], rnd.Uint32())
	return netip.AddrFrom4(b).String()
}
