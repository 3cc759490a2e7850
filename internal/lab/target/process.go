package target

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/fescuejunction/fescuejunction/internal/base/metrics"
	"github.com/fescuejunction/fescuejunction/internal/lab/journal"
	"github.com/fescuejunction/fescuejunction/internal/lab/serve"
)

// Run serves the targets of s until ctx ends.
func Run(ctx context.Context, s Settings, log *logrus.Entry) error {
	run := time.Now().UnixNano()
	journals := map[string]*journal.Writer{}
	servers := make([]serve.Server, 0, len(s.Targets)+1)
	targets := make([]*Target, 0, len(s.Targets))
	for _, spec := range s.Targets {
		j, err := openJournal(journals, spec, s.Journal)
		if err != nil {
			return err
		}
		t := New(spec, run, j)
		srv, err := serve.Listen(spec.Listen, t.Handler())
		if err != nil {
			return err
		}
		log.WithFields(logrus.Fields{"target": spec.ID, "address": srv.Listener.Addr().String()}).Info("target listens")
		srv.Listener = limitListener{Listener: srv.Listener, target: t}
		servers = append(servers, srv)
		targets = append(targets, t)
	}
	if s.Admin != "" {
		admin, closeAdmin, err := adminServer(s.Admin, targets)
		if err != nil {
			return err
		}
		defer closeAdmin()
		servers = append(servers, admin)
	}
	log.WithField("targets", len(targets)).Info("ready")
	err := serve.Run(ctx, servers...)
	for _, j := range journals {
		err = errors.Join(err, j.Close())
	}
	log.Info("stopped")
	return err
}

func openJournal(open map[string]*journal.Writer, spec Spec, shared string) (*journal.Writer, error) {
	path := spec.Journal
	if path == "" {
		path = shared
	}
	if j, ok := open[path]; ok {
		return j, nil
	}
	j, err := journal.Open(path)
	if err != nil {
		return nil, err
	}
	open[path] = j
	return j, nil
}

func adminServer(address string, targets []*Target) (serve.Server, func(), error) {
	_, handler, closer := metrics.New("fescue-lab-target")
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", handler)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		out := make([]Status, len(targets))
		for i, t := range targets {
			out[i] = t.Status()
		}
		serve.JSON(w, http.StatusOK, map[string]any{"targets": out})
	})
	srv, err := serve.Listen(address, mux)
	return srv, func() { _ = closer.Close() }, err
}
