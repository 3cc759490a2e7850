package metrics

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
)

// serveTimeout bounds one request for the metrics.
const serveTimeout = 10 * time.Second

// Serve serves /metrics at an address of its own until ctx ends; with an empty
// address it does nothing. A process goes on without it: a port that another
// program has taken costs the metrics there, and is logged.
func Serve(ctx context.Context, addr string, h http.Handler, log *logrus.Entry) {
	if addr == "" {
		return
	}
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		log.WithError(err).WithField("metrics_addr", addr).Warn("metrics are not served at their own address")
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", h)
	srv := &http.Server{Handler: mux, ReadTimeout: serveTimeout, WriteTimeout: serveTimeout}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
		log.WithError(err).WithField("metrics_addr", addr).Warn("metrics are no longer served at their own address")
	}
}
