package load

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/lab/journal"
)

// generator runs one load.
type generator struct {
	settings *Settings
	client   *http.Client
	router   router
	journal  *journal.Writer
	results  *results
	budget   *budget
	start    time.Time
	run      string
}

// Transport limits of the caller.
const (
	dialTimeout  = 2 * time.Second
	idlePerHost  = 4096
	idleLifetime = 60 * time.Second
)

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleLifetime,
		DisableCompression:  true,
	}}
}

// Run generates the load and returns its summary.
func Run(ctx context.Context, s Settings) (Summary, error) {
	j, err := journal.Open(s.Journal)
	if err != nil {
		return Summary{}, err
	}
	start := time.Now()
	g := &generator{
		settings: &s,
		client:   newClient(),
		journal:  j,
		results:  newResults(&s),
		budget:   newBudget(),
		start:    start,
		run:      strconv.FormatInt(start.UnixNano(), 36),
	}
	g.router = newCache(&s, g.client, g.results)
	if s.Mode == Direct {
		g.router = &direct{targets: s.Targets, next: map[string]int{}}
	}
	switch {
	case s.Mode == LookupsOnly:
		g.lookups(ctx)
	case s.Rate > 0:
		g.openLoop(ctx)
	default:
		g.closedLoop(ctx)
	}
	summary := g.results.summary(time.Since(start))
	return summary, j.Close()
}

// openLoop starts calls at their planned times, whatever the answers do. The
// end of ctx ends the loop but not the calls in flight.
func (g *generator) openLoop(ctx context.Context) {
	calls := context.WithoutCancel(ctx)
	plan := newPlanner(g.settings, g.run, 0)
	limit := make(chan struct{}, g.settings.MaxInFlight)
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		c := plan.next()
		if c.at > g.settings.Duration.AsDuration() || !sleepUntil(ctx, g.start.Add(c.at)) {
			return
		}
		select {
		case limit <- struct{}{}:
		default:
			g.results.notSent(&c)
			continue
		}
		wg.Go(func() {
			g.call(calls, &c)
			<-limit
		})
	}
}

// closedLoop keeps a fixed number of callers busy.
func (g *generator) closedLoop(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for w := range g.settings.Workers {
		wg.Go(func() {
			plan := newPlanner(g.settings, g.run+"-"+strconv.Itoa(w), uint64(w))
			for ctx.Err() == nil && time.Since(g.start) < g.settings.Duration.AsDuration() {
				c := plan.next()
				c.at = time.Since(g.start)
				g.call(context.WithoutCancel(ctx), &c)
			}
		})
	}
}

func sleepUntil(ctx context.Context, t time.Time) bool { return sleep(ctx, time.Until(t)) }

// sleep waits for d and reports whether ctx is still live.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// call makes one call and records its result.
func (g *generator) call(ctx context.Context, c *call) {
	began := time.Now()
	g.budget.call()
	if c.twice {
		twin := *c
		var wg sync.WaitGroup
		defer wg.Wait()
		key := g.key(ctx, c)
		wg.Go(func() { g.attempts(ctx, &twin, key, duplicateAttempts) })
		g.finish(c, began, g.attempts(ctx, c, key, 0))
		return
	}
	g.finish(c, began, g.attempts(ctx, c, g.key(ctx, c), 0))
}

// duplicateAttempts is the number before the first attempt of a duplicate.
const duplicateAttempts = 1000

func (g *generator) finish(c *call, began time.Time, out outcome) {
	g.results.add(c, began.Sub(g.start), time.Since(g.start), out)
}

// key returns the idempotency key of an at-most-once call.
func (g *generator) key(ctx context.Context, c *call) string {
	if !c.route.Once {
		return ""
	}
	p, _ := g.router.route(ctx, c.route.Service, nil)
	return p.keyPrefix + c.name
}

// attempts sends c until it is answered or the rules of a polite client end
// the call. Attempts are numbered from first+1.
func (g *generator) attempts(ctx context.Context, c *call, key string, first int) outcome {
	deadline := time.Now().Add(c.route.Deadline.AsDuration())
	var avoid []string
	for n := 1; ; n++ {
		out := g.tryOnce(ctx, c, key, first+n, avoid, time.Until(deadline))
		v := judgeRetry(c.route, out)
		if v.failover {
			g.router.failed(c.route.Service, out.rec.Entry)
			avoid = append(avoid, out.rec.Entry)
		}
		out.rec.Last = !v.again || n >= g.settings.Tries ||
			time.Until(deadline) <= v.pause || !(v.free || g.budget.take())
		g.journal.Append(out.rec)
		if out.rec.Last || !sleep(ctx, v.pause) {
			return out
		}
		g.results.retry()
	}
}

func (g *generator) tryOnce(ctx context.Context, c *call, key string, n int, avoid []string, left time.Duration) outcome {
	p, err := g.router.route(ctx, c.route.Service, avoid)
	if err != nil {
		now := journal.Now()
		return outcome{rec: journal.Caller{
			Call: c.name, Service: c.route.Service, Route: c.route.Name, Shift: c.shift, Key: key, Attempt: n,
			Intended: g.start.Add(c.at).UnixNano(), Sent: now, Done: now,
			Kind: kindNoEntry, DidRun: "no", Detail: err.Error(),
		}}
	}
	return g.attempt(ctx, c, p, key, n, left)
}
