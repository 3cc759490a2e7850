// Command own-lookup shows that an entry answers requests of clients itself, in place of
// the backends, if their path is that of the product's own look-up.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/fescuejunction/fescuejunction/review/kit"
)

const (
	oldHost   = "exports.example"
	newHost   = "limits.example"
	service   = "limits"
	work      = 100 * time.Millisecond
	quiet     = 3 * time.Second
	apply     = 2500 * time.Millisecond // configApplyMs
	length    = 8 * time.Second         // of the requests on the new route
	perSecond = 20
)

func main() {
	kit.Main([][2]string{{"puget-a", "puget"}, {"willamette-a", "willamette"}, {"inland-a", "inland"}}, 1, run)
}

func run(c *kit.Case) (bool, error) {
	if err := c.AddBackends(service, 2, 3, func(b *kit.Backend) { b.Work = func(*http.Request) time.Duration { return work } }); err != nil {
		return false, err
	}
	first := []kit.Resource{kit.Route("r-export", oldHost, "/export/", "safe", service, 2000), kit.Service(service), kit.Limits()}
	if err := c.Start(first); err != nil {
		return false, err
	}
	number := func(format string) func() (string, string) {
		return func() (string, string) {
			n := rand.N(24)
			return fmt.Sprintf(format, n), fmt.Sprint(n)
		}
	}
	get := func(name, host, format string) *kit.Kind {
		return &kit.Kind{Name: name, Method: http.MethodGet, Host: host, Safe: true, Deadline: 2 * time.Second, Target: number(format)}
	}
	t := &kit.Traffic{Case: c}
	t.Open(get("export", oldHost, "/export/%d"), perSecond, time.Now().Add(quiet+apply+length))
	time.Sleep(quiet)
	if c.Trouble {
		// A change of the configuration adds a route for all paths of a new host.
		if err := c.Put(append(first, kit.Route("r-limits", newHost, "/", "safe", service, 2000))); err != nil {
			return false, err
		}
		time.Sleep(apply)
		end := time.Now().Add(length)
		t.Open(get("limit", newHost, "/limit/%d"), perSecond, end)
		t.Open(get("limit-lookup", newHost, "/lookup?service="+service+"&outfall=%d"), perSecond, end)
		t.Open(get("other-lookup", newHost, "/lookup?outfall=%d"), perSecond, end)
	} else {
		time.Sleep(apply)
		t.Open(get("more-export", oldHost, "/export/lookup/%d"), perSecond, time.Now().Add(length))
	}
	t.Wait()
	c.RecordRuns()
	foreign, denied := 0, 0
	for _, a := range t.All() {
		status := a.Answer.Status
		switch {
		case status >= 200 && status < 300 && a.Answer.Header.Get("X-Response-Stamp") != kit.Stamp(service, a.ID):
			foreign++
			if foreign <= 3 {
				c.Record.Printf("MIXED: %s got %d without a backend's stamp: %.200q", a.ID, status, a.Answer.Body)
			}
		case status >= 300 && status < 500 && status != 408 && status != 421 && status != 429:
			denied++
			if denied <= 3 {
				c.Record.Printf("DENIED: %s got %d: %.200q", a.ID, status, a.Answer.Body)
			}
		}
	}
	report(c, "%d requests; successes without a backend's stamp: %d; ended with a 3xx or 4xx of the system's own: %d", len(t.All()), foreign, denied)
	return foreign > 0, nil
}

func report(c *kit.Case, format string, args ...any) {
	c.Record.Printf(format, args...)
	fmt.Printf(format+"\n", args...)
}
