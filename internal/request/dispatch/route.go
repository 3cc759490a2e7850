package dispatch

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxRoutes bounds the memory for estimates. Further routes share one.
const maxRoutes = 128

// The histograms of running times, in units of runUnit.
const (
	runUnit         = 10 * time.Microsecond
	maxRunTime      = 10 * time.Minute
	runDigits       = 1   // significant digits; estimates need no more
	windowSamples   = 128 // estimates cover the last one to two windows
	refreshInterval = 16  // samples between two readings of the quantiles
)

// The quantiles that estimates use.
const (
	lowQuantile  = 10
	midQuantile  = 50
	highQuantile = 90
	tailQuantile = 95
)

// runTimes holds the recent running times of one kind of request.
type runTimes struct {
	current, previous, merged *hdrhistogram.Histogram // all: scratch for refresh
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

// refresh reads the quantiles over both windows.
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
	stragglerShare mean          // of its requests that ran long
	long           bool          // its requests mostly run long
	lastProbe      time.Duration // last request that ran in spite of its estimate
}

// routes holds the estimates of all routes and the mean running times of the
// two classes.
type routes struct {
	byKey      map[string]*route
	overflow   route
	short      runTimes // of all short work
	longInARow int      // long requests in a row whose route is marked short
	class      [2]mean  // short, long
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

// runWeight is the weight of a new running time in the means of the classes.
const runWeight = 0.05

// mean is an exponentially weighted moving average.
type mean struct {
	value float64
	n     int
}

func (m *mean) add(v, weight float64) {
	m.n++
	// The first samples are averaged plainly, so that the start value does
	// not linger.
	m.value += (v - m.value) * max(weight, 1/float64(m.n))
}
