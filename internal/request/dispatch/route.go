package dispatch

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxRoutes bounds the memory used by estimates. Routes beyond it share one
// record.
const maxRoutes = 128

// Parameters of the histograms of running times, which count in units of
// runUnit.
const (
	runUnit         = 10 * time.Microsecond
	maxRunTime      = 10 * time.Minute
	runDigits       = 1   // significant digits, which are enough for estimates
	windowSamples   = 128 // estimates cover the last one to two windows
	refreshInterval = 16  // samples between two updates of the quantiles
)

// Quantiles used by the estimates, in percent.
const (
	lowQuantile  = 10
	midQuantile  = 50
	highQuantile = 90
	tailQuantile = 95
)

// runTimes estimates quantiles of the recent running times of one kind of
// request. It keeps a histogram for the current and the previous window.
type runTimes struct {
	current, previous, merged *hdrhistogram.Histogram // merged is scratch space of refresh
	samples                   int
	low, mid, high, tail      time.Duration // 0 while unknown
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxRunTime/runUnit), runDigits)
}

func (rt *runTimes) record(d time.Duration) {
	if rt.current == nil {
		rt.current, rt.previous, rt.merged = newHistogram(), newHistogram(), newHistogram()
	}
	units := min(max(int64(d/runUnit), 1), int64(maxRunTime/runUnit))
	_ = rt.current.RecordValue(units) // units is in range
	rt.samples++
	if rt.samples <= refreshInterval || rt.samples%refreshInterval == 0 {
		rt.refresh()
	}
	if rt.samples%windowSamples == 0 {
		rt.current, rt.previous = rt.previous, rt.current
		rt.current.Reset()
	}
}

// refresh recomputes the quantiles over both windows.
func (rt *runTimes) refresh() {
	rt.merged.Reset()
	rt.merged.Merge(rt.previous)
	rt.merged.Merge(rt.current)
	quantile := func(q float64) time.Duration { return time.Duration(rt.merged.ValueAtQuantile(q)) * runUnit }
	rt.low, rt.mid, rt.high, rt.tail = quantile(lowQuantile), quantile(midQuantile), quantile(highQuantile), quantile(tailQuantile)
}

// route holds the estimates of one route.
type route struct {
	run            runTimes
	stragglerShare mean          // of its requests that were stragglers
	long           bool          // its requests count as long work, because most of them were stragglers
	lastProbe      time.Duration // when a request last ran although its estimate exceeded its deadline
}

// routes holds the estimates of all routes and the mean running times of short
// and long work.
type routes struct {
	byKey      map[string]*route
	overflow   route
	short      runTimes // running times of all short work
	longInARow int      // consecutive completed requests that counted as long without being marked long
	class      [2]mean  // mean running times in nanoseconds, indexed by classIndex
}

func newRoutes() routes { return routes{byKey: map[string]*route{}} }

func (rs *routes) get(key string) *route {
	if rt, ok := rs.byKey[key]; ok {
		return rt
	}
	if len(rs.byKey) >= maxRoutes {
		return &rs.overflow
	}
	rt := &route{}
	rs.byKey[key] = rt
	return rt
}

func classIndex(long bool) int {
	if long {
		return 1
	}
	return 0
}

func (rs *routes) record(long bool, d time.Duration) {
	rs.class[classIndex(long)].add(float64(d), runWeight)
	if !long {
		rs.short.record(d)
	}
}

// runWeight is the weight of a new running time in the mean of its class.
const runWeight = 0.05

// mean is an exponentially weighted moving average.
type mean struct {
	value float64
	n     int
}

func (m *mean) add(v, weight float64) {
	m.n++
	// The first samples have equal weights, so that the initial value of 0 does
	// not bias the mean.
	m.value += (v - m.value) * max(weight, 1/float64(m.n))
}
