// Package serve runs the HTTP servers of a stand-in until the process is
// told to stop.
package serve

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// shutdownTimeout bounds how long a stop waits for requests in flight.
const shutdownTimeout = 60 * time.Second

// Server is one HTTP server with its listener.
type Server struct {
	HTTP     *http.Server
	Listener net.Listener
}

// Listen opens a TCP listener for handler.
func Listen(address string, handler http.Handler) (Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return Server{}, errkind.Wrap(errkind.InvalidSettings, err, "listen on %q", address)
	}
	return Server{HTTP: &http.Server{Handler: handler}, Listener: l}, nil
}

// SignalContext returns a context that ends on SIGTERM or SIGINT.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// Run serves until ctx ends, then finishes the requests in flight.
func Run(ctx context.Context, servers ...Server) error {
	failed := make(chan error, len(servers))
	for _, s := range servers {
		go func() { failed <- s.HTTP.Serve(s.Listener) }()
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	return errors.Join(err, shutdown(servers))
}

func shutdown(servers []Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	done := make(chan error, len(servers))
	for _, s := range servers {
		go func() { done <- s.HTTP.Shutdown(ctx) }()
	}
	var err error
	for range servers {
		err = errors.Join(err, <-done)
	}
	return err
}

// JSON writes v as the answer.
func JSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// maxControlBody bounds the body of a control request, in bytes.
const maxControlBody = 1 << 20

// Decode reads a JSON body strictly into v. It writes the answer and returns
// false if the body is not valid.
func Decode(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		http.Error(w, fmt.Sprintf("control request: %v", err), http.StatusBadRequest)
		return false
	}
	return true
}
