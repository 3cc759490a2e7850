package document

import (
	"regexp"
	"strings"
	"time"
)

// hostRE admits what a Host header holds without a port.
var hostRE = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9_.-]{0,252})$`)

// guarded checks a service whose targets guard their slots themselves.
func (v *validator) guarded(svc Service, at func(...any) []any) {
	const message = "must be left out with guarded_slots"
	if len(svc.DataCentres) > 0 {
		v.add(at("data_centres"), message)
	}
	if svc.SlotsPerTarget != 0 {
		v.add(at("slots_per_target"), message)
	}
	if len(svc.Routes) > 0 {
		v.add(at("routes"), message)
	}
	if !strings.HasPrefix(svc.HealthPath, "/") {
		v.add(at("health_path"), "%q must start with '/'", svc.HealthPath)
	}
	if svc.Protocol != "" && svc.Protocol != ProtocolHTTP1 {
		v.add(at("protocol"), "%q is not supported; %q is", svc.Protocol, ProtocolHTTP1)
	}
	inRange(v, svc.MaxConnections, 0, maxConnections, at("max_connections")...)
	if c := svc.Cold; c != nil {
		v.duration(c.For, 0, maxWarmup, at("cold", "for")...)
		if !(c.PerSecond >= 0 && c.PerSecond <= maxColdPerSecond) {
			v.add(at("cold", "per_second"), "%v is outside the allowed range 0 to %v", c.PerSecond, maxColdPerSecond)
		}
	}
}

// hostRoutes checks the routes by host of a section. Services of any section
// may be named, so they are collected first.
func (v *validator) hostRoutes(sec *Section) {
	names := map[string]bool{}
	for i, r := range sec.HostRoutes {
		at := func(path ...any) []any { return append([]any{"host_routes", i}, path...) }
		if r.Name == "" || names[r.Name] {
			v.add(at("name"), "%q is empty or used by another route", r.Name)
		}
		names[r.Name] = true
		v.hostRoute(r, at)
	}
}

func (v *validator) hostRoute(r HostRoute, at func(...any) []any) {
	if !hostRE.MatchString(r.Host) {
		v.add(at("host"), "%q is not a host name", r.Host)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		v.add(at("prefix"), "%q must start and end with '/'", r.Prefix)
	}
	place := r.Host + r.Prefix
	if owner, ok := v.hostPlaces[place]; ok {
		v.add(at("prefix"), "host %q and prefix %q already belong to route %q", r.Host, r.Prefix, owner)
	}
	v.hostPlaces[place] = r.Name
	v.duration(r.Timeout, minDeadline, maxDeadline, at("timeout")...)
	v.duration(r.Objective, 0, maxDeadline, at("latency_objective")...)
	inRange(v, r.Priority, 0, maxPriority, at("priority")...)
	inRange(v, r.MaxAttempts, 0, maxRetryAttempts, at("max_attempts")...)
	for j, region := range r.HomeRegions {
		if !v.regions[region] {
			v.add(at("home_regions", j), "region %q does not exist", region)
		}
	}
	v.parts(r.Services, at)
}

// parts checks the services of a route and their weights.
func (v *validator) parts(parts []ServicePart, at func(...any) []any) {
	sum := 0
	for j, p := range parts {
		inRange(v, p.Weight, 0, maxWeight, at("services", j, "weight")...)
		sum += max(p.Weight, 0)
		if !v.guardedServices[p.Service] {
			v.add(at("services", j, "service"), "service %q does not exist or has no guarded_slots", p.Service)
		}
	}
	if sum == 0 {
		v.add(at("services"), "the weights add up to 0")
	}
}

func (v *validator) callers(c CallerLimits) {
	inRange(v, c.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes, "callers", "max_header_bytes")
	inRange(v, c.MaxBodyBytes, 0, maxBodyBytes, "callers", "max_body_bytes")
	v.duration(c.HeaderTimeout, time.Millisecond, maxDeadline, "callers", "header_timeout")
	v.duration(c.IdleTimeout, time.Millisecond, maxTTL, "callers", "idle_timeout")
}
