package httpserve

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/lab/ports"
)

// Guards against a shutdown that interrupts a request in flight, and against a
// shutdown that is reported as an error.
func TestShutdownWaitsForRequestInFlight(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		cancel()
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(w, "whole")
	})
	addr := ports.For(t)
	done := make(chan error, 1)
	go func() { done <- ListenAndServe(ctx, addr, &http.Server{Handler: handler}, 10*time.Second) }()
	var resp *http.Response
	var err error
	for range 200 {
		if resp, err = http.Get("http://" + addr); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "whole" {
		t.Errorf("body %q, %v", body, err)
	}
	if err := <-done; err != nil {
		t.Errorf("error after a shutdown: %v", err)
	}
}

// Guards against a port in use that is not reported as an error.
func TestAddressInUse(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	err = ListenAndServe(context.Background(), lis.Addr().String(), &http.Server{}, time.Second)
	if errkind.Of(err) != errkind.InvalidSettings {
		t.Errorf("error %v", err)
	}
}
