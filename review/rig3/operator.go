package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// route is a route of a configuration.
type route struct {
	name, host, prefix, kind, service string
	timeoutMs                         int
}

// resource returns the route as an item of a configuration.
func (r route) resource() any {
	return map[string]any{"resourceKind": "routes", "metadata": map[string]any{"name": r.name}, "spec": map[string]any{
		"host": r.host, "pathPrefix": r.prefix, "routeKind": r.kind, "timeoutMs": r.timeoutMs, "targetLatencyMs": 300, "priority": 1,
		"service": r.service, "maxAttempts": 2, "sessionAffinity": true, "homeRegions": []string{},
	}}
}

func serviceResource(name string) any {
	return map[string]any{"resourceKind": "services", "metadata": map[string]any{"name": name}, "spec": map[string]any{
		"healthPath": "/health", "maxConnections": 330, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 2.9,
	}}
}

func limitsResource() any {
	return map[string]any{"resourceKind": "limits", "metadata": map[string]any{}, "spec": map[string]any{
		"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
	}}
}

// operator sends orders. It tries one node after the other, as the users' page says.
type operator struct {
	w       *world
	client  *http.Client
	next    int
	version int // of the newest acknowledged configuration
}

func newOperator(w *world) *operator {
	return &operator{w: w, client: &http.Client{Timeout: time.Second}}
}

// put sends a whole configuration.
func (o *operator) put(resources []any, within time.Duration) error {
	return o.change("/fescuejunction/Config.Put", map[string]any{"version": o.version + 2, "resources": resources}, within)
}

// patch sends a configuration that replaces or adds items.
func (o *operator) patch(resources []any, within time.Duration) error {
	return o.change("/fescuejunction/Config.Patch", map[string]any{
		"version": o.version + 2, "upsert": map[string]any{"resources": resources}, "remove": map[string]any{},
	}, within)
}

func (o *operator) change(path string, content map[string]any, within time.Duration) error {
	body, err := json.Marshal(content)
	if err != nil {
		return err
	}
	if err := o.order("POST", path, fmt.Sprint(o.version), body, within); err != nil {
		return err
	}
	o.version += 2
	return nil
}

// order sends an order until it is acknowledged or refused.
func (o *operator) order(method, path, base string, body []byte, within time.Duration) error {
	end, wait := time.Now().Add(within), 50*time.Millisecond
	for time.Now().Before(end) {
		status, _, err := o.once(o.w.cores[o.next%len(o.w.cores)], method, path, base, body)
		switch {
		case err == nil && status == http.StatusOK:
			return nil
		case err == nil && status >= 400 && status < 500 && status != 408 && status != 429:
			return fmt.Errorf("%s answered %d", path, status)
		}
		o.next++
		time.Sleep(wait)
		wait = min(2*wait, 400*time.Millisecond)
	}
	return fmt.Errorf("%s has no acknowledgement after %s", path, within)
}

// once sends an order to one node.
func (o *operator) once(m *machine, method, path, base string, body []byte) (int, []byte, error) {
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", m.ip, o.w.controlPort(), path), bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if base != "" {
		req.Header.Set("X-Base-Version", base)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := o.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}
