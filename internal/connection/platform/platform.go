// Package platform reads the platform's list of instances. The list lags:
// it may still name instances that have left and miss new ones.
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

// maxListBytes bounds the list; 10,000 instances take about 2 MB.
const maxListBytes = 32 << 20

type list struct {
	Instances []membership.ListedInstance `json:"instances"`
}

// Client reads the list by HTTP. It is not safe for concurrent use.
type Client struct {
	URL  string
	HTTP *http.Client

	text []byte // of the last list, which seldom changes
	last []membership.ListedInstance
}

// Fetch reads the whole list once.
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
		return nil, errkind.New(errkind.NotFound, "the platform answered %s", resp.Status)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "read the platform's list")
	}
	if c.text == nil || !bytes.Equal(text, c.text) {
		var l list
		if err := json.Unmarshal(text, &l); err != nil {
			return nil, errkind.Wrap(errkind.BadRequest, err, "decode the platform's list")
		}
		c.text, c.last = text, l.Instances
	}
	return slices.Clone(c.last), nil
}
