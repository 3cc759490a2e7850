// Package snapshot compiles the steering document, the members and the targets
// into an immutable routing snapshot, which is replaced atomically.
package snapshot

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
	"google.golang.org/protobuf/proto"
)

// Snapshot holds all data that routing depends on, at one version. It is
// immutable after Build.
type Snapshot struct {
	Version  uint64
	Services map[string]*Service
	Shifts   map[string]document.Shift
	Limits   document.Limits
	Links    []document.Link
	Blocks   *fescuepb.BlockTable
	Suspects []*fescuepb.Suspect // requests that may crash targets

	regionOf     map[string]string   // data centre to region
	dcsOf        map[string][]string // region to data centres
	regions      []string            // sorted
	members      map[string]*fescuepb.Member
	ordered      []*fescuepb.Member            // members, ordered by name
	entries      map[string][]*fescuepb.Member // data centre to entry instances, ordered by name
	drains       []document.Drain
	hostRoutes   map[string]*hostTable
	targets      map[serviceLocation][]*fescuepb.Target
	CallerLimits document.CallerLimits
}

// serviceLocation identifies a service in one data centre.
type serviceLocation struct{ service, dc string }

// Service is a service of the document with its defaults filled in.
type Service struct {
	document.Service
	Team   string
	dcs    map[string]bool
	routes []*Route
}

// RunsIn reports whether the service runs in data centre dc.
func (s *Service) RunsIn(dc string) bool { return s.dcs[dc] }

