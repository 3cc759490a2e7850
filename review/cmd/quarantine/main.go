// Command quarantine shows that requests which many clients send alike are refused for
// minutes after all backends of their service have crashed once and are back.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/fescuejunction/fescuejunction/review/kit"
)

const (
	host    = "rota.example"
	quiet   = 5 * time.Second // before the crash
	downFor = 4500 * time.Millisecond
	after   = 60 * time.Second // from the return of the backends to the end
	slots   = 7
	perZone = 2
	starved = 0.25 // of the share of all requests that are served
)

// perSecond are the requests per second of each kind, about a quarter of those that the
// users' page names.
var perSecond = []float64{75, 40, 25}

func main() {
	kit.Main([][2]string{
		{"ern-fortbeach", "ernakulam"}, {"mal-southbch", "malabar"}, {"ven-kovalam", "venad"},
		{"ern-cherai", "ernakulam"}, {"mal-kappad", "malabar"}, {"ven-shangu", "venad"},
	}, 1, run)
}

func run(c *kit.Case) (bool, error) {
	works := map[string]time.Duration{"roster-board": 310 * time.Millisecond, "swap-counter": 410 * time.Millisecond, "custody-book": 210 * time.Millisecond}
	for service, work := range works {
		err := c.AddBackends(service, perZone, slots, func(b *kit.Backend) { b.Work = func(*http.Request) time.Duration { return work } })
		if err != nil {
			return false, err
		}
	}
	err := c.Start([]kit.Resource{
		kit.Route("r-roster", host, "/roster/", "safe", "roster-board", 2000), kit.Route("r-swap", host, "/swap/", "unsafe", "swap-counter", 2500),
		kit.Route("r-custody", host, "/custody/", "unsafe", "custody-book", 1200),
		kit.Service("roster-board"), kit.Service("swap-counter"), kit.Service("custody-book"), kit.Limits(),
	})
	if err != nil {
		return false, err
	}
	kinds := []*kit.Kind{
		// Everyone reads the same rota.
		{Name: "chair-roster", Method: http.MethodGet, Host: host, Safe: true, Deadline: 2 * time.Second, Target: func() (string, string) { return "/roster/today", "today" }},
		{Name: "shift-swap", Method: http.MethodPost, Host: host, Deadline: 2500 * time.Millisecond, Target: func() (string, string) { return numbered("/swap/") }},
		{Name: "custody-pass", Method: http.MethodPost, Host: host, Deadline: 1200 * time.Millisecond, Target: func() (string, string) { return numbered("/custody/") }},
	}
	begin := time.Now()
	t := &kit.Traffic{Case: c}
	for i, k := range kinds {
		t.Open(k, perSecond[i], begin.Add(quiet+downFor+after))
	}
	time.Sleep(quiet)
	if c.Trouble {
		c.Record.Printf("all backends of roster-board crash")
		for _, b := range c.Backends {
			if b.Service == "roster-board" {
				b.Crash()
			}
		}
	}
	time.Sleep(downFor)
	if c.Trouble {
		for _, b := range c.Backends {
			if b.Service != "roster-board" {
				continue
			}
			if err := b.Start(); err != nil {
				return false, err
			}
			c.D.Cloud.Set(b.Entry())
		}
		c.Record.Printf("all backends of roster-board run again")
	}
	back := time.Now()
	t.Wait()
	c.RecordRuns()
	sent, served := map[string]int{}, map[string]int{}
	late, lateServed, lateRuns := 0, 0, 0
	for _, a := range t.All() {
		if !a.Retry {
			sent[a.Kind.Name]++
			sent["all"]++
		}
		ok := a.Answer.Status == http.StatusOK && a.Answer.Err == nil
		if ok {
			served[a.Kind.Name]++
			served["all"]++
		}
		if a.Kind.Name == "chair-roster" && !a.Retry && a.SentAt.After(back.Add(15*time.Second)) {
			late++
			if ok {
				lateServed++
			}
		}
	}
	for _, r := range c.Runs.All() {
		if r.Service == "roster-board" && r.At.After(back.Add(15*time.Second)) {
			lateRuns++
		}
	}
	share := func(name string) float64 { return float64(served[name]) / float64(max(sent[name], 1)) }
	for _, k := range kinds {
		report(c, "%s: %d requests, %.3f served", k.Name, sent[k.Name], share(k.Name))
	}
	report(c, "all: %d requests, %.3f served", sent["all"], share("all"))
	report(c, "chair-roster, later than 15 s after the backends are back: %d requests, %d served at the first attempt, %d runs at the backends", late, lateServed, lateRuns)
	return share("chair-roster") < starved*share("all"), nil
}

func report(c *kit.Case, format string, args ...any) {
	c.Record.Printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// numbered returns a path that no other request has, and one of some objects.
func numbered(prefix string) (target, key string) {
	return fmt.Sprintf("%s%d", prefix, rand.N(1_000_000_000)), fmt.Sprint(rand.N(24))
}
