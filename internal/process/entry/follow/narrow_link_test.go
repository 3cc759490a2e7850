package follow

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
)

const (
	entryCount  = 8
	fewRoutes   = 8
	manyRoutes  = fewRoutes + 1400
	usualWeight = 70

	changeWithin   = 2500 * time.Millisecond // configApplyMs of the grown Kerala deployment
	startWithin    = 5 * time.Second         // traffic starts 8 s after the machines
	resumeWithin   = 5 * time.Second         // after a source was lost during a transfer
	confirmWithin  = 100 * time.Millisecond  // after the change is in force, if the confirmation lapsed before
	maxChangeBytes = 64 << 10                // on the link of one entry, for a change of one weight
	sampleInterval = 5 * time.Millisecond
)

// Guards against a large configuration that keeps the counter from reaching the
// entries: they take their sources for silent and ask others for the whole document
// again, answer 503 to proper requests, and never get out of this by themselves.
func TestLargeConfigurationOnNarrowLinks(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(*testing.T)
	}{
		{"first", largeFirst}, {"grows", largeChange}, {"small change", smallChange}, {"small changes", smallChanges},
		{"entry starts", entryStarts}, {"source lost midway", sourceLostMidway},
	} {
		t.Run(c.name, func(t *testing.T) { synctest.Test(t, c.run) })
	}
}

// largeFirst starts all entries at once with a large configuration.
func largeFirst(t *testing.T) {
	s := newSite(t, manyRoutes)
	c := change{time.Now(), s.control.machine.Version()}
	s.narrow()
	s.startEntries(entryCount)
	s.run(20 * time.Second)
	s.expectInForce(startWithin, s.entries, c)
	s.expectConfirmedOnceInForce(startWithin, c)
}

// largeChange adds many routes while the entries run.
func largeChange(t *testing.T) {
	s := newRunningSite(t, fewRoutes)
	c := s.change(manyRoutes, usualWeight)
	s.run(10 * time.Second)
	s.expectInForce(changeWithin, s.entries, c)
	s.expectConfirmedOnceInForce(changeWithin, c)
	s.expectSameSources(s.entries)
}

// smallChange changes one weight of a large configuration.
func smallChange(t *testing.T) { changeWeights(t, 1) }

// smallChanges changes one weight of a large configuration 20 times, every 100 ms.
func smallChanges(t *testing.T) { changeWeights(t, 20) }

// changeWeights makes count changes of one weight, each of which must be in force in
// time and cost few bytes.
func changeWeights(t *testing.T, count int) {
	s := newRunningSite(t, manyRoutes)
	began := time.Now()
	var changes []change
	for i := range count {
		changes = append(changes, s.change(manyRoutes, i+1))
		s.run(100 * time.Millisecond)
	}
	s.run(4 * time.Second)
	s.expectInForce(changeWithin, s.entries, changes...)
	s.expectConfirmed(s.entries, began)
	s.expectSameSources(s.entries)
	most := int64(0)
	for _, e := range s.entries {
		most = max(most, e.bytes()/int64(count))
	}
	t.Logf("at most %d bytes per change on the link of an entry", most)
	if most >= maxChangeBytes {
		t.Errorf("%d bytes per change of one weight on the link of an entry, want fewer than %d", most, maxChangeBytes)
	}
}

// entryStarts starts one more entry, which needs the whole large configuration. By its
// name, entry-9, it does not become a relay: entries rightly move to a new relay.
func entryStarts(t *testing.T) {
	s := newRunningSite(t, manyRoutes)
	c := change{time.Now(), versionInForce(s.entries[0].Follower)}
	others := s.entries
	s.startEntries(1)
	s.run(10 * time.Second)
	s.expectInForce(startWithin, s.entries[entryCount:], c)
	s.expectConfirmed(others, c.at)
	s.expectSameSources(others)
}

