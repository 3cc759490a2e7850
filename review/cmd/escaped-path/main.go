// Command escaped-path shows that a request of an unsafe route runs twice when the
// backend's answer is lost, if an escaped slash in its path decodes to the prefix of a
// safe route.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/fescuejunction/fescuejunction/review/kit"
)

const (
	host       = "custody.example"
	service    = "custody-book"
	work       = 60 * time.Millisecond
	quiet      = 3 * time.Second // before and after the disruption
	lostFor    = 4 * time.Second
	lostShare  = 0.4 // of the answers
	perSecond  = 60  // handovers with an escaped slash in their path
	plainPerS  = 20  // others
	readsPerS  = 30
	deadline   = 2500 * time.Millisecond
	slots      = 5
	perZone    = 4
	safePrefix = "/chairs/"
	chairs     = 40
)

func main() {
	zones := [][2]string{{"ern-fortbeach", "ernakulam"}, {"ern-cherai", "ernakulam"}, {"mal-kappad", "malabar"}}
	kit.Main(zones, 1, run)
}

func run(c *kit.Case) (bool, error) {
	var losing atomic.Bool
	losers := 0
	err := c.AddBackends(service, perZone, slots, func(b *kit.Backend) {
		b.Work = func(*http.Request) time.Duration { return work }
		losers++
		if losers%2 == 1 {
			return // half of the backends lose answers
		}
		b.Respond = func(b *kit.Backend, r *http.Request, _ []byte, _ io.Writer, conn net.Conn) bool {
			if !losing.Load() || rand.Float64() >= lostShare {
				return false
			}
			c.Record.Printf("the answer of %s to %s is lost", b.ID, r.Header.Get("X-Attempt-Id"))
			_ = conn.(*net.TCPConn).SetLinger(0) // resets the connection
			conn.Close()
			return true
		}
	})
	if err != nil {
		return false, err
	}
	err = c.Start([]kit.Resource{
		kit.Route("r-read", host, safePrefix, "safe", service, 2500), kit.Route("r-record", host, "/", "unsafe", service, 2500),
		kit.Service(service), kit.Limits(),
	})
	if err != nil {
		return false, err
	}
	// The record of a chair is named by its key, such as "chairs/17". In a path, the slash
	// of a key is escaped. Only the prefix "/" begins such a path, so its route is r-record.
	handover := &kit.Kind{Name: "handover", Method: http.MethodPost, Host: host, Deadline: deadline, Target: func() (string, string) {
		chair := fmt.Sprint(rand.N(chairs))
		return "/chairs%2F" + chair + "/handover", chair
	}}
	read := &kit.Kind{Name: "read", Method: http.MethodGet, Host: host, Safe: true, Deadline: deadline, Target: func() (string, string) {
		chair := fmt.Sprint(rand.N(chairs))
		return safePrefix + chair, chair
	}}
	// The control group is on the same route, without an escaped slash.
	plain := &kit.Kind{Name: "plain-handover", Method: http.MethodPost, Host: host, Deadline: deadline, Target: func() (string, string) {
		chair := fmt.Sprint(rand.N(chairs))
		return "/handover/" + chair, chair
	}}
	begin := time.Now()
	end := begin.Add(quiet + lostFor + quiet)
	t := &kit.Traffic{Case: c}
	t.Open(handover, perSecond, end)
	t.Open(plain, plainPerS, end)
	t.Open(read, readsPerS, end)
	time.Sleep(quiet)
	losing.Store(c.Trouble)
	c.Record.Printf("answers are lost: %v", c.Trouble)
	time.Sleep(lostFor)
	losing.Store(false)
	c.Record.Printf("answers are lost: false")
	t.Wait()
	time.Sleep(time.Second) // for runs that end late
	c.RecordRuns()
	twice, lostOnce := 0, map[string]int{}
	for _, a := range t.All() {
		if runs := c.Runs.Of(a.ID); !a.Kind.Safe && len(runs) > 1 {
			twice++
			c.Record.Printf("TWICE: %s %s %s ran %d times, at %s and %s; the client got %d", a.ID, a.Kind.Method, a.Target, len(runs), runs[0].Backend, runs[1].Backend, a.Answer.Status)
		}
	}
	for _, a := range t.All() {
		if len(c.Runs.Of(a.ID)) == 1 && a.Answer.Status == http.StatusBadGateway {
			lostOnce[a.Kind.Name]++
		}
	}
	text := fmt.Sprintf("requests of the unsafe route that ran more than once: %d; ran once and got 502: %v", twice, lostOnce)
	c.Record.Printf("%s", text)
	fmt.Println(text)
	return twice > 0, nil
}
