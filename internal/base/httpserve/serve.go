// Package httpserve serves HTTP until a context ends.
package httpserve

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// ListenAndServe listens on addr and serves until ctx ends. It then waits up to
// shutdownTimeout for requests in flight, closes the remaining connections and
// returns nil. It returns an error of kind InvalidSettings if it cannot listen, and
// the error of srv.Serve if serving fails before ctx ends.
func ListenAndServe(ctx context.Context, addr string, srv *http.Server, shutdownTimeout time.Duration) error {
	return Run(ctx, addr, srv.Serve, shutdownTimeout, func(ending context.Context) {
		if srv.Shutdown(ending) != nil {
			_ = srv.Close() // Shutdown has closed the listener, so an error here is expected
		}
	})
}

// Run is ListenAndServe for any server: serve accepts connections until shutdown is called
// with a context that ends after shutdownTimeout.
func Run(ctx context.Context, addr string, serve func(net.Listener) error, shutdownTimeout time.Duration, shutdown func(ending context.Context)) error {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return errkind.Wrap(errkind.InvalidSettings, err, "listen on %s", addr)
	}
	shutdownDone := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(shutdownDone)
		ending, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		shutdown(ending)
	})
	err = serve(lis)
	if !stop() { // ctx has ended
		<-shutdownDone
		return nil
	}
	return err
}