// Route returns the route with the longest matching path prefix that allows the
// method, or nil.
func (s *Service) Route(method, path string) *Route {
	var best *Route
	for _, r := range s.routes {
		if !strings.HasPrefix(path, r.Prefix) || !r.allowsMethod(method) {
			continue
		}
		if best == nil || len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	return best
}

// LongestDeadline returns the longest deadline that a request to the service may
// have: the service's own maximum, but at most the global one.
func (s *Snapshot) LongestDeadline(svc *Service) time.Duration {
	longest := s.Limits.LongestDeadline.AsDuration()
	if serviceMax := svc.MaxDeadline.AsDuration(); serviceMax > 0 {
		return min(serviceMax, longest)
	}
	return longest
}

// Build compiles a snapshot without targets. It returns an error of kind
// InvalidDocument if a section does not parse. The document as a whole is not
// validated again, since it was validated when it was accepted.
func Build(version uint64, sections []*fescuepb.Section, members []*fescuepb.Member, blocks *fescuepb.BlockTable) (*Snapshot, error) {
	return new(Builder).Build(Content{Version: version, Sections: sections, Members: members, Blocks: blocks})
}

// Content is the input that a snapshot is compiled from.
type Content struct {
	Version  uint64
	Sections []*fescuepb.Section
	Routes   []*fescuepb.HostRoute // that Sections lack; must not be modified later
	Members  []*fescuepb.Member
	Targets  []*fescuepb.Target
	Blocks   *fescuepb.BlockTable
	Suspects []*fescuepb.Suspect
}

// Builder compiles successive snapshots. It caches the parsed sections of the
// last one, because parsing all sections again takes 0.4 ms of CPU time per
// section of 20 shifts, which is 166 ms per change with 400 sections, and the
// compiled host routes. It is not safe for concurrent use.
type Builder struct {
	parsed map[string]parsedSection
	routes routeCache
}

type parsedSection struct {
	revision    uint64
	routesApart bool // the content lacks the host routes
	section     *document.Section
}

// Build compiles a snapshot. It returns an error of kind InvalidDocument if a
// section does not parse.
func (b *Builder) Build(c Content) (*Snapshot, error) {
	s := &Snapshot{
		Version:  c.Version,
		Services: map[string]*Service{},
		Shifts:   map[string]document.Shift{},
		Blocks:   c.Blocks,
		Suspects: c.Suspects,
		regionOf: map[string]string{},
		dcsOf:    map[string][]string{},
		members:  map[string]*fescuepb.Member{},
		entries:  map[string][]*fescuepb.Member{},
		targets:  map[serviceLocation][]*fescuepb.Target{},
	}
	s.Limits = (*document.Limits)(nil).WithDefaults()
	s.CallerLimits = (*document.CallerLimits)(nil).WithDefaults()
	parsed := map[string]parsedSection{}
	for _, pb := range c.Sections {
		if pb.Deleted {
			continue
		}
		sec, err := b.parse(pb)
		if err != nil {
			return nil, err
		}
		parsed[pb.Team] = parsedSection{pb.Revision, pb.RoutesApart, sec}
		s.addSection(sec)
	}
	b.parsed = parsed
	s.hostRoutes = b.routes.compile(c.Sections, c.Routes, parsed)
	for _, m := range c.Members {
		s.members[m.Instance] = proto.Clone(m).(*fescuepb.Member)
	}
	for _, t := range c.Targets {
		location := serviceLocation{t.Service, t.DataCentre}
		s.targets[location] = append(s.targets[location], t)
	}
	s.resolveGuardedDataCentres()
	s.sortMembers()
	s.regions = slices.Sorted(maps.Keys(s.dcsOf))
	return s, nil
}

// sortMembers orders the members once, since requests and look-ups go through them.
func (s *Snapshot) sortMembers() {
	s.ordered = slices.SortedFunc(maps.Values(s.members), func(a, b *fescuepb.Member) int { return cmp.Compare(a.Instance, b.Instance) })
	for _, m := range s.ordered {
		if m.Role == fescuepb.Role_ROLE_ENTRY {
			s.entries[m.DataCentre] = append(s.entries[m.DataCentre], m)
		}
	}
}

// resolveGuardedDataCentres sets the data centres of the services with guarded
// slots, which name none in the document: they run in every data centre of the
// document and in any other that has one of their targets.
func (s *Snapshot) resolveGuardedDataCentres() {
	for _, svc := range s.Services {
		if !svc.GuardedSlots {
			continue
		}
		for dc := range s.regionOf {
			svc.dcs[dc] = true
		}
		for location := range s.targets {
			if location.service == svc.Name {
				svc.dcs[location.dc] = true
			}
		}
		svc.DataCentres = slices.Sorted(maps.Keys(svc.dcs))
	}
}

// parse returns the parsed section. It reuses the one of the last snapshot if
// the revision and the form are the same. Accepted sections have revisions from 1, so revision
// 0 does not identify the content and such a section is always parsed.
func (b *Builder) parse(pb *fescuepb.Section) (*document.Section, error) {
	if p, ok := b.parsed[pb.Team]; ok && p.revision == pb.Revision && p.routesApart == pb.RoutesApart && pb.Revision > 0 {
		return p.section, nil
	}
	src, problems := document.Parse(pb.Team, pb.Yaml)
	if len(problems) > 0 {
		return nil, errkind.New(errkind.InvalidDocument, "section of team %q: %s", pb.Team, problems[0])
	}
	return src.Section, nil
}

func (s *Snapshot) addSection(sec *document.Section) {
	if sec.Team == document.PlatformTeam {
		s.Limits = sec.Limits.WithDefaults()
		s.Links = sec.Links
	}
	for _, r := range sec.Regions {
		s.dcsOf[r.Name] = r.DataCentres
		for _, dc := range r.DataCentres {
			s.regionOf[dc] = r.Name
		}
	}
	for _, svc := range sec.Services {
		c := &Service{Service: svc.WithDefaults(), Team: sec.Team, dcs: map[string]bool{}}
		for _, dc := range svc.DataCentres {
			c.dcs[dc] = true
		}
		for i := range c.Routes {
			c.routes = append(c.routes, newServiceRoute(c, &c.Routes[i]))
		}
		s.Services[svc.Name] = c
	}
	if sec.CallerLimits != nil {
		s.CallerLimits = sec.CallerLimits.WithDefaults()
	}
	for _, sh := range sec.Shifts {
		s.Shifts[sh.Name] = sh
	}
	s.drains = append(s.drains, sec.Drains...)
}

// Region returns the region of data centre dc, or "".
func (s *Snapshot) Region(dc string) string { return s.regionOf[dc] }

// Regions returns the regions, sorted. The caller must not change the result.
func (s *Snapshot) Regions() []string { return s.regions }

// DataCentres returns the data centres of a region.
func (s *Snapshot) DataCentres(region string) []string { return s.dcsOf[region] }

// Member returns the member with this instance name, or nil.
func (s *Snapshot) Member(instance string) *fescuepb.Member { return s.members[instance] }

// Members returns every member, ordered by instance. The caller must not change the
// result.
func (s *Snapshot) Members() []*fescuepb.Member { return s.ordered }

// Entries returns the committed entry instances of a data centre, ordered by
// instance. Leaving ones are included.
func (s *Snapshot) Entries(dc string) []*fescuepb.Member { return s.entries[dc] }

// EntryCount returns the number of committed entry instances.
func (s *Snapshot) EntryCount() int {
	n := 0
	for _, list := range s.entries {
		n += len(list)
	}
	return n
}

// DispatchOrder returns the entry instances of dc that may dispatch the service,
// in order of preference by rendezvous hashing. Leaving and drained instances
// are excluded.
func (s *Snapshot) DispatchOrder(service, dc string) []*fescuepb.Member {
	var out []*fescuepb.Member
	for _, m := range s.entries[dc] {
		if !m.Leaving && !s.InstanceDrained(m.Instance) {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		return rendezvousScore(service, out[i].Instance) > rendezvousScore(service, out[j].Instance)
	})
	return out
}

// rendezvousScore returns the weight of an instance for a service in rendezvous
// hashing.
func rendezvousScore(service, instance string) uint64 {
	return xxhash.Sum64String(service + "\x00" + instance)
}

// Drains returns the drains of all sections.
func (s *Snapshot) Drains() []document.Drain { return s.drains }

// InstanceDrained reports whether the document drains an entry instance.
func (s *Snapshot) InstanceDrained(instance string) bool {
	for _, d := range s.drains {
		if d.Instance == instance {
			return true
		}
	}
	return false
}

// ServiceDrained reports whether the document drains the service in dc as a
// whole. A drain of a single target does not count.
func (s *Snapshot) ServiceDrained(service, dc string) bool {
	return s.TargetDrained(service, dc, "")
}

// TargetDrained reports whether the document drains a target of the service in
// dc, either alone or together with the service or the data centre.
func (s *Snapshot) TargetDrained(service, dc, target string) bool {
	for _, d := range s.drains {
		if d.Instance == "" && drainFieldMatches(d.Service, service) && drainFieldMatches(d.DataCentre, dc) && drainFieldMatches(d.Target, target) {
			return true
		}
	}
	return false
}

// drainFieldMatches reports whether a field of a drain matches value. An empty
// field matches every value.
func drainFieldMatches(field, value string) bool { return field == "" || field == value }

// Store holds the current snapshot. It is safe for concurrent use.
type Store struct {
	current atomic.Pointer[Snapshot]
	mu      sync.Mutex
	changed chan struct{}
}

// Load returns the current snapshot, or nil before the first one.
func (st *Store) Load() *Snapshot { return st.current.Load() }

// Changed returns a channel that is closed when the snapshot is next replaced.
// Call it before Load, so that no change is missed in between.
func (st *Store) Changed() <-chan struct{} {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.changed == nil {
		st.changed = make(chan struct{})
	}
	return st.changed
}

// Swap makes s the current snapshot if its version is higher than the current
// one's, and reports whether it did. The version therefore never decreases.
func (st *Store) Swap(s *Snapshot) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if old := st.current.Load(); old != nil && old.Version >= s.Version {
		return false
	}
	st.current.Store(s)
	if st.changed != nil {
		close(st.changed)
		st.changed = nil
	}
	return true
}

// Assumed one-way delays between data centres, for which the document states no
// link delay.
const (
	sameRegionDelayMicros  = 1_000
	otherRegionDelayMicros = 100_000
)

// OneWayDelayMicros estimates the one-way delay from one data centre to another
// in microseconds, from the links of the steering document. It is 0 if the two
// are the same.
func (s *Snapshot) OneWayDelayMicros(from, to string) int {
	a, b := s.regionOf[from], s.regionOf[to]
	switch {
	case from == to:
		return 0
	case a == b && a != "":
		return sameRegionDelayMicros
	}
	for _, l := range s.Links {
		if l.From == a && l.To == b && l.DelayMs > 0 {
			return l.DelayMs * 1000
		}
	}
	return otherRegionDelayMicros
}

// ServiceNames returns the names of the services, sorted.
func (s *Snapshot) ServiceNames() []string {
	out := make([]string, 0, len(s.Services))
	for name := range s.Services {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}
