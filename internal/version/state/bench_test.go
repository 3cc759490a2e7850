package state

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
	"github.com/fescuejunction/fescuejunction/internal/version/hostroute"
	"google.golang.org/protobuf/proto"
)

// largeTeam is the team of largeSection.
const largeTeam = "rota"

// largeSection returns a section with a number of host routes, each of about 230 bytes of
// YAML as in the recorded incident.
func largeSection(routes int) *document.Section {
	sec := &document.Section{Team: largeTeam, Serial: 1, Services: []document.Service{
		{Name: "rota-a", GuardedSlots: true, HealthPath: "/health"}, {Name: "rota-b", GuardedSlots: true, HealthPath: "/health"},
	}}
	for i := range routes {
		sec.HostRoutes = append(sec.HostRoutes, document.HostRoute{
			Name: fmt.Sprintf("r-%06d", i*7919%1000003), Host: "rota.example", Prefix: fmt.Sprintf("/p%06d/", i*104729%1000003),
			Safe: true, Timeout: document.Duration(2e9), LatencyObjective: document.Duration(250e6), Priority: 2, MaxAttempts: 2,
			Services: []document.ServicePart{{Service: "rota-a", Weight: 90}, {Service: "rota-b", Weight: 10}},
		})
	}
	return sec
}

// largeChange returns the request that follows a revision, with the weight of one route
// changed.
func largeChange(tb testing.TB, sec *document.Section, revision uint64) *fescuepb.ApplyRequest {
	tb.Helper()
	sec.Serial = revision + 1
	sec.HostRoutes[int(revision)%len(sec.HostRoutes)].Services[0].Weight = int(revision) + 1
	yaml, err := document.Encode(sec)
	if err != nil {
		tb.Fatal(err)
	}
	return &fescuepb.ApplyRequest{Team: largeTeam, Yaml: yaml, ExpectedRevision: revision, ChangeId: fmt.Sprint("c", revision)}
}

// applyLarge applies a request as the entry after its revision.
func applyLarge(tb testing.TB, m *Machine, r *fescuepb.ApplyRequest) []byte {
	tb.Helper()
	data, err := EncodeChange(r, "operator", 0)
	if err != nil {
		tb.Fatal(err)
	}
	out := m.Apply(r.ExpectedRevision+1, data)
	var res fescuepb.CommandResult
	if err := proto.Unmarshal(out, &res); err != nil || res.GetApply().GetRevision() != r.ExpectedRevision+1 {
		tb.Fatalf("change of revision %d: %v, %v", r.ExpectedRevision, err, &res)
	}
	return out
}

func BenchmarkLargeSection(b *testing.B) {
	for _, routes := range []int{1400, 4000} {
		sec := largeSection(routes)
		m := New()
		applyLarge(b, m, largeChange(b, sec, 0))
		next := largeChange(b, sec, 1)
		src, problems := document.Parse(largeTeam, next.Yaml)
		if len(problems) > 0 {
			b.Fatal(problems[0])
		}
		run := func(name string, f func()) {
			b.Run(fmt.Sprintf("%s/%d", name, routes), func(b *testing.B) {
				for b.Loop() {
					f()
				}
				b.ReportMetric(float64(len(next.Yaml)), "yaml-bytes")
			})
		}
		run("encode", func() { _, _ = document.Encode(sec) })
		run("encode-again", func() { _, _ = m.EncodeSection(sec) })
		run("parse", func() { _, _ = document.Parse(largeTeam, next.Yaml) })
		run("validate", func() { _ = document.Validate([]*document.Source{src}) })
		run("split", func() { _, _, _ = hostroute.Split(&fescuepb.Section{Team: largeTeam}, src.Section) })
		run("check", func() { _, _ = m.Check(next) })
		image, err := m.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		run("snapshot", func() { _, _ = m.Snapshot() })
		run("restore", func() { _ = New().Restore(image) })
		b.Run(fmt.Sprintf("apply/%d", routes), func(b *testing.B) { benchmarkApply(b, routes, false) })
		b.Run(fmt.Sprintf("check+apply/%d", routes), func(b *testing.B) { benchmarkApply(b, routes, true) })
	}
}

// benchmarkApply measures Apply, with or without a Check before it.
func benchmarkApply(b *testing.B, routes int, check bool) {
	m, sec := New(), largeSection(routes)
	applyLarge(b, m, largeChange(b, sec, 0))
	for i := uint64(1); b.Loop(); i++ {
		b.StopTimer()
		r := largeChange(b, sec, i)
		b.StartTimer()
		if check {
			if reply, err := m.Check(r); reply != nil || err != nil {
				b.Fatal(reply, err)
			}
		}
		applyLarge(b, m, r)
	}
}

// BenchmarkLargeHistory reports what 100 changes of one weight leave in the state.
func BenchmarkLargeHistory(b *testing.B) {
	for b.Loop() {
		m, sec := New(), largeSection(1400)
		before := heapBytes()
		entry := 0
		for i := range uint64(maxHistory) {
			r := largeChange(b, sec, i)
			data, _ := EncodeChange(r, "operator", 0)
			entry = len(data)
			applyLarge(b, m, r)
		}
		held := heapBytes() - before
		image, err := m.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(entry), "entry-bytes")
		b.ReportMetric(float64(len(image)), "image-bytes")
		b.ReportMetric(held, "heap-bytes")
		runtime.KeepAlive(m)
	}
}

func heapBytes() float64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

func BenchmarkEarlierCaps(b *testing.B) {
	m, sec := New(), largeSection(1400)
	for i := range uint64(maxHistory) {
		applyLarge(b, m, largeChange(b, sec, i))
	}
	for b.Loop() {
		m.EarlierCaps()
	}
}
