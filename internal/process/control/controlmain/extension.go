package controlmain

import (
	"context"
	"net/http"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/httpserve"
	"github.com/fescuejunction/fescuejunction/internal/process/control"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/sirupsen/logrus"
)

// Extension adds interfaces of another platform to a control replica. A nil
// part is not served.
type Extension struct {
	// Operator serves Settings.OperatorAddr.
	Operator func(st control.Steering, log *logrus.Entry) http.Handler
	// Directory serves Settings.DirectoryAddr. snap returns the newest
	// committed version, or nil before the first one.
	Directory func(snap func() *snapshot.Snapshot, log *logrus.Entry) http.Handler
	// Targets reads the platform's list of targets.
	Targets func(s *Settings, log *logrus.Entry) TargetSource
}

// Limits of the added HTTP listeners.
const (
	extensionReadTimeout = 10 * time.Second
	extensionIdleTimeout = 60 * time.Second
	// extensionStop lets requests in flight finish at the end of the process.
	extensionStopTimeout = 2 * time.Second
)

// serveHTTP serves an added interface until ctx ends. Without an address or a
// handler it does nothing.
func serveHTTP(ctx context.Context, addr string, h http.Handler) error {
	if addr == "" || h == nil {
		return nil
	}
	srv := &http.Server{Handler: h, ReadTimeout: extensionReadTimeout, IdleTimeout: extensionIdleTimeout}
	return httpserve.Until(ctx, addr, srv, extensionStopTimeout)
}
