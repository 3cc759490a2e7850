package controlmain

import (
	"context"
	"net/http"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/httpserve"
	"github.com/fescuejunction/fescuejunction/internal/process/control"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// Extension adds interfaces of a platform to a control replica. Functions that are
// nil are omitted.
type Extension struct {
	// Operator returns the handler for Settings.OperatorAddr.
	Operator func(st control.Steering, log *logrus.Entry) http.Handler
	// Directory returns the handler for Settings.DirectoryAddr. snap returns the
	// newest committed version, or nil before the first one and, after a start, until
	// it is confirmed.
	Directory func(snap func() *snapshot.Snapshot, log *logrus.Entry, metrics tally.Scope) http.Handler
	// Targets returns the source of the platform's list of targets.
	Targets func(s *Settings, log *logrus.Entry) TargetSource
}

// Timeouts of the HTTP listeners of an extension.
const (
	extensionReadTimeout = 10 * time.Second
	extensionIdleTimeout = 60 * time.Second
	// extensionStopTimeout is how long requests in flight may take to finish at the
	// end of the process.
	extensionStopTimeout = 2 * time.Second
)

// serveHTTP serves an interface of an extension until ctx ends. It does nothing
// without an address or a handler.
func serveHTTP(ctx context.Context, addr string, h http.Handler) error {
	if addr == "" || h == nil {
		return nil
	}
	srv := &http.Server{Handler: h, ReadTimeout: extensionReadTimeout, IdleTimeout: extensionIdleTimeout}
	return httpserve.ListenAndServe(ctx, addr, srv, extensionStopTimeout)
}
