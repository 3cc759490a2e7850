// Package metrics sets up tally with a Prometheus text endpoint.
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

// reportInterval is how often tally hands its counts to the endpoint.
const reportInterval = time.Second

// New returns the root scope of a process and the handler of /metrics. Close
// the closer to stop reporting.
func New(program string) (tally.Scope, http.Handler, io.Closer) {
	reg := prometheus.NewRegistry()
	// Of the Go runtime's figures only one is served: the others would be most of
	// the answer, which is read often and over links that have a price.
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
