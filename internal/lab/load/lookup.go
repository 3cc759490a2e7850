package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// place is where an attempt goes.
type place struct {
	address   string
	keyPrefix string
}

// router chooses the place of an attempt.
type router interface {
	// route returns the place of the next attempt. The addresses in avoid
	// failed during this call; they are used only if there are no others.
	route(ctx context.Context, service string, avoid []string) (place, error)
	// failed says that an address did not serve; look-ups are refreshed.
	failed(service, address string)
}

// direct sends to the targets, round robin.
type direct struct {
	mu      sync.Mutex
	targets map[string][]string
	next    map[string]int
}

func (d *direct) route(_ context.Context, service string, _ []string) (place, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.targets[service]
	i := d.next[service]
	d.next[service] = (i + 1) % len(list)
	return place{address: list[i]}, nil
}

func (d *direct) failed(string, string) {}

// lookupAnswer is the answer to GET /lookup.
type lookupAnswer struct {
	Entries []struct {
		Address string `json:"address"`
	} `json:"entries"`
	TTLSeconds float64 `json:"ttl_seconds"`
	KeyPrefix  string  `json:"key_prefix"`
}

const (
	lookupTimeout = time.Second            // of one look-up at one entry
	freshAnswer   = 100 * time.Millisecond // no new look-up within this time of the last
)

// cache looks up entries and keeps the answers for their TTL.
type cache struct {
	client  *http.Client
	entries []string // where to look up, first to last
	clientP string   // client address named in look-ups
	results *results

	mu    sync.Mutex
	known map[string]*cached
}

// cached is the answer for one service. Its lock is held during a look-up,
// so that one look-up serves every waiting call.
type cached struct {
	mu      sync.Mutex
	answer  lookupAnswer
	fetched time.Time
	expires time.Time
}

func newCache(s *Settings, client *http.Client, res *results) *cache {
	return &cache{client: client, entries: s.Entries, clientP: s.Client, results: res, known: map[string]*cached{}}
}

func (c *cache) of(service string) *cached {
	c.mu.Lock()
	defer c.mu.Unlock()
	k, ok := c.known[service]
	if !ok {
		k = &cached{}
		c.known[service] = k
	}
	return k
}

func (c *cache) route(ctx context.Context, service string, avoid []string) (place, error) {
	k := c.of(service)
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Now().After(k.expires) {
		if err := c.refresh(ctx, service, k); err != nil && len(k.answer.Entries) == 0 {
			return place{}, err
		}
	}
	out := place{address: k.answer.Entries[0].Address, keyPrefix: k.answer.KeyPrefix}
	for _, e := range k.answer.Entries {
		if !slices.Contains(avoid, e.Address) {
			out.address = e.Address
			break
		}
	}
	return out, nil
}

// failed makes the next call look up again, unless the answer is fresh: many
// calls fail together when an entry stops.
func (c *cache) failed(service, _ string) {
	k := c.of(service)
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.fetched) > freshAnswer {
		k.expires = time.Time{}
	}
}

// refresh looks up at each known entry in turn until one answers. The last
// answer stays in use if none does.
func (c *cache) refresh(ctx context.Context, service string, k *cached) error {
	var last error
	for _, address := range c.candidates(k) {
		answer, ttl, err := c.lookup(ctx, address, service)
		if err == nil {
			k.answer = answer
			k.fetched = time.Now()
			k.expires = k.fetched.Add(ttl)
			return nil
		}
		last = err
	}
	return last
}

func (c *cache) candidates(k *cached) []string {
	var out []string
	for _, e := range k.answer.Entries {
		out = append(out, e.Address)
	}
	for _, address := range c.entries {
		if !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	return out
}

func (c *cache) lookup(ctx context.Context, address, service string) (lookupAnswer, time.Duration, error) {
	var answer lookupAnswer
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	start := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, lookupURL(address, service, c.clientP), nil)
	if err != nil {
		return answer, 0, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		c.results.lookup(time.Since(start), false)
		return answer, 0, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("look-up at %s: status %d: %s", address, resp.StatusCode, strings.TrimSpace(string(body)))
	}
	if err == nil {
		err = json.Unmarshal(body, &answer)
	}
	if err == nil && len(answer.Entries) == 0 {
		err = fmt.Errorf("look-up at %s names no entry for service %q", address, service)
	}
	c.results.lookup(time.Since(start), err == nil)
	return answer, ttlOf(resp.Header, answer), err
}

func lookupURL(address, service, client string) string {
	q := url.Values{"service": {service}}
	if client != "" {
		q.Set("client", client)
	}
	return "http://" + address + "/lookup?" + q.Encode()
}

// ttlOf returns how long an answer may be kept: the exact TTL, or max-age,
// which has whole seconds only.
func ttlOf(h http.Header, answer lookupAnswer) time.Duration {
	if answer.TTLSeconds > 0 {
		return time.Duration(answer.TTLSeconds * float64(time.Second))
	}
	for part := range strings.SplitSeq(h.Get("Cache-Control"), ",") {
		if age, ok := strings.CutPrefix(strings.TrimSpace(part), "max-age="); ok {
			seconds, _ := strconv.Atoi(age)
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
