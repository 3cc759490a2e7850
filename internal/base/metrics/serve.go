package metrics

import (
	"context"
	"net/http"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/httpserve"
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
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", h)
	srv := &http.Server{Handler: mux, ReadTimeout: serveTimeout, WriteTimeout: serveTimeout}
	if err := httpserve.ListenAndServe(ctx, addr, srv, 0); err != nil {
		log.WithError(err).WithField("metrics_addr", addr).Warn("metrics are not served at their own address")
	}
}
