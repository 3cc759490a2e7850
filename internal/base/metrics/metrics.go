// Package metrics sets up tally metrics with a Prometheus text endpoint.
package metrics

import (
	"io"
	"net/http"
	"runtime"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often tally passes its values to the Prometheus registry.
const reportInterval = time.Second

// New returns the root scope of a process, the handler for /metrics and a closer
// that stops the reporting.
func New(program string) (tally.Scope, http.Handler, io.Closer) {
	reg := prometheus.NewRegistry()
	// Only one metric of the Go runtime is served. The others would make up most of
	// the response, which is scraped often and over links whose traffic is charged.
	reg.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "go_goroutines", Help: "Goroutines that exist."},
			func() float64 { return float64(runtime.NumGoroutine()) }),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	rep := promreporter.NewReporter(promreporter.Options{Registerer: reg, Gatherer: reg})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "fescue",
		Tags:           map[string]string{"program": program},
		CachedReporter: rep,
		Separator:      promreporter.DefaultSeparator,
	}, reportInterval)
	return scope, rep.HTTPHandler(), closer
}
