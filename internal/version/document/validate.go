package document

import (
	"regexp"
	"sort"
	"strings"
	"time"
)

// Allowed ranges of the document's fields.
const (
	maxSlotsPerTarget = 10_000
	maxQueueLimit     = 100_000
	maxDispatchShards = 64
	maxCap            = 10_000_000
	maxBodyBytes      = 1 << 30
	minDeadline       = time.Millisecond
	maxDeadline       = 10 * time.Minute
	minTTL            = 100 * time.Millisecond
	maxTTL            = time.Hour
	maxRetention      = 24 * time.Hour
	maxWarmup         = time.Hour
	maxLinkDelayMs    = 10_000
	maxRetryAttempts  = 10
	maxPriority       = 1000
	maxWeight         = 1_000_000
	maxConnections    = 1_000_000
	maxColdPerSecond  = 1e6
	minHeaderBytes    = 1 << 10
	maxHeaderBytes    = 1 << 20
)

var nameRE = regexp.MustCompile(`^[a-z0-9][a-z0-9_.-]{0,62}$`)

// Validate checks the whole document: each section alone and the references
// between sections. The problems are ordered by file and line.
func Validate(sources []*Source) []Problem {
	v := &validator{}
	v.collect(sources)
	for _, s := range sources {
		v.section(s)
	}
	sort.SliceStable(v.problems, func(i, j int) bool {
		a, b := v.problems[i], v.problems[j]
		if a.File != b.File {
			return a.File < b.File
		}
		return a.Line < b.Line
	})
	return v.problems
}

type validator struct {
	problems []Problem
	src      *Source
	dcs      map[string]string // data centre to region
	regions  map[string]bool
	services map[string]string // service to team
	shifts   map[string]string // shift to team

	guardedServices map[string]bool   // services of all sections with guarded_slots
	hostPlaces      map[string]string // host and prefix to the route's name
	callersOf       string            // team whose section limits callers
}

func (v *validator) collect(sources []*Source) {
	v.dcs = map[string]string{}
	v.regions = map[string]bool{}
	v.services = map[string]string{}
	v.shifts = map[string]string{}
	v.guardedServices = map[string]bool{}
	v.hostPlaces = map[string]string{}
	for _, s := range sources {
		for _, svc := range s.Section.Services {
			v.guardedServices[svc.Name] = v.guardedServices[svc.Name] || svc.GuardedSlots
		}
		if s.Section.Team != PlatformTeam {
			continue
		}
		for _, r := range s.Section.Regions {
			v.regions[r.Name] = true
			for _, dc := range r.DataCentres {
				v.dcs[dc] = r.Name
			}
		}
	}
}

func (v *validator) add(path []any, format string, args ...any) {
	v.problems = append(v.problems, v.src.File.Problem(path, format, args...))
}

func (v *validator) name(value string, path ...any) {
	if !nameRE.MatchString(value) {
		v.add(path, "%q is not a name: 1 to 63 of a-z, 0-9, '_', '.', '-', starting with a letter or digit", value)
	}
}

func inRange[T int | int64](v *validator, value, low, high T, path ...any) {
	if value < low || value > high {
		v.add(path, "%d is outside the allowed range %d to %d", value, low, high)
	}
}

func (v *validator) duration(value Duration, low, high time.Duration, path ...any) {
	if value.D() < low || value.D() > high {
		v.add(path, "%s is outside the allowed range %s to %s", value.D(), low, high)
	}
}

func (v *validator) section(s *Source) {
	v.src = s
	sec := s.Section
	v.name(sec.Team, "team")
	if sec.Team == PlatformTeam {
		v.platform(sec)
	} else {
		v.onlyPlatform(sec)
	}
	for i, svc := range sec.Services {
		v.service(sec.Team, svc, i)
	}
	for i, sh := range sec.Shifts {
		v.shift(sec.Team, sh, i)
	}
	for i, d := range sec.Drains {
		v.drain(sec.Team, d, i)
	}
	v.hostRoutes(sec)
	if sec.Callers != nil {
		if v.callersOf != "" {
			v.add([]any{"callers"}, "the section of team %q sets this already", v.callersOf)
		}
		v.callersOf = sec.Team
		v.callers(sec.Callers.WithDefaults())
	}
}

func (v *validator) onlyPlatform(sec *Section) {
	const message = "only the section of team %q may set this"
	if len(sec.Regions) > 0 {
		v.add([]any{"regions"}, message, PlatformTeam)
	}
	if len(sec.Links) > 0 {
		v.add([]any{"links"}, message, PlatformTeam)
	}
	if sec.Limits != nil {
		v.add([]any{"limits"}, message, PlatformTeam)
	}
}

func (v *validator) platform(sec *Section) {
	if len(sec.Regions) == 0 {
		v.add([]any{"regions"}, "at least one region is required")
	}
	regions := map[string]bool{}
	dcs := map[string]bool{}
	for i, r := range sec.Regions {
		v.name(r.Name, "regions", i, "name")
		if regions[r.Name] {
			v.add([]any{"regions", i, "name"}, "region %q is listed twice", r.Name)
		}
		regions[r.Name] = true
		if len(r.DataCentres) == 0 {
			v.add([]any{"regions", i, "data_centres"}, "at least one data centre is required")
		}
		for j, dc := range r.DataCentres {
			v.name(dc, "regions", i, "data_centres", j)
			if dcs[dc] {
				v.add([]any{"regions", i, "data_centres", j}, "data centre %q is listed twice", dc)
			}
			dcs[dc] = true
		}
	}
	for i, l := range sec.Links {
		v.link(l, i)
	}
	if l := sec.Limits; l != nil {
		v.limits(l.WithDefaults())
	}
}

