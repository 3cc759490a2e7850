package metrics

import (
	"context"
	"net/http"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/httpserve"
	"github.com/sirupsen/logrus"
)

// serveTimeout bounds the read of a request and the write of its response.
const serveTimeout = 10 * time.Second

// Serve serves /metrics at its own address until ctx ends; with an empty address
// it does nothing. An error, such as a port that is in use, is only logged,
// because the process works without the metrics.
func Serve(ctx context.Context, addr string, h http.Handler, log *logrus.Entry) {
	if addr == "" {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", h)
	srv := &http.Server{Handler: mux, ReadTimeout: serveTimeout, WriteTimeout: serveTimeout}
	if err := httpserve.ListenAndServe(ctx, addr, srv, 0); err != nil {
		log.WithError(err).WithField("metrics_addr", addr).Warn("metrics listener failed; metrics are not served at metrics_addr")
	}
}
