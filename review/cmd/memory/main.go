// Command memory shows that an entry uses more memory than its machine has when a client of
// a lost entry brings its upload to it, although each body is within the limit and their sum
// within the entry's own bound.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/review/kit"
)

const (
	host         = "samples.example"
	service      = "samples-svc"
	work         = 710 * time.Millisecond
	largeBytes   = 40 << 20 // of the 64 MiB that maxBodyBytes allows
	largeSamples = 2        // of each client that sends them
	smallBytes   = 300
	smallPerZone = 8 // clients of each zone that send small bodies
	deadline     = 4 * time.Second
	uploadAt     = 12 * time.Second // when a client of each zone begins to send large bodies
	darkFor      = 2 * time.Second  // before that the killed fronts are without power
	length       = 20 * time.Second
	allowed      = 3 // of lost requests, by the rule
	resolveS     = 2 // how long a response of the directory is used, as its ttlS says
)

// killed are the zones whose fronts are killed at once: two machines of six.
var killed = []string{"puget-a", "puget-b"}

func main() {
	kit.Main([][2]string{
		{"puget-a", "puget"}, {"inland-a", "inland"}, {"puget-b", "puget"},
		{"inland-b", "inland"}, {"puget-c", "puget"}, {"inland-c", "inland"},
	}, 1, run)
}

func run(c *kit.Case) (bool, error) {
	if err := c.AddBackends(service, 4, 3, func(b *kit.Backend) { b.Work = func(*http.Request) time.Duration { return work } }); err != nil {
		return false, err
	}
	err := c.Start([]kit.Resource{kit.Route("r-sample", host, "/samples/", "unsafe", service, 4000), kit.Service(service), kit.Limits()})
	if err != nil {
		return false, err
	}
	begin := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), begin.Add(length))
	defer cancel()
	var wg sync.WaitGroup
	peaks := make([]int, len(c.D.Fronts))
	kill := os.Getenv("GUARD") != "0" // GUARD=0 only measures
	for i, f := range c.D.Fronts {
		wg.Go(func() { peaks[i] = f.GuardMemory(ctx, kill) })
	}
	t := &kit.Traffic{Case: c}
	kind := &kit.Kind{Name: "sample-record", Method: http.MethodPost, Host: host, Deadline: deadline}
	for _, core := range c.D.Cores { // one for each zone
		for i := range smallPerZone + 1 {
			u := &sender{c: c, t: t, kind: kind, zone: core.Zone, region: core.Region}
			if i == smallPerZone {
				wg.Go(func() { u.sendLarge(begin.Add(uploadAt)) })
			} else {
				wg.Go(func() { u.sendSmall(ctx) })
			}
		}
	}
	if c.Trouble {
		if err := loseFronts(c, begin); err != nil {
			return false, err
		}
	}
	wg.Wait()
	time.Sleep(time.Second)
	c.RecordRuns()
	return judge(c, t, peaks), nil
}

// loseFronts takes the power from fronts for a while.
func loseFronts(c *kit.Case, begin time.Time) error {
	time.Sleep(time.Until(begin.Add(uploadAt - darkFor)))
	c.Record.Printf("the fronts in %v lose power", killed)
	var lost []*kit.Machine
	for _, f := range c.D.Fronts {
		if slices.Contains(killed, f.Zone) {
			lost = append(lost, f)
			f.Kill()
		}
	}
	time.Sleep(darkFor)
	c.Record.Printf("the fronts in %v have power again", killed)
	for _, f := range lost {
		if err := f.Start(); err != nil {
			return err
		}
	}
	return nil
}

