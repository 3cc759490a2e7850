package kit

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Operator sends orders to the machines that serve control. It moves on to the next one
// after a failure, a 5xx, a 408 or 429, or a second without a response.
type Operator struct {
	Record *Record
	Addrs  []string
	next   int
}

// once sends a request to one machine on a connection of its own.
func once(ctx context.Context, method, url, base string, body []byte) (status int, answer []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if base != "" {
		req.Header.Set("X-Base-Version", base)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// At sends an order to one machine and returns its status, 0 without an answer.
func (o *Operator) At(addr, method, path, base string, body []byte) int {
	o.Record.Printf("operator sends %s %s base %q (%d bytes) to %s", method, path, base, len(body), addr)
	status, _, err := once(context.Background(), method, "http://"+addr+path, base, body)
	o.Record.Printf("operator gets %d %v for %s %s from %s", status, err, method, path, addr)
	return status
}

// Order sends an order until it gets a final answer or ctx ends. It begins with the
// machine after the one that answered last.
func (o *Operator) Order(ctx context.Context, method, path, base string, body []byte) (int, []byte, error) {
	backoff := 50 * time.Millisecond
	for ctx.Err() == nil {
		addr := o.Addrs[o.next%len(o.Addrs)]
		o.Record.Printf("operator sends %s %s base %q (%d bytes) to %s", method, path, base, len(body), addr)
		status, answer, err := once(ctx, method, "http://"+addr+path, base, body)
		o.Record.Printf("operator gets %d %v for %s %s from %s", status, err, method, path, addr)
		if err == nil && status < 500 && status != 408 && status != 429 {
			return status, answer, nil
		}
		o.next++
		time.Sleep(backoff)
		backoff = min(2*backoff, time.Second)
	}
	return 0, nil, ctx.Err()
}

// Put puts a configuration.
func (o *Operator) Put(ctx context.Context, base uint64, c Config) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	status, answer, err := o.Order(ctx, http.MethodPost, "/fescuejunction/Config.Put", fmt.Sprint(base), body)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("configuration %d got %d %s", c.Version, status, answer)
	}
	return err
}

// Config is a complete configuration.
type Config struct {
	Version   uint64     `json:"version"`
	Resources []Resource `json:"resources"`
}

// Resource is an item of a configuration.
type Resource struct {
	Kind     string            `json:"resourceKind"`
	Metadata map[string]string `json:"metadata"`
	Spec     map[string]any    `json:"spec"`
}

// Route returns a route to one service.
func Route(name, host, prefix, kind, service string, timeoutMs int) Resource {
	return Resource{"routes", map[string]string{"name": name}, map[string]any{
		"host": host, "pathPrefix": prefix, "routeKind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": timeoutMs / 4, "priority": 1,
		"service": service, "maxAttempts": 2, "sessionAffinity": true, "homeRegions": []string{},
	}}
}

// Service returns a service.
func Service(name string) Resource {
	return Resource{"services", map[string]string{"name": name}, map[string]any{
		"healthPath": "/health", "maxConnections": 330, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 2.9,
	}}
}

// Limits returns the limits of the users' pages.
func Limits() Resource {
	return Resource{"limits", map[string]string{}, map[string]any{
		"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
	}}
}

// Resolve asks a directory for the addresses of fronts.
func Resolve(addr, host, zone, region string) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	status, body, err := once(ctx, http.MethodGet, "http://"+addr+"/fescuejunction/resolve?name="+host+"&region="+region+"&zone="+zone, "", nil)
	if err != nil {
		return nil, err
	}
	var out struct {
		Addresses []string `json:"addresses"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &out) != nil || len(out.Addresses) == 0 {
		return nil, errors.New("the directory gave no addresses: " + strings.TrimSpace(string(body)))
	}
	return out.Addresses, nil
}

// Ready reports whether a front answers its readiness check with 200.
func Ready(addr string) bool {
	status, _, err := once(context.Background(), http.MethodGet, "http://"+addr+"/healthz", "", nil)
	return err == nil && status == http.StatusOK
}
