package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/version/membership"
)

// serveList serves the text that body points to and returns a client of it.
func serveList(t *testing.T, body *string) *Client {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(*body))
	}))
	t.Cleanup(srv.Close)
	return &Client{URL: srv.URL, HTTP: srv.Client()}
}

// encodeList returns a list of n instances as JSON.
func encodeList(t *testing.T, n int) string {
	t.Helper()
	var instances []membership.ListedInstance
	for i := range n {
		instances = append(instances, membership.ListedInstance{ID: fmt.Sprintf("i%d", i)})
	}
	text, err := json.Marshal(map[string]any{keyInstances: instances})
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Guards against decoding an unchanged list at every poll, twice a second, which
// took a tenth of the CPU time of an idle entry, and against missing a change of
// the list.
func TestUnchangedListIsNotDecodedAgain(t *testing.T) {
	const instances = 1000
	body := encodeList(t, instances)
	c := serveList(t, &body)
	fetch := func() []membership.ListedInstance {
		got, err := c.Fetch(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		return got
	}
	fetch()[0].ID = "changed by the caller"
	if got := fetch(); len(got) != instances || got[0].ID != "i0" {
		t.Errorf("%d instances, the first is %q", len(got), got[0].ID)
	}
	if allocs := testing.AllocsPerRun(20, func() { fetch() }); allocs > instances {
		t.Errorf("%.0f allocations for an unchanged list of %d instances", allocs, instances)
	}
	body = encodeList(t, 2)
	if got := fetch(); len(got) != 2 {
		t.Errorf("%d instances after a change, want 2", len(got))
	}
}

// Guards against a malformed list that replaces the last one or is treated as an
// empty list.
func TestBrokenList(t *testing.T) {
	body := encodeList(t, 3)
	c := serveList(t, &body)
	if _, err := c.Fetch(context.Background()); err != nil {
		t.Fatal(err)
	}
	for _, broken := range []string{"", "{", strings.Replace(encodeList(t, 3), "[", "", 1)} {
		body = broken
		if _, err := c.Fetch(context.Background()); errkind.Of(err) != errkind.BadRequest {
			t.Errorf("list %q: error %v", broken, err)
		}
	}
	body = encodeList(t, 3)
	if got, err := c.Fetch(context.Background()); err != nil || len(got) != 3 {
		t.Errorf("%d instances, %v, after the malformed ones", len(got), err)
	}
}

// Guards against one odd entry, written by another program, that costs the sound entries
// of the list.
func TestOddEntryCostsNoOthers(t *testing.T) {
	for name, odd := range map[string]string{
		"nested deep":     strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
		"of another type": `{"id": 17}`,
	} {
		body := strings.Replace(encodeList(t, 3), "[", "["+odd+",", 1)
		c := serveList(t, &body)
		if got, err := c.Fetch(context.Background()); err != nil || len(got) != 3 {
			t.Errorf("%s: %d instances, %v; want the 3 sound ones", name, len(got), err)
		}
	}
}
