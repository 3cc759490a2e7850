// Package platform reads the platform's list of instances over HTTP. The list
// is eventually consistent: it may still name instances that have left and lack
// new ones.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/version/membership"
)

// maxListBytes bounds the size of the list; 10,000 instances take about 2 MB.
const maxListBytes = 32 << 20

// listResponse is the JSON body of the platform's response.
type listResponse struct {
	Instances []membership.ListedInstance `json:"instances"`
}

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
	if resp.StatusCode != http.StatusOK {
		return nil, errkind.New(errkind.NotFound, "read the platform's list: status %s", resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "read the platform's list")
	}
	if c.lastBody == nil || !bytes.Equal(body, c.lastBody) {
		var l listResponse
		if err := json.Unmarshal(body, &l); err != nil {
			return nil, errkind.Wrap(errkind.BadRequest, err, "decode the platform's list")
		}
		c.lastBody, c.lastInstances = body, l.Instances
	}
	return slices.Clone(c.lastInstances), nil
}
