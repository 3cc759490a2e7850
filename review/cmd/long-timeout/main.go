// Command long-timeout shows that a raised timeout of a route never comes into force beyond
// a minute: a request is broken off as only the older configuration allows.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/review/kit"
)

const (
	host       = "exports.example"
	service    = "archive-svc"
	work       = 66 * time.Second
	oldTimeout = 60 * time.Second
	newTimeout = 90 * time.Second
	deadline   = 85 * time.Second
	apply      = 2500 * time.Millisecond // configApplyMs
	requests   = 6
)

func main() {
	kit.Main([][2]string{{"puget-a", "puget"}, {"willamette-a", "willamette"}, {"inland-a", "inland"}}, 1, run)
}

func run(c *kit.Case) (bool, error) {
	if err := c.AddBackends(service, 2, 3, func(b *kit.Backend) { b.Work = func(*http.Request) time.Duration { return work } }); err != nil {
		return false, err
	}
	resources := func(timeout time.Duration) []kit.Resource {
		return []kit.Resource{kit.Route("r-export", host, "/export/", "unsafe", service, int(timeout.Milliseconds())), kit.Service(service), kit.Limits()}
	}
	if err := c.Start(resources(oldTimeout)); err != nil {
		return false, err
	}
	timeout := oldTimeout
	if c.Trouble {
		if err := c.Put(resources(newTimeout)); err != nil {
			return false, err
		}
		timeout = newTimeout
	}
	time.Sleep(apply + 500*time.Millisecond)
	kind := &kit.Kind{Name: "monitor-export", Method: http.MethodPost, Host: host, Deadline: deadline}
	t := &kit.Traffic{Case: c}
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() {
			f := c.D.Fronts[i%len(c.D.Fronts)]
			a := &kit.Attempt{Kind: kind, ID: kit.NewAttemptID(), Target: fmt.Sprintf("/export/%d", i), Front: f.Name, SentAt: time.Now()}
			a.Answer = kit.Do(f.Addr(c.D.Ports.Front), kind.Method, host, a.Target, fmt.Sprint(i), a.ID, deadline, []byte("x"))
			a.AnswerAt = time.Now()
			t.Note(a)
		})
	}
	wg.Wait()
	c.RecordRuns()
	early := 0
	for _, a := range t.All() {
		took := a.AnswerAt.Sub(a.SentAt)
		if a.Answer.Status == http.StatusGatewayTimeout && len(c.Runs.Of(a.ID)) == 1 && took < timeout-time.Second {
			early++
			c.Record.Printf("CONFIG: %s is broken off after %.1f s at the route's timeout of %v, while a backend works on it", a.ID, took.Seconds(), timeout)
		}
	}
	report(c, "%d requests that work for %v, deadline %v, timeout in force %v; broken off as only an older configuration allows: %d", requests, work, deadline, timeout, early)
	return early > 0, nil
}

func report(c *kit.Case, format string, args ...any) {
	c.Record.Printf(format, args...)
	fmt.Printf(format+"\n", args...)
}
