// Package platform reads the platform's list of instances. The list lags:
// it may still name instances that have left and miss new ones.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/version/membership"
)

// maxListBytes bounds the list; 10,000 instances take about 2 MB.
const maxListBytes = 32 << 20

type list struct {
	Instances []membership.Listed `json:"instances"`
}

// Client reads the list by HTTP.
type Client struct {
	URL  string
	HTTP *http.Client
}

// Fetch reads the whole list once.
func (c *Client) Fetch(ctx context.Context) ([]membership.Listed, error) {
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
		return nil, errkind.New(errkind.NotFound, "the platform answered %s", resp.Status)
	}
	var l list
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&l); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "decode the platform's list")
	}
	return l.Instances, nil
}
