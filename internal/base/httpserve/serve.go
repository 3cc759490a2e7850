// Package httpserve serves HTTP until a context ends.
package httpserve

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// Until listens on addr and serves until ctx ends, which is no error. Requests in
// flight then have up to finish to end.
func ListenAndServe(ctx context.Context, addr string, srv *http.Server, shutdownTimeout time.Duration) error {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return errkind.Wrap(errkind.InvalidSettings, err, "listen on %s", addr)
	}
	shutdownDone := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(shutdownDone)
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if srv.Shutdown(shutdownCtx) != nil {
			_ = srv.Close() // its error is that of the listener, which is closed already
		}
	})
	err = srv.Serve(lis)
	if !stop() { // ctx has ended
		<-shutdownDone
		return nil
	}
	return err
}
