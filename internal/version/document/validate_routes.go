package document

import (
	"regexp"
	"strings"
	"time"
)

// hostPattern matches the value of a Host header without a port.
var hostPattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9_.-]{0,252})$`)

// checkGuardedService checks the fields of a service with guarded_slots.
func (v *validator) checkGuardedService(svc Service, at func(...any) []any) {
	const message = "must be left out with guarded_slots"
	if len(svc.DataCentres) > 0 {
		v.addProblem(at("data_centres"), message)
	}
	if svc.SlotsPerTarget != 0 {
		v.addProblem(at("slots_per_target"), message)
	}
	if len(svc.Routes) > 0 {
		v.addProblem(at("routes"), message)
	}
	if !strings.HasPrefix(svc.HealthPath, "/") {
		v.addProblem(at("health_path"), "%q must start with '/'", svc.HealthPath)
	}
	if svc.Protocol != "" && svc.Protocol != ProtocolHTTP1 {
		v.addProblem(at("protocol"), "%q is not supported; %q is", svc.Protocol, ProtocolHTTP1)
	}
	checkRange(v, svc.MaxConnections, 0, maxConnections, at("max_connections")...)
	if c := svc.ColdStart; c != nil {
		v.checkDuration(c.Period, 0, MaxWarmup, at("cold", "for")...)
		if !(c.PerSecond >= 0 && c.PerSecond <= maxColdStartPerSecond) {
			v.addProblem(at("cold", "per_second"), "%v is outside the allowed range 0 to %v", c.PerSecond, maxColdStartPerSecond)
		}
	}
}

// checkHostRoutes checks the routes by host of a section. They may name services
// of any section, so collect must have run for all sections before.
func (v *validator) checkHostRoutes(sec *Section) {
	names := map[string]bool{}
	for i, r := range sec.HostRoutes {
		at := func(path ...any) []any { return append([]any{"host_routes", i}, path...) }
		if r.Name == "" || names[r.Name] {
			v.addProblem(at("name"), "%q is empty or used by another route", r.Name)
		}
		names[r.Name] = true
		v.checkHostRoute(r, at)
	}
}

func (v *validator) checkHostRoute(r HostRoute, at func(...any) []any) {
	if !hostPattern.MatchString(r.Host) {
		v.addProblem(at("host"), "%q is not a host name", r.Host)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		v.addProblem(at("prefix"), "%q must start and end with '/'", r.Prefix)
	}
	hostPrefix := r.Host + r.Prefix
	if owner, ok := v.routeOfHostPrefix[hostPrefix]; ok {
		v.addProblem(at("prefix"), "host %q and prefix %q already belong to route %q", r.Host, r.Prefix, owner)
	}
	v.routeOfHostPrefix[hostPrefix] = r.Name
	v.checkDuration(r.Timeout, minDeadline, maxDeadline, at("timeout")...)
	v.checkDuration(r.LatencyObjective, 0, maxDeadline, at("latency_objective")...)
	checkRange(v, r.Priority, 0, maxPriority, at("priority")...)
	checkRange(v, r.MaxAttempts, 0, maxRetryAttempts, at("max_attempts")...)
	for j, region := range r.HomeRegions {
		if !v.regions[region] {
			v.addProblem(at("home_regions", j), "region %q does not exist", region)
		}
	}
	v.checkWeightedServices(r.Services, at)
}

// checkWeightedServices checks the services of a route and their weights.
func (v *validator) checkWeightedServices(parts []ServicePart, at func(...any) []any) {
	sum := 0
	for j, p := range parts {
		checkRange(v, p.Weight, 0, maxWeight, at("services", j, "weight")...)
		sum += max(p.Weight, 0)
		if !v.guardedServices[p.Service] {
			v.addProblem(at("services", j, "service"), "service %q does not exist or has no guarded_slots", p.Service)
		}
	}
	if sum == 0 {
		v.addProblem(at("services"), "the weights add up to 0")
	}
}

func (v *validator) checkCallerLimits(c CallerLimits) {
	checkRange(v, c.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes, "callers", "max_header_bytes")
	checkRange(v, c.MaxBodyBytes, 0, maxBodyBytes, "callers", "max_body_bytes")
	v.checkDuration(c.HeaderTimeout, time.Millisecond, maxDeadline, "callers", "header_timeout")
	v.checkDuration(c.IdleTimeout, time.Millisecond, maxTTL, "callers", "idle_timeout")
}
