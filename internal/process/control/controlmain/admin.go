package controlmain

import (
	"context"
	"net/http"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/httpserve"
	"github.com/fescuejunction/fescuejunction/internal/process/control"
	"google.golang.org/protobuf/encoding/protojson"
)

const adminTimeout = 10 * time.Second // for reading and for writing one admin request

// serveAdmin serves /metrics, /healthz and /status until ctx ends.
func serveAdmin(ctx context.Context, s *Settings, srv *control.Server, metricsHandler http.Handler) error {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metricsHandler)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, r *http.Request) {
		if !srv.Healthy() {
			http.Error(w, "no quorum-confirmed counter", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) { writeStatus(w, r, srv) })
	return httpserve.ListenAndServe(ctx, s.AdminAddr, &http.Server{Handler: mux, ReadTimeout: adminTimeout, WriteTimeout: adminTimeout}, 0)
}

// writeStatus writes the status of this replica as JSON.
func writeStatus(w http.ResponseWriter, r *http.Request, srv *control.Server) {
	data, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(srv.LocalStatus(r.Context()))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(data, '\n'))
}