// sourceLostMidway breaks the connection of one entry to its source once, while a
// large change is on its way. The entry must not receive everything twice.
func sourceLostMidway(t *testing.T) {
	s := newRunningSite(t, fewRoutes)
	c, e := s.change(manyRoutes, usualWeight), s.entries[0]
	for e.down.passed.Load() < 16<<10 && time.Since(c.at) < changeWithin {
		s.run(sampleInterval)
	}
	received := e.down.passed.Load()
	s.net.breakConnections(e.host)
	s.run(15 * time.Second)
	s.expectInForce(resumeWithin, s.entries, c)
	s.expectConfirmedOnceInForce(resumeWithin, c)
	once := int64(proto.Size(s.control.machine.Since(0)))
	for _, other := range s.entries[1:] { // less than the full size if updates are compressed
		once = min(once, other.down.passed.Load())
	}
	t.Logf("connection broken after %d bytes; %d received in all; one transfer has %d", received, e.down.passed.Load(), once)
	if got := e.down.passed.Load(); got >= 2*once {
		t.Errorf("%d bytes received, want fewer than two transfers of %d", got, once)
	}
}

// site is a data centre with a control replica and entries.
type site struct {
	t        *testing.T
	net      *network
	control  *controlReplica
	revision uint64 // of the operator's section
	rate     int64  // of the links of the entries, in bytes per second
	entries  []*entry
}

// entry is an entry and what the test saw of it.
type entry struct {
	*Follower
	*host
	name      string
	metrics   tally.TestScope
	sources   int64       // sources that the entry had left or followed when the links became narrow
	installed []change    // versions in force, with the time at which they were first seen
	lapsed    []time.Time // samples at which the entry was not confirmed
}

// change is a version and when it was made or put in force.
type change struct {
	at      time.Time
	version uint64
}

// newSite starts a control replica that has a document. Links are wide until narrow.
func newSite(t *testing.T, routes int) *site {
	t.Cleanup(func() { time.Sleep(3 * time.Second) }) // runs last; the other goroutines end meanwhile
	s := &site{t: t, net: &network{ctx: t.Context(), hosts: map[string]*host{}}, control: newControlReplica(), rate: wideLink}
	s.net.serve(t, s.net.addHost("control"), s.control.register)
	go s.control.run(t.Context())
	if err := s.control.setSection("platform", 0, []byte(platformYAML)); err != nil {
		t.Fatal(err)
	}
	s.change(routes, usualWeight)
	return s
}

// newRunningSite returns a site whose entries follow their sources and have all routes
// in force. The links of the entries are narrow from then on.
func newRunningSite(t *testing.T, routes int) *site { return newRunningSiteOf(t, entryCount, routes) }

// newRunningSiteOf is newRunningSite with a number of entries.
func newRunningSiteOf(t *testing.T, entries, routes int) *site {
	s := newSite(t, routes)
	s.startEntries(entries)
	s.run(30 * time.Second)
	for _, e := range s.entries {
		if !e.Confirmed() || versionInForce(e.Follower) != s.control.machine.Version() {
			t.Fatalf("%s has not the newest version in force on a wide link", e.name)
		}
	}
	s.narrow()
	return s
}

// narrow makes the links of the entries narrow and restarts the counts.
func (s *site) narrow() {
	s.rate = narrowLink
	for _, e := range s.entries {
		e.up.rate.Store(s.rate)
		e.down.rate.Store(s.rate)
		e.up.passed.Store(0)
		e.down.passed.Store(0)
		e.sources = e.sourceChanges()
	}
}

// startEntries starts further entries.
func (s *site) startEntries(count int) {
	for range count {
		e := &entry{name: fmt.Sprintf("entry-%d", len(s.entries)+1), metrics: tally.NewTestScope("", nil)}
		e.host = s.net.addHost(e.name)
		e.up.rate.Store(s.rate)
		e.down.rate.Store(s.rate)
		e.Follower = New(Config{
			Self: &fescuepb.Member{
				Instance: e.name, GrpcAddr: e.name, Region: "south", DataCentre: "dc1", Role: fescuepb.Role_ROLE_ENTRY, Incarnation: 1,
			},
			Sources: []string{"control"}, Store: new(snapshot.Store), Log: logging.Discard(), Metrics: e.metrics,
			Dial: func(addr string) (*grpc.ClientConn, error) { return s.net.dial(e.host, addr) },
		})
		e.now = time.Now
		s.net.serve(s.t, e.host, e.Register)
		start(s.t, e.Follower)
		s.entries = append(s.entries, e)
	}
}