func (v *validator) link(l Link, i int) {
	if !v.regions[l.From] {
		v.add([]any{"links", i, "from"}, "region %q does not exist", l.From)
	}
	if !v.regions[l.To] {
		v.add([]any{"links", i, "to"}, "region %q does not exist", l.To)
	}
	if l.From == l.To {
		v.add([]any{"links", i}, "a link must join two different regions")
	}
	if l.BytesPerSecond < 1 {
		v.add([]any{"links", i, "bytes_per_second"}, "%d is outside the allowed range: at least 1", l.BytesPerSecond)
	}
	inRange(v, l.DelayMs, 0, maxLinkDelayMs, "links", i, "delay_ms")
}

func (v *validator) limits(l Limits) {
	v.duration(l.LongestDeadline, minDeadline, maxDeadline, "limits", "longest_deadline")
	v.duration(l.LookupTTL, minTTL, maxTTL, "limits", "lookup_ttl")
	v.duration(l.OnceRetention, time.Second, maxRetention, "limits", "once_retention")
}

func (v *validator) service(team string, svc Service, i int) {
	at := func(path ...any) []any { return append([]any{"services", i}, path...) }
	v.name(svc.Name, at("name")...)
	if owner, ok := v.services[svc.Name]; ok {
		v.add(at("name"), "service %q already exists in the section of team %q", svc.Name, owner)
	}
	v.services[svc.Name] = team
	full := svc.WithDefaults()
	if svc.GuardedSlots {
		v.guarded(svc, at)
	} else {
		v.places(svc.DataCentres, at("data_centres"))
		inRange(v, svc.SlotsPerTarget, 1, maxSlotsPerTarget, at("slots_per_target")...)
		v.routes(full.Routes, at("routes"))
	}
	inRange(v, full.QueueLimit, 1, maxQueueLimit, at("queue_limit")...)
	inRange(v, full.DispatchShards, 1, maxDispatchShards, at("dispatch_shards")...)
	inRange(v, full.LongShare, 1, 100, at("long_share_percent")...)
	inRange(v, full.MaxBodyBytes, 1, maxBodyBytes, at("max_body_bytes")...)
	v.duration(full.DefaultDeadline, minDeadline, maxDeadline, at("default_deadline")...)
	v.duration(full.MaxDeadline, 0, maxDeadline, at("max_deadline")...)
	v.duration(full.Warmup, 0, maxWarmup, at("warmup")...)
	inRange(v, full.Retry.BudgetPercent, 0, 100, at("retry", "budget_percent")...)
	inRange(v, full.Retry.MaxAttempts, 1, maxRetryAttempts, at("retry", "max_attempts")...)
	if h := full.Hedge; h != nil {
		inRange(v, h.BudgetPercent, 0, 100, at("hedge", "budget_percent")...)
		v.duration(h.MinDelay, 0, maxDeadline, at("hedge", "min_delay")...)
	}
}

func (v *validator) places(dcs []string, path []any) {
	if len(dcs) == 0 {
		v.add(path, "at least one data centre is required")
	}
	seen := map[string]bool{}
	for j, dc := range dcs {
		at := append(append([]any{}, path...), j)
		if _, ok := v.dcs[dc]; !ok {
			v.add(at, "data centre %q does not exist in the section of team %q", dc, PlatformTeam)
		}
		if seen[dc] {
			v.add(at, "data centre %q is listed twice", dc)
		}
		seen[dc] = true
	}
}

func (v *validator) routes(routes []Route, path []any) {
	if len(routes) == 0 {
		v.add(path, "at least one route is required")
	}
	for j, r := range routes {
		at := func(field string) []any { return append(append([]any{}, path...), j, field) }
		if !strings.HasPrefix(r.Path, "/") {
			v.add(at("path"), "%q must start with '/'", r.Path)
		}
		if r.Class != Short && r.Class != Long {
			v.add(at("class"), "%q is not one of %q, %q", r.Class, Short, Long)
		}
		if r.Once && r.Safe {
			v.add(at("safe"), "a route that must run at most once cannot be safe to hedge")
		}
		for _, m := range r.Methods {
			if m == "" || m != strings.ToUpper(m) {
				v.add(at("methods"), "%q is not an upper-case HTTP method", m)
			}
		}
	}
}

func (v *validator) shift(team string, sh Shift, i int) {
	v.name(sh.Name, "shifts", i, "name")
	if owner, ok := v.shifts[sh.Name]; ok {
		v.add([]any{"shifts", i, "name"}, "shift %q already exists in the section of team %q", sh.Name, owner)
	}
	v.shifts[sh.Name] = team
	inRange(v, sh.Cap, 0, maxCap, "shifts", i, "cap")
}

func (v *validator) drain(team string, d Drain, i int) {
	if d == (Drain{}) {
		v.add([]any{"drains", i}, "at least one of data_centre, service, target, instance is required")
	}
	if _, ok := v.dcs[d.DataCentre]; d.DataCentre != "" && !ok {
		v.add([]any{"drains", i, "data_centre"}, "data centre %q does not exist", d.DataCentre)
	}
	if team == PlatformTeam {
		return
	}
	if d.Instance != "" {
		v.add([]any{"drains", i, "instance"}, "only the section of team %q may drain an instance", PlatformTeam)
		return
	}
	if d.Service == "" {
		v.add([]any{"drains", i, "service"}, "a value is required: a team may only drain its own services")
		return
	}
	if !v.ownsService(d.Service) {
		v.add([]any{"drains", i, "service"}, "a team may only drain its own services; %q is not one of them", d.Service)
	}
}

func (v *validator) ownsService(name string) bool {
	for _, svc := range v.src.Section.Services {
		if svc.Name == name {
			return true
		}
	}
	return false
}
