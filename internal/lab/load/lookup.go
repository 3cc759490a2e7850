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

// destination is the address to which an attempt is sent, with the prefix of
// idempotency keys that the look-up gave.
type destination struct {
	address   string
	keyPrefix string
}

// router chooses the destination of an attempt.
type router interface {
	// route returns the destination of the next attempt. The addresses in
	// avoid failed during this call; one of them is used only if there is
	// no other.
	route(ctx context.Context, service string, avoid []string) (destination, error)
	// markFailed reports that an address did not serve, so that its look-up
	// is refreshed.
	markFailed(service, address string)
}

// directRouter sends to the targets of a service in round-robin order.
type directRouter struct {
	mu      sync.Mutex
	targets map[string][]string
	next    map[string]int
}

func (d *directRouter) route(_ context.Context, service string, _ []string) (destination, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.targets[service]
	i := d.next[service]
	d.next[service] = (i + 1) % len(list)
	return destination{address: list[i]}, nil
}

func (d *directRouter) markFailed(string, string) {}

// lookupAnswer is the answer to GET /lookup.
type lookupAnswer struct {
	Entries []struct {
		Address string `json:"address"`
	} `json:"entries"`
	TTLSeconds float64 `json:"ttl_seconds"`
	KeyPrefix  string  `json:"key_prefix"`
}

const (
	lookupTimeout     = time.Second            // time limit of one look-up at one entry
	minLookupInterval = 100 * time.Millisecond // minimum time from a look-up to one caused by a failure
)

// lookupCache looks up entries and keeps the answers for their TTL.
type lookupCache struct {
	client        *http.Client
	entries       []string // addresses for look-ups, in order of preference
	clientAddress string   // client address named in look-ups
	results       *results

	mu        sync.Mutex
	byService map[string]*cacheEntry
}

// cacheEntry holds the answer for one service. Its lock is held during a
// look-up, so that one look-up serves all waiting calls.
type cacheEntry struct {
	mu      sync.Mutex
	answer  lookupAnswer
	fetched time.Time
	expires time.Time
}

func newCache(s *Settings, client *http.Client, res *results) *lookupCache {
	return &lookupCache{client: client, entries: s.Entries, clientAddress: s.Client, results: res, byService: map[string]*cacheEntry{}}
}

func (c *lookupCache) entryFor(service string) *cacheEntry {
	c.mu.Lock()
	defer c.mu.Unlock()
	k, ok := c.byService[service]
	if !ok {
		k = &cacheEntry{}
		c.byService[service] = k
	}
	return k
}

func (c *lookupCache) route(ctx context.Context, service string, avoid []string) (destination, error) {
	k := c.entryFor(service)
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Now().After(k.expires) {
		if err := c.refresh(ctx, service, k); err != nil && len(k.answer.Entries) == 0 {
			return destination{}, err
		}
	}
	out := destination{address: k.answer.Entries[0].Address, keyPrefix: k.answer.KeyPrefix}
	for _, e := range k.answer.Entries {
		if !slices.Contains(avoid, e.Address) {
			out.address = e.Address
			break
		}
	}
	return out, nil
}

// markFailed makes the next call look up again, unless the last answer is
// younger than minLookupInterval: when an entry stops, many calls fail at the
// same time, and each would cause a look-up.
func (c *lookupCache) markFailed(service, _ string) {
	k := c.entryFor(service)
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.fetched) > minLookupInterval {
		k.expires = time.Time{}
	}
}

// refresh looks up at each known entry in turn until one answers. If none
// does, it returns the last error and keeps the previous answer.
func (c *lookupCache) refresh(ctx context.Context, service string, k *cacheEntry) error {
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

func (c *lookupCache) candidates(k *cacheEntry) []string {
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

func (c *lookupCache) lookup(ctx context.Context, address, service string) (lookupAnswer, time.Duration, error) {
	var answer lookupAnswer
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	start := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, lookupURL(address, service, c.clientAddress), nil)
	if err != nil {
		return answer, 0, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		c.results.recordLookup(time.Since(start), false)
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
	c.results.recordLookup(time.Since(start), err == nil)
	return answer, ttlOf(resp.Header, answer), err
}

func lookupURL(address, service, client string) string {
	q := url.Values{"service": {service}}
	if client != "" {
		q.Set("client", client)
	}
	return "http://" + address + "/lookup?" + q.Encode()
}

// ttlOf returns how long an answer may be cached: the exact TTL from the body
// if there is one, or else max-age, which has a resolution of one second.
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