// change replaces the operator's section by one with the given number of routes, of
// which the last has the given weight.
func (s *site) change(routes, weight int) change {
	s.t.Helper()
	if err := s.control.setSection("operator", s.revision, operatorYAML(routes, weight)); err != nil {
		s.t.Fatal(err)
	}
	s.revision++
	return change{time.Now(), s.control.machine.Version()}
}

// run lets time pass and samples the entries meanwhile.
func (s *site) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(sampleInterval)
		for _, e := range s.entries {
			e.sample(time.Now())
		}
	}
}

func (e *entry) sample(now time.Time) {
	if v := versionInForce(e.Follower); len(e.installed) == 0 || v > e.installed[len(e.installed)-1].version {
		e.installed = append(e.installed, change{now, v})
	}
	if !e.Confirmed() {
		e.lapsed = append(e.lapsed, now)
	}
}

// inForceAt returns when a change was first seen in force, or false if it never was.
func (e *entry) inForceAt(c change) (time.Time, bool) {
	for _, i := range e.installed {
		if i.version >= c.version {
			return i.at, true
		}
	}
	return time.Time{}, false
}

// lapsedSince returns for how long the entry was not confirmed after a time.
func (e *entry) lapsedSince(from time.Time) (d time.Duration) {
	for _, at := range e.lapsed {
		if at.After(from) {
			d += sampleInterval
		}
	}
	return d
}

// sourceChanges returns how many sources the entry has left after a failure or
// followed.
func (e *entry) sourceChanges() (n int64) {
	for _, c := range e.metrics.Snapshot().Counters() {
		if c.Name() == "follow_sources_abandoned" || c.Name() == "follow_source_changes" {
			n += c.Value()
		}
	}
	return n
}

// expectInForce checks that entries have each of some changes in force in time.
func (s *site) expectInForce(within time.Duration, entries []*entry, changes ...change) {
	s.t.Helper()
	var slowest time.Duration
	late, never := 0, 0
	for _, c := range changes {
		for _, e := range entries {
			at, ok := e.inForceAt(c)
			switch delay := at.Sub(c.at); {
			case !ok:
				never++
			case delay > within:
				late++
				fallthrough
			default:
				slowest = max(slowest, delay)
			}
		}
	}
	all := len(changes) * len(entries)
	s.t.Logf("%d changes, %d entries: seen in force %d of %d times, at the latest after %v", len(changes), len(entries), all-never, all, slowest)
	if late+never > 0 {
		s.t.Errorf("%d of %d times a version was not in force within %v", late+never, all, within)
	}
}

// expectConfirmed checks that entries were confirmed at all times since from.
func (s *site) expectConfirmed(entries []*entry, from time.Time) {
	s.t.Helper()
	for _, e := range entries {
		if d := e.lapsedSince(from); d > 0 {
			s.t.Errorf("%s not confirmed for %v in all, so it answered 503", e.name, d)
		}
	}
}

// expectConfirmedOnceInForce checks that each entry was confirmed at all times from
// confirmWithin after it had a change in force, or had to have it.
func (s *site) expectConfirmedOnceInForce(within time.Duration, c change) {
	s.t.Helper()
	for _, e := range s.entries {
		from := c.at.Add(within)
		if at, ok := e.inForceAt(c); ok && at.Before(from) {
			from = at
		}
		s.expectConfirmed([]*entry{e}, from.Add(confirmWithin))
	}
}

// expectSameSources checks that entries follow the sources that they had before.
func (s *site) expectSameSources(entries []*entry) {
	s.t.Helper()
	for _, e := range entries {
		if n := e.sourceChanges() - e.sources; n > 0 {
			s.t.Errorf("%s left or changed its source %d times", e.name, n)
		}
	}
}
