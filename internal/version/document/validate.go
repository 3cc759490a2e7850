package document

import (
	"regexp"
	"sort"
	"strings"
	"time"
)

// Bounds of the document's fields that hold for listed targets as well.
const (
	// MaxSlotsPerTarget bounds the slots of a target. Targets of the deployments have 3
	// to 7, and accept about 330 connections.
	MaxSlotsPerTarget = 10_000
	// MaxWarmup bounds how long a target is warmed up or cold after its start. Targets
	// of the deployments are cold for some seconds.
	MaxWarmup = time.Hour
)

// Bounds of the document's fields.
const (
	maxQueueLimit         = 100_000
	maxDispatchShards     = 64
	maxCap                = 10_000_000
	maxBodyBytes          = 1 << 30
	minDeadline           = time.Millisecond
	maxDeadline           = 10 * time.Minute
	minTTL                = 100 * time.Millisecond
	maxTTL                = time.Hour
	maxRetention          = 24 * time.Hour
	maxLinkDelayMs        = 10_000
	maxRetryAttempts      = 10
	maxPriority           = 1000
	maxWeight             = 1_000_000
	maxConnections        = 1_000_000
	maxColdStartPerSecond = 1e6
	minHeaderBytes        = 1 << 10
	maxHeaderBytes        = 1 << 20
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_.-]{0,62}$`)

// Validate validates the whole document: each section and the references between
// sections. The problems are ordered by file and line.
func Validate(sources []*Source) []Problem {
	v := &validator{}
	v.collect(sources)
	for _, s := range sources {
		v.checkSection(s)
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

// validator collects the problems of one document.
type validator struct {
	problems      []Problem
	src           *Source
	regionOfDC    map[string]string // data centre to region
	regions       map[string]bool
	teamOfService map[string]string // service to team
	teamOfShift   map[string]string // shift to team

	guardedServices   map[string]bool   // the services of all sections that have guarded_slots
	routeOfHostPrefix map[string]string // host and prefix, concatenated, to the name of the route
	callerLimitsTeam  string            // team whose section sets the caller limits
}

// collect gathers the names that sections may refer to in other sections.
func (v *validator) collect(sources []*Source) {
	v.regionOfDC = map[string]string{}
	v.regions = map[string]bool{}
	v.teamOfService = map[string]string{}
	v.teamOfShift = map[string]string{}
	v.guardedServices = map[string]bool{}
	v.routeOfHostPrefix = map[string]string{}
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
				v.regionOfDC[dc] = r.Name
			}
		}
	}
}

// addProblem records a problem of the field at path in the current section.
func (v *validator) addProblem(path []any, format string, args ...any) {
	v.problems = append(v.problems, v.src.File.Problem(path, format, args...))
}

// checkName checks that value is a valid name.
func (v *validator) checkName(value string, path ...any) {
	if !namePattern.MatchString(value) {
		v.addProblem(path, "%q is not a name: 1 to 63 of a-z, 0-9, '_', '.', '-', starting with a letter or digit", value)
	}
}

func checkRange[T int | int64](v *validator, value, low, high T, path ...any) {
	if value < low || value > high {
		v.addProblem(path, "%d is outside the allowed range %d to %d", value, low, high)
	}
}

func (v *validator) checkDuration(value Duration, low, high time.Duration, path ...any) {
	if value.AsDuration() < low || value.AsDuration() > high {
		v.addProblem(path, "%s is outside the allowed range %s to %s", value.AsDuration(), low, high)
	}
}

func (v *validator) checkSection(s *Source) {
	v.src = s
	sec := s.Section
	v.checkName(sec.Team, "team")
	if sec.Team == PlatformTeam {
		v.checkPlatformSection(sec)
	} else {
		v.rejectPlatformFields(sec)
	}
	for i, svc := range sec.Services {
		v.checkService(sec.Team, svc, i)
	}
	for i, sh := range sec.Shifts {
		v.checkShift(sec.Team, sh, i)
	}
	for i, d := range sec.Drains {
		v.checkDrain(sec.Team, d, i)
	}
	v.checkHostRoutes(sec)
	if sec.CallerLimits != nil {
		if v.callerLimitsTeam != "" {
			v.addProblem([]any{"callers"}, "the section of team %q sets this already", v.callerLimitsTeam)
		}
		v.callerLimitsTeam = sec.Team
		v.checkCallerLimits(sec.CallerLimits.WithDefaults())
	}
}

// rejectPlatformFields reports the fields that only the section of the platform
// team may set.
func (v *validator) rejectPlatformFields(sec *Section) {
	const message = "only the section of team %q may set this"
	if len(sec.Regions) > 0 {
		v.addProblem([]any{"regions"}, message, PlatformTeam)
	}
	if len(sec.Links) > 0 {
		v.addProblem([]any{"links"}, message, PlatformTeam)
	}
	if sec.Limits != nil {
		v.addProblem([]any{"limits"}, message, PlatformTeam)
	}
}

func (v *validator) checkPlatformSection(sec *Section) {
	if len(sec.Regions) == 0 {
		v.addProblem([]any{"regions"}, "at least one region is required")
	}
	regions := map[string]bool{}
	dcs := map[string]bool{}
	for i, r := range sec.Regions {
		v.checkName(r.Name, "regions", i, "name")
		if regions[r.Name] {
			v.addProblem([]any{"regions", i, "name"}, "region %q is listed twice", r.Name)
		}
		regions[r.Name] = true
		if len(r.DataCentres) == 0 {
			v.addProblem([]any{"regions", i, "data_centres"}, "at least one data centre is required")
		}
		for j, dc := range r.DataCentres {
			v.checkName(dc, "regions", i, "data_centres", j)
			if dcs[dc] {
				v.addProblem([]any{"regions", i, "data_centres", j}, "data centre %q is listed twice", dc)
			}
			dcs[dc] = true
		}
	}
	for i, l := range sec.Links {
		v.checkLink(l, i)
	}
	if l := sec.Limits; l != nil {
		v.checkLimits(l.WithDefaults())
	}
}

func (v *validator) checkLink(l Link, i int) {
	if !v.regions[l.From] {
		v.addProblem([]any{"links", i, "from"}, "region %q does not exist", l.From)
	}
	if !v.regions[l.To] {
		v.addProblem([]any{"links", i, "to"}, "region %q does not exist", l.To)
	}
	if l.From == l.To {
		v.addProblem([]any{"links", i}, "a link must join two different regions")
	}
	if l.BytesPerSecond < 1 {
		v.addProblem([]any{"links", i, "bytes_per_second"}, "%d is outside the allowed range: at least 1", l.BytesPerSecond)
	}
	checkRange(v, l.DelayMs, 0, maxLinkDelayMs, "links", i, "delay_ms")
}

func (v *validator) checkLimits(l Limits) {
	v.checkDuration(l.LongestDeadline, minDeadline, maxDeadline, "limits", "longest_deadline")
	v.checkDuration(l.LookupTTL, minTTL, maxTTL, "limits", "lookup_ttl")
	v.checkDuration(l.IdempotencyRetention, time.Second, maxRetention, "limits", "once_retention")
}

func (v *validator) checkService(team string, svc Service, i int) {
	at := func(path ...any) []any { return append([]any{"services", i}, path...) }
	v.checkName(svc.Name, at("name")...)
	if owner, ok := v.teamOfService[svc.Name]; ok {
		v.addProblem(at("name"), "service %q already exists in the section of team %q", svc.Name, owner)
	}
	v.teamOfService[svc.Name] = team
	withDefaults := svc.WithDefaults()
	if svc.GuardedSlots {
		v.checkGuardedService(svc, at)
	} else {
		v.checkDataCentres(svc.DataCentres, at("data_centres"))
		checkRange(v, svc.SlotsPerTarget, 1, MaxSlotsPerTarget, at("slots_per_target")...)
		v.checkRoutes(withDefaults.Routes, at("routes"))
	}
	checkRange(v, withDefaults.QueueLimit, 1, maxQueueLimit, at("queue_limit")...)
	checkRange(v, withDefaults.DispatchShards, 1, maxDispatchShards, at("dispatch_shards")...)
	checkRange(v, withDefaults.LongSharePercent, 1, 100, at("long_share_percent")...)
	checkRange(v, withDefaults.MaxBodyBytes, 1, maxBodyBytes, at("max_body_bytes")...)
	v.checkDuration(withDefaults.DefaultDeadline, minDeadline, maxDeadline, at("default_deadline")...)
	v.checkDuration(withDefaults.MaxDeadline, 0, maxDeadline, at("max_deadline")...)
	v.checkDuration(withDefaults.Warmup, 0, MaxWarmup, at("warmup")...)
	checkRange(v, withDefaults.Retry.BudgetPercent, 0, 100, at("retry", "budget_percent")...)
	checkRange(v, withDefaults.Retry.MaxAttempts, 1, maxRetryAttempts, at("retry", "max_attempts")...)
	if h := withDefaults.Hedge; h != nil {
		checkRange(v, h.BudgetPercent, 0, 100, at("hedge", "budget_percent")...)
		v.checkDuration(h.MinDelay, 0, maxDeadline, at("hedge", "min_delay")...)
	}
}

// checkDataCentres checks the data centres that a service names.
func (v *validator) checkDataCentres(dcs []string, path []any) {
	if len(dcs) == 0 {
		v.addProblem(path, "at least one data centre is required")
	}
	seen := map[string]bool{}
	for j, dc := range dcs {
		at := append(append([]any{}, path...), j)
		if _, ok := v.regionOfDC[dc]; !ok {
			v.addProblem(at, "data centre %q does not exist in the section of team %q", dc, PlatformTeam)
		}
		if seen[dc] {
			v.addProblem(at, "data centre %q is listed twice", dc)
		}
		seen[dc] = true
	}
}

func (v *validator) checkRoutes(routes []Route, path []any) {
	if len(routes) == 0 {
		v.addProblem(path, "at least one route is required")
	}
	for j, r := range routes {
		at := func(field string) []any { return append(append([]any{}, path...), j, field) }
		if !strings.HasPrefix(r.Path, "/") {
			v.addProblem(at("path"), "%q must start with '/'", r.Path)
		}
		if r.Class != Short && r.Class != Long {
			v.addProblem(at("class"), "%q is not one of %q, %q", r.Class, Short, Long)
		}
		if r.AtMostOnce && r.Safe {
			v.addProblem(at("safe"), "a route that must run at most once cannot be safe to hedge")
		}
		for _, m := range r.Methods {
			if m == "" || m != strings.ToUpper(m) {
				v.addProblem(at("methods"), "%q is not an upper-case HTTP method", m)
			}
		}
	}
}

func (v *validator) checkShift(team string, sh Shift, i int) {
	v.checkName(sh.Name, "shifts", i, "name")
	if owner, ok := v.teamOfShift[sh.Name]; ok {
		v.addProblem([]any{"shifts", i, "name"}, "shift %q already exists in the section of team %q", sh.Name, owner)
	}
	v.teamOfShift[sh.Name] = team
	checkRange(v, sh.Cap, 0, maxCap, "shifts", i, "cap")
}

// checkDrain checks a drain. Only the platform team may drain entry instances and
// services of other teams.
func (v *validator) checkDrain(team string, d Drain, i int) {
	if d == (Drain{}) {
		v.addProblem([]any{"drains", i}, "at least one of data_centre, service, target, instance is required")
	}
	if _, ok := v.regionOfDC[d.DataCentre]; d.DataCentre != "" && !ok {
		v.addProblem([]any{"drains", i, "data_centre"}, "data centre %q does not exist", d.DataCentre)
	}
	if team == PlatformTeam {
		return
	}
	if d.Instance != "" {
		v.addProblem([]any{"drains", i, "instance"}, "only the section of team %q may drain an instance", PlatformTeam)
		return
	}
	if d.Service == "" {
		v.addProblem([]any{"drains", i, "service"}, "a value is required: a team may only drain its own services")
		return
	}
	if !v.ownsService(d.Service) {
		v.addProblem([]any{"drains", i, "service"}, "a team may only drain its own services; %q is not one of them", d.Service)
	}
}

// ownsService reports whether the current section defines the service.
func (v *validator) ownsService(name string) bool {
	for _, svc := range v.src.Section.Services {
		if svc.Name == name {
			return true
		}
	}
	return false
}
