package proxy

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dialect"
)

// Guards against requests that cause a panic, leave a unit of a cap in use, get
// an internal error or a status that does not fit its kind, or get a different
// answer when they are sent again.
func FuzzServeHTTP(f *testing.F) {
	f.Add("GET", "/", "rota", "s1", "100", "k", "id", "1", "e2", false)
	f.Add("POST", "/%63laim?a=%zz", "", "s1", "-1", "a b", " ", "99", "", true)
	f.Add("OPTIONS", "*", "rota", "s1", "9223372036854775807", "n1.t~k", "\x00", "x", "e1", true)
	f.Add("GET", "//rota/../x#y", "", "", "", "", "", "", "", false)
	f.Fuzz(func(t *testing.T, method, path, service, shift, deadline, key, id, hops, from string, peer bool) {
		u, err := url.Parse(path)
		if err != nil || method == "" {
			return
		}
		w := newFuzzEntry(t, peer)
		header := http.Header{
			dialect.HeaderService: {service}, dialect.HeaderShift: {shift}, dialect.HeaderDeadline: {deadline}, dialect.HeaderKey: {key},
			dialect.HeaderRequestID: {id}, headerHops: {hops}, headerForwardedBy: {from},
		}
		var first string
		for range 2 {
			rec := httptest.NewRecorder()
			w.h.ServeHTTP(rec, &http.Request{Method: method, URL: u, RequestURI: path, Header: header.Clone(), Body: io.NopCloser(strings.NewReader(""))})
			var e errorBody
			if err := json.Unmarshal(rec.Body.Bytes(), &e); err != nil {
				t.Fatalf("answer %q: %v", rec.Body, err)
			}
			if e.Kind == errkind.Internal || e.Kind.Response().Status != rec.Code || e.RequestID == "" || e.RequestID != rec.Header().Get(dialect.HeaderRequestID) {
				t.Errorf("answer %d %+v", rec.Code, e)
			}
			if got := string(e.Kind) + string(e.DidRun); first == "" {
				first = got
			} else if got != first {
				t.Errorf("answer %s after %s", got, first)
			}
		}
		if w.caps.inUse.Load() != 0 {
			t.Error("a unit is still in use")
		}
	})
}

// newFuzzEntry returns an entry without targets whose caps are used up, so that
// each request gets an error answer at once.
func newFuzzEntry(t *testing.T, peer bool) *testEntry {
	w := newEntryWithoutListener(t, peer)
	w.ledger.start = errkind.New(errkind.KeyReused, "used before")
	w.caps.full = true
	return w
}
