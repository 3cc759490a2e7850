package link

import (
	"context"
	"net/http"
	"path"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/lab/serve"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
)

// Run relays the links of s until ctx ends.
func Run(ctx context.Context, s Settings, log *logrus.Entry) error {
	links := make([]*Link, 0, len(s.Links))
	for i, spec := range s.Links {
		l, err := New(spec, s.Seed+uint64(i))
		if err != nil {
			return errkind.Wrap(errkind.InvalidSettings, err, "link %q", spec.ID)
		}
		defer l.Close()
		go func() { _ = l.Serve() }()
		links = append(links, l)
	}
	srv, err := serve.Listen(s.Control, handler(links, log))
	if err != nil {
		return err
	}
	log.WithField("links", len(links)).Info("ready")
	return serve.Run(ctx, srv)
}

// linkChange is the body of POST /links/{pattern}. A field that is left out
// keeps its value.
type linkChange struct {
	State          *State   `json:"state"`
	DelayMs        *float64 `json:"delay_ms"`
	JitterMs       *float64 `json:"jitter_ms"`
	BytesPerSecond *int64   `json:"bytes_per_second"`
}

// handler serves GET /links and POST /links/{pattern}; the pattern may match
// several identifiers, as in "a1-*".
func handler(links []*Link, log *logrus.Entry) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /links", func(w http.ResponseWriter, _ *http.Request) {
		serve.JSON(w, http.StatusOK, statuses(links))
	})
	mux.HandleFunc("POST /links/{pattern}", func(w http.ResponseWriter, r *http.Request) {
		var c linkChange
		if !serve.Decode(w, r, &c) {
			return
		}
		if msg := c.problem(); msg != "" {
			http.Error(w, msg, http.StatusBadRequest)
			return
		}
		matched := match(links, r.PathValue("pattern"))
		if len(matched) == 0 {
			http.Error(w, "no link matches", http.StatusNotFound)
			return
		}
		for _, l := range matched {
			c.apply(l)
			log.WithField("link", l.Status()).Info("link changed")
		}
		serve.JSON(w, http.StatusOK, statuses(matched))
	})
	return mux
}

func statuses(links []*Link) []Status {
	out := make([]Status, len(links))
	for i, l := range links {
		out[i] = l.Status()
	}
	return out
}

func match(links []*Link, pattern string) []*Link {
	var out []*Link
	for _, l := range links {
		if ok, _ := path.Match(pattern, l.Status().ID); ok {
			out = append(out, l)
		}
	}
	return out
}

func (c linkChange) problem() string {
	if c.State != nil {
		switch *c.State {
		case Open, Cut, Frozen, Reset:
		default:
			return "state must be open, cut, frozen or reset"
		}
	}
	if c.DelayMs != nil && *c.DelayMs < 0 || c.JitterMs != nil && *c.JitterMs < 0 || c.BytesPerSecond != nil && *c.BytesPerSecond < 0 {
		return "delay_ms, jitter_ms and bytes_per_second must not be negative"
	}
	return ""
}

func (c linkChange) apply(l *Link) {
	l.update(func(s *Spec) {
		if c.DelayMs != nil {
			s.Delay = document.Duration(*c.DelayMs * float64(time.Millisecond))
		}
		if c.JitterMs != nil {
			s.Jitter = document.Duration(*c.JitterMs * float64(time.Millisecond))
		}
		if c.BytesPerSecond != nil {
			s.BytesPerSecond = *c.BytesPerSecond
		}
	})
	if c.State != nil {
		l.SetState(*c.State)
	}
}
