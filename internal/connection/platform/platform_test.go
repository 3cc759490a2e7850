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

// serveList serves the text that body points to.
func serveList(t *testing.T, body *string) *Client {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(*body))
	}))
	t.Cleanup(srv.Close)
	return &Client{URL: srv.URL, HTTP: srv.Client()}
}

func listOf(t *testing.T, n int) string {
	t.Helper()
	var l list
	for i := range n {
		l.Instances = append(l.Instances, membership.ListedInstance{ID: fmt.Sprintf("i%d", i)})
	}
	text, err := json.Marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Guards against a list that is decoded twice a second although it has not
// changed, which was a tenth of an idle entry's processor time, and against a
// changed list that is not noticed.
func TestUnchangedListIsNotDecodedAgain(t *testing.T) {
	const instances = 1000
	body := listOf(t, instances)
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
	body = listOf(t, 2)
	if got := fetch(); len(got) != 2 {
		t.Errorf("%d instances after a change, want 2", len(got))
	}
}

// Guards against a broken list that replaces the last one or counts as empty.
func TestBrokenList(t *testing.T) {
	body := listOf(t, 3)
	c := serveList(t, &body)
	if _, err := c.Fetch(context.Background()); err != nil {
		t.Fatal(err)
	}
	for _, broken := range []string{"", "{", strings.Replace(listOf(t, 3), "[", "", 1)} {
		body = broken
		if _, err := c.Fetch(context.Background()); errkind.Of(err) != errkind.BadRequest {
			t.Errorf("list %q: error %v", broken, err)
		}
	}
	body = listOf(t, 3)
	if got, err := c.Fetch(context.Background()); err != nil || len(got) != 3 {
		t.Errorf("%d instances, %v, after the broken ones", len(got), err)
	}
}
