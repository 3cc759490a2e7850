package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	coldStart = 3 * time.Second
	coldPerS  = 15.0
	coldBound = coldPerS*1.5 + 5 // coldOvershoot and coldSlack of the site
	listLag   = 800 * time.Millisecond
)

// coldState is when a backend becomes cold, and what it counts meanwhile.
type coldState struct {
	mu       sync.Mutex
	starts   []time.Time
	arrivals []arrival
	crashed  bool
}

// arrival is a request that has arrived at a cold backend.
type arrival struct {
	id string
	at time.Time
}

// start makes the backend cold from a time on.
func (c *coldState) start(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts = append(c.starts, at)
}

// left returns for how much longer the backend is cold, as of a time.
func (c *coldState) left(at time.Time) (left time.Duration) {
	for _, s := range c.starts {
		if !at.Before(s) {
			left = max(0, s.Add(coldStart).Sub(at))
		}
	}
	return left
}

// coldMs returns the remaining time for which a backend is cold, as of a time.
func (b *backend) coldMs(at time.Time) int64 {
	if b.cold == nil {
		return 0
	}
	b.cold.mu.Lock()
	defer b.cold.mu.Unlock()
	return b.cold.left(at).Milliseconds()
}

// arrives records a request at a backend. It reports whether the backend crashes of it: a
// cold one does at three times the rate that it tolerates.
func (c *coldState) arrives(id string, now time.Time) (crash bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left(now) == 0 {
		return false
	}
	c.arrivals = append(c.arrivals, arrival{id, now})
	n := 0
	for _, a := range c.arrivals {
		if now.Sub(a.at) < time.Second {
			n++
		}
	}
	crash = n > 3*coldPerS && !c.crashed
	c.crashed = c.crashed || crash
	return crash
}

// most returns the most requests that were sent and arrived within one second.
func (c *coldState) most(sentAt map[string]time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	most := 0
	for _, first := range c.arrivals {
		for _, from := range []time.Time{first.at, sentAt[first.id]} {
			n := 0
			for _, a := range c.arrivals {
				if sent, ok := sentAt[a.id]; ok && !sent.Before(from) && a.at.Before(from.Add(time.Second)) {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

// crash ends a backend with what it runs.
func (b *backend) crash(req *http.Request) {
	b.s.rec.logf("cold backend %s crashes at request %s, with %d running", b.id, req.Header.Get("X-Attempt-Id"), b.running)
	b.close()
}

// sentTimes holds when requests were sent, by identifier.
type sentTimes struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (t *sentTimes) note(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.at[id] = time.Now()
}

// press lets clients send unsafe requests to a front, one after the other each, until end.
func (s *system) press(front *machine, clients int, end time.Time, all *sync.WaitGroup) *sentTimes {
	sent := &sentTimes{at: map[string]time.Time{}}
	for range clients {
		all.Go(func() {
			cl := &client{s: s, m: front, onSend: sent.note}
			defer cl.close()
			for time.Now().Before(end) {
				if r := cl.do("POST", "shop.example", "/orders/1", "chair=7", 8*time.Second); r.err != nil {
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(thinkTime)
			}
		})
	}
	return sent
}

// overwhelmed reports whether one of the cold backends got more than the rule allows.
func (s *system) overwhelmed(cold []*backend, sent *sentTimes) (broken bool) {
	sent.mu.Lock()
	defer sent.mu.Unlock()
	for _, b := range cold {
		n := b.cold.most(sent.at)
		s.rec.logf("cold backend %s: at most %d requests were sent and arrived in one second, %.1f are allowed; crashed: %v", b.id, n, coldBound, b.cold.crashed)
		broken = broken || float64(n) > coldBound
	}
	return broken
}

const thinkTime = 500 * time.Millisecond // of a client between two requests
