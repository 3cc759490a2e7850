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
func Until(ctx context.Context, addr string, srv *http.Server, finish time.Duration) error {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return errkind.Wrap(errkind.InvalidSettings, err, "listen on %s", addr)
	}
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), finish)
		defer cancel()
		if srv.Shutdown(stopping) != nil {
			_ = srv.Close() // its error is that of the listener, which is closed already
		}
	})
	err = srv.Serve(lis)
	if !stop() { // ctx has ended
		<-stopped
		return nil
	}
	return err
}
