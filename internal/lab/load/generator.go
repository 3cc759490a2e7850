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

// generator runs one load and collects its results.
type generator struct {
	settings *Settings
	client   *http.Client
	router   router
	journal  *journal.Writer
	results  *results
	budget   *retryBudget
	start    time.Time
	runID    string
}

// Limits of the HTTP client.
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
		runID:    strconv.FormatInt(start.UnixNano(), 36),
	}
	g.router = newCache(&s, g.client, g.results)
	if s.Mode == Direct {
		g.router = &directRouter{targets: s.Targets, next: map[string]int{}}
	}
	switch {
	case s.Mode == LookupsOnly:
		g.measureLookups(ctx)
	case s.Rate > 0:
		g.openLoop(ctx)
	default:
		g.closedLoop(ctx)
	}
	summary := g.results.summary(time.Since(start))
	return summary, j.Close()
}

// openLoop starts calls at their planned times, independently of the answers.
// The end of ctx stops new calls but does not cancel the calls in flight.
func (g *generator) openLoop(ctx context.Context) {
	calls := context.WithoutCancel(ctx)
	plan := newPlanner(g.settings, g.runID, 0)
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
			g.results.recordNotSent(&c)
			continue
		}
		wg.Go(func() {
			g.runCall(calls, &c)
			<-limit
		})
	}
}

// closedLoop runs a fixed number of workers, each of which has one call in
// flight at a time.
func (g *generator) closedLoop(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for w := range g.settings.Workers {
		wg.Go(func() {
			plan := newPlanner(g.settings, g.runID+"-"+strconv.Itoa(w), uint64(w))
			for ctx.Err() == nil && time.Since(g.start) < g.settings.Duration.AsDuration() {
				c := plan.next()
				c.at = time.Since(g.start)
				g.runCall(context.WithoutCancel(ctx), &c)
			}
		})
	}
}

func sleepUntil(ctx context.Context, t time.Time) bool { return sleep(ctx, time.Until(t)) }

// sleep waits for d and reports false if ctx ended before.
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

// runCall makes one call and records its result. A duplicated call is sent a
// second time at once with the same key; only the first copy is counted.
func (g *generator) runCall(ctx context.Context, c *call) {
	began := time.Now()
	g.budget.deposit()
	if c.duplicated {
		duplicate := *c
		var wg sync.WaitGroup
		defer wg.Wait()
		key := g.idempotencyKey(ctx, c)
		wg.Go(func() { g.runAttempts(ctx, &duplicate, key, duplicateAttempts) })
		g.recordResult(c, began, g.runAttempts(ctx, c, key, 0))
		return
	}
	g.recordResult(c, began, g.runAttempts(ctx, c, g.idempotencyKey(ctx, c), 0))
}

// duplicateAttempts is the offset of the attempt numbers of a duplicate, which
// keeps them apart from those of the original call.
const duplicateAttempts = 1000

func (g *generator) recordResult(c *call, began time.Time, out outcome) {
	g.results.add(c, began.Sub(g.start), time.Since(g.start), out)
}

// idempotencyKey returns the key of an at-most-once call, with the key prefix
// of the look-up, or "" for other calls.
func (g *generator) idempotencyKey(ctx context.Context, c *call) string {
	if !c.route.AtMostOnce {
		return ""
	}
	p, _ := g.router.route(ctx, c.route.Service, nil)
	return p.keyPrefix + c.name
}

// runAttempts sends c until it is answered or the retry rules end the call.
// Attempts are numbered from first+1.
func (g *generator) runAttempts(ctx context.Context, c *call, key string, first int) outcome {
	deadline := time.Now().Add(c.route.Deadline.AsDuration())
	var avoid []string
	for n := 1; ; n++ {
		out := g.routeAndSend(ctx, c, key, first+n, avoid, time.Until(deadline))
		v := decideRetry(c.route, out)
		if v.failover {
			g.router.markFailed(c.route.Service, out.rec.Entry)
			avoid = append(avoid, out.rec.Entry)
		}
		out.rec.Last = !v.retry || n >= g.settings.MaxAttempts ||
			time.Until(deadline) <= v.pause || !(v.unbudgeted || g.budget.tryWithdraw())
		g.journal.Append(out.rec)
		if out.rec.Last || !sleep(ctx, v.pause) {
			return out
		}
		g.results.recordRetry()
	}
}

func (g *generator) routeAndSend(ctx context.Context, c *call, key string, n int, avoid []string, left time.Duration) outcome {
	p, err := g.router.route(ctx, c.route.Service, avoid)
	if err != nil {
		now := journal.Now()
		return outcome{rec: journal.Caller{
			Call: c.name, Service: c.route.Service, Route: c.route.Name, Shift: c.shift, Key: key, Attempt: n,
			Intended: g.start.Add(c.at).UnixNano(), Sent: now, Done: now,
			Kind: kindNoEntry, DidRun: "no", Detail: err.Error(),
		}}
	}
	return g.sendAttempt(ctx, c, p, key, n, left)
}
