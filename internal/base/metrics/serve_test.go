package metrics

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/lab/ports"
)

// Guards against a process that ends or hangs because the port for its metrics is
// in use.
func TestServe(t *testing.T) {
	addr := ports.For(t)
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	scope, h, closer := New("test")
	defer func() { _ = closer.Close() }()
	Serve(t.Context(), addr, h, logging.Discard()) // returns because the port is in use
	if err := lis.Close(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); Serve(ctx, addr, h, logging.Discard()) }()
	scope.Counter("counted").Inc(3)
	const counted = `fescue_counted{program="test"} 3`
	text := ""
	for until := time.Now().Add(5 * time.Second); !strings.Contains(text, counted) && time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if resp, err := http.Get("http://" + addr + "/metrics"); err == nil {
			body, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			text = string(body)
		}
	}
	if !strings.Contains(text, counted) {
		t.Errorf("no counter in the metrics:\n%.300s", text)
	}
	cancel()
	<-done
}

// Guards against growth of the response: 1,000 nodes are scraped every few
// seconds.
func TestMetricsResponseIsSmall(t *testing.T) {
	_, h, closer := New("test")
	defer func() { _ = closer.Close() }()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if got := w.Body.Len(); got > 4<<10 {
		t.Errorf("%d bytes before the process has counted anything, want 4 KiB at most", got)
	}
}