// judge counts the requests that the rule counts: passed on to a backend from a kept
// connection that then ended without an answer, at a machine without a disruption.
func judge(c *kit.Case, t *kit.Traffic, peaks []int) bool {
	for i, f := range c.D.Fronts {
		report(c, "%s: peak of %d MB, limit %d MB, ended for its memory %d times", f.Name, peaks[i], f.MemoryMB(), f.Ends())
	}
	lost, refused, answered := 0, 0, 0
	for _, a := range t.All() {
		disturbed := c.Trouble && slices.ContainsFunc(killed, func(zone string) bool { return a.Front == "front-"+zone+"-1" })
		switch {
		case a.Answer.Status == http.StatusOK && a.Answer.Err == nil:
			answered++
		case a.Answer.Status == http.StatusServiceUnavailable:
			refused++
		case a.Answer.Status == 0 && a.Kept && !disturbed && len(c.Runs.Of(a.ID)) > 0:
			lost++
			c.Record.Printf("LOST: %s was run at %s, and %s closed the connection without an answer", a.ID, c.Runs.Of(a.ID)[0].Backend, a.Front)
		}
	}
	report(c, "%d samples answered, %d refused; lost at machines without a disruption: %d", answered, refused, lost)
	return lost > allowed
}

func report(c *kit.Case, format string, args ...any) {
	c.Record.Printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// sender is a client that keeps its connection.
type sender struct {
	c            *kit.Case
	t            *kit.Traffic
	kind         *kit.Kind
	zone, region string

	addrs    []string // of the last response of the directory
	askedAt  time.Time
	failed   map[string]bool
	conn     *kit.Conn
	connAddr string
}

// sendSmall sends one sample after the other until ctx ends.
func (u *sender) sendSmall(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		if u.connect() {
			u.send(fmt.Sprintf("/samples/%s/%d", u.zone, n), make([]byte, smallBytes))
		}
		time.Sleep(rand.N(200 * time.Millisecond))
	}
}

// sendLarge sends some large samples, one after the other.
func (u *sender) sendLarge(at time.Time) {
	time.Sleep(time.Until(at))
	for n := range largeSamples {
		if u.connect() {
			u.send(fmt.Sprintf("/samples/large/%s/%d", u.zone, n), make([]byte, largeBytes))
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// connect has a connection to one of the addresses of the directory.
func (u *sender) connect() bool {
	if time.Since(u.askedAt) > resolveS*time.Second || len(u.usable()) == 0 {
		u.resolve()
	}
	if u.conn != nil && !slices.Contains(u.addrs, u.connAddr) {
		u.conn.Close()
		u.conn = nil
	}
	if u.conn != nil {
		return true
	}
	usable := u.usable()
	if len(usable) == 0 {
		return false
	}
	addr := usable[rand.N(len(usable))]
	conn, err := kit.Dial(addr)
	if err != nil {
		u.failed[addr] = true
		return false
	}
	u.conn, u.connAddr = conn, addr
	return true
}

// usable returns the addresses that have not failed the client since its last question.
func (u *sender) usable() []string {
	return slices.DeleteFunc(slices.Clone(u.addrs), func(a string) bool { return u.failed[a] })
}

// resolve asks up to three machines for addresses, that of its zone first.
func (u *sender) resolve() {
	cores := slices.Clone(u.c.D.Cores)
	slices.SortStableFunc(cores, func(a, b *kit.Machine) int { return u.distance(a) - u.distance(b) })
	for _, core := range cores[:3] {
		addrs, err := kit.Resolve(core.Addr(u.c.D.Ports.Directory), host, u.zone, u.region)
		if err == nil {
			u.addrs, u.askedAt, u.failed = addrs, time.Now(), map[string]bool{}
			return
		}
	}
}

func (u *sender) distance(m *kit.Machine) int {
	switch {
	case m.Zone == u.zone:
		return 0
	case m.Region == u.region:
		return 1
	}
	return 2
}

// send sends a sample and returns the status of its answer, 0 without one.
func (u *sender) send(target string, body []byte) int {
	front := ""
	for _, f := range u.c.D.Fronts {
		if f.Addr(u.c.D.Ports.Front) == u.connAddr {
			front = f.Name
		}
	}
	a := &kit.Attempt{Kind: u.kind, ID: kit.NewAttemptID(), Target: target, Front: front, SentAt: time.Now()}
	a.Answer, a.Kept = u.conn.Do(u.kind, target, a.ID[:2], a.ID, body)
	a.AnswerAt = time.Now()
	u.t.Note(a)
	if a.Answer.Err != nil || a.Answer.Header.Get("Connection") == "close" {
		u.conn.Close()
		u.conn = nil
	}
	if a.Answer.Status == 0 {
		u.failed[u.connAddr] = true
	}
	return a.Answer.Status
}
