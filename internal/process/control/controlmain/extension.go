package controlmain

import (
	"context"
	"net/http"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/httpserve"
	"github.com/fescuejunction/fescuejunction/internal/connection/caller"
	"github.com/fescuejunction/fescuejunction/internal/process/control"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// Extension adds interfaces of a platform to a control replica. Functions that are
// nil are omitted.
type Extension struct {
	// Operator returns the handler for Settings.OperatorAddr.
	Operator func(st control.Steering, log *logrus.Entry) http.Handler
	// Directory returns the handler for Settings.DirectoryAddr. state returns the
	// newest committed version, or why there is none to answer from. It may wait up to
	// 500 ms, until its context ends.
	Directory func(state func(context.Context) DirectoryState, log *logrus.Entry, metrics tally.Scope) http.Handler
	// Targets returns the source of the platform's list of targets.
	Targets func(s *Settings, log *logrus.Entry) TargetSource
}

// Limits of the HTTP listeners of an extension.
const (
	extensionHeaderBytes = 64 << 10
	extensionReadTimeout = 10 * time.Second // for a head, and for a body
	extensionIdleTimeout = 60 * time.Second
	// extensionStopTimeout is how long requests in flight may take to finish at the
	// end of the process.
	extensionStopTimeout = 2 * time.Second
)

// serveHTTP serves an interface of an extension until ctx ends, and then answers the
// requests that have arrived, also on connections that are established and not accepted
// yet. It does nothing without an address or a handler.
func serveHTTP(ctx context.Context, addr string, h http.Handler, log *logrus.Entry) error {
	if addr == "" || h == nil {
		return nil
	}
	limits := caller.Limits{HeaderBytes: extensionHeaderBytes, HeaderTimeout: extensionReadTimeout, IdleTimeout: extensionIdleTimeout}
	srv := &caller.Server{Handler: withBodyTimeout(h), Limits: func() caller.Limits { return limits }, Log: log}
	return httpserve.Run(ctx, addr, srv.Serve, extensionStopTimeout, func(ending context.Context) {
		if err := srv.Shutdown(ending); err != nil {
			log.WithError(err).WithField("addr", addr).Warn("stop timed out with requests still in flight")
		}
	})
}

// withBodyTimeout limits the time that a caller may take to send the body of a request.
func withBodyTimeout(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(extensionReadTimeout)) // without it, the caller only takes longer
		h.ServeHTTP(w, r)
	})
}
