// Package platform reads the platform's list of instances over HTTP. The list
// is eventually consistent: it may still name instances that have left and lack
// new ones.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"

	"github.com/fescuejunction/fescuejunction/internal/base/jsonstream"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/version/membership"
	"golang.org/x/net/http/httpguts"
)

// maxListBytes bounds the size of the list, which is kept in memory twice while it is
// read; the 10,000 instances of the design scale take about 2 MB.
const maxListBytes = 10 << 20

// MaxHeadBytes bounds the head of an answer of the platform, in bytes. The 10 MB that
// net/http allows would take 170 MB of memory as many short fields; 64 KiB take 1 MB.
const MaxHeadBytes = 64 << 10

// NewHTTPClient returns a client that reads heads of at most MaxHeadBytes.
func NewHTTPClient() *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxResponseHeaderBytes = MaxHeadBytes
	return &http.Client{Transport: t}
}

// CheckHead returns an error unless a response of the platform begins a list: of kind
// NotFound for a status other than 200, and BadRequest if its header is malformed.
func CheckHead(resp *http.Response) error {
	if resp.StatusCode != http.StatusOK {
		return errkind.New(errkind.NotFound, "read the platform's list: status %s", resp.Status)
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) { // net/http accepts blanks, also before the colon of Content-Length
			return errkind.New(errkind.BadRequest, "read the platform's list: %q is not the name of a field", name)
		}
	}
	return nil
}

// keyInstances is the key of the instances in the JSON body of the platform's response.
const keyInstances = "instances"

// Client reads the list from URL. It is not safe for concurrent use.
type Client struct {
	URL  string
	HTTP *http.Client

	lastBody      []byte // body of the last list; an identical one is not decoded again
	lastInstances []membership.ListedInstance
}

// Fetch reads the whole list and returns a copy that the caller may change. An
// error has kind NotFound for a status other than 200, and BadRequest if the
// list cannot be read in full or decoded. An error of the HTTP request itself
// is returned as it is.
func (c *Client) Fetch(ctx context.Context) ([]membership.ListedInstance, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.URL, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if err := CheckHead(resp); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "read the platform's list")
	}
	if len(body) > maxListBytes {
		return nil, errkind.New(errkind.BadRequest, "the platform's list is longer than %d bytes", maxListBytes)
	}
	if c.lastBody == nil || !bytes.Equal(body, c.lastBody) {
		instances, err := decodeList(body)
		if err != nil {
			return nil, errkind.Wrap(errkind.BadRequest, err, "decode the platform's list")
		}
		c.lastBody, c.lastInstances = body, instances
	}
	return slices.Clone(c.lastInstances), nil
}

// decodeList returns the instances of a list. An entry that cannot be decoded names no
// instance and is left out. A list without the key of the instances is an error: it says
// nothing about them.
func decodeList(body []byte) ([]membership.ListedInstance, error) {
	var out []membership.ListedInstance
	listed := false
	p := jsonstream.New(bytes.NewReader(body))
	err := p.Object(func(key string) error {
		if key != keyInstances {
			_, err := p.Value()
			return err
		}
		listed = true
		if c, err := p.Peek(); err != nil || c == 'n' {
			return errors.Join(err, p.Null())
		}
		return p.Array(func() error {
			raw, err := p.Value()
			if instance, ok := decodeInstance(raw); err == nil && ok {
				out = append(out, instance)
			}
			return err
		})
	})
	if err == nil {
		err = p.End()
	}
	if err == nil && !listed {
		err = errkind.New(errkind.BadRequest, "the list has no %q", keyInstances)
	}
	return out, err
}

// decodeInstance decodes an entry of the list, or returns false.
func decodeInstance(raw jsonstream.RawValue) (instance membership.ListedInstance, ok bool) {
	if !raw.Whole || raw.Null() {
		return instance, false
	}
	return instance, json.Unmarshal(raw.Text, &instance) == nil
}
