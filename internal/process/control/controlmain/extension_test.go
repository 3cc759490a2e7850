package controlmain

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/lab/ports"
)

// Guards against requests that have arrived when a planned stop begins and are cut off without
// an answer: on connections that the operating system has accepted and the process has not,
// and on kept connections that are closed as idle.
func TestPlannedStopAnswersWhatHasArrived(t *testing.T) {
	const kept, fresh = 40, 120
	cut := 0
	for range 10 {
		addr := ports.For(t)
		ctx, cancel := context.WithCancel(context.Background())
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
		done := make(chan error, 1)
		go func() { done <- serveHTTP(ctx, addr, handler, logging.Discard()) }()
		var conns []net.Conn
		for len(conns) < kept {
			c, err := net.DialTimeout("tcp", addr, time.Second)
			if err != nil {
				time.Sleep(time.Millisecond) // the server does not listen yet
				continue
			}
			conns = append(conns, c)
			if !answered(c, true) {
				t.Fatal("no answer before the stop")
			}
		}
		for range fresh {
			c, err := net.DialTimeout("tcp", addr, time.Second)
			if err != nil {
				t.Fatal(err)
			}
			conns = append(conns, c)
		}
		for _, c := range conns {
			if _, err := fmt.Fprint(c, request); err != nil {
				t.Fatal(err)
			}
		}
		cancel()
		for _, c := range conns {
			if !answered(c, false) {
				cut++
			}
			_ = c.Close()
		}
		if err := <-done; err != nil {
			t.Errorf("planned stop: %v", err)
		}
	}
	if cut > 0 {
		t.Errorf("%d of %d requests that had arrived before the stop got no answer", cut, 10*(kept+fresh))
	}
}

const request = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"

// answered reports whether the request on c, which it sends first if send is set, gets a
// whole answer.
func answered(c net.Conn, send bool) bool {
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if send {
		_, _ = fmt.Fprint(c, request)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(resp.Body)
	return err == nil && string(body) == "whole"
}
