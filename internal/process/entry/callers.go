package entry

import (
	"net/http"
	"net/netip"
	"slices"
	"strings"

	"github.com/fescuejunction/fescuejunction/internal/base/settings"
	"github.com/fescuejunction/fescuejunction/internal/request/lookup"
	"github.com/fescuejunction/fescuejunction/internal/request/uri"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// callerHandler serves the requests of callers.
//
// Invariant: all paths of a host with routes belong to its routes. An http.ServeMux cannot
// keep it, because it selects by path first, and cleans and redirects paths by itself.
type callerHandler struct {
	lookups, requests http.Handler
	store             *snapshot.Store
	ownHost           func(name string) bool
}

// ServeHTTP passes a request to the look-ups or, like all others, to the routes.
func (h *callerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.isLookup(r) {
		h.lookups.ServeHTTP(w, r)
		return
	}
	h.requests.ServeHTTP(w, r)
}

// isLookup reports whether a request is a look-up: for its path on a host of the entry
// itself. A route for that host takes precedence.
func (h *callerHandler) isLookup(r *http.Request) bool {
	if r.Method != http.MethodGet && r.Method != http.MethodHead || uri.Path(uri.Target(r)) != lookup.Path {
		return false
	}
	host := uri.HostName(r.Host)
	snap := h.store.Load()
	return h.ownHost(host) && (snap == nil || !snap.HasHost(host))
}

// ownHost reports whether a host, in lower case and without a port, is one of the entry
// itself. It depends on the settings only, as an earlier version of the document may lack
// the routes of a host.
func (s *Settings) ownHost(name string) bool {
	if slices.ContainsFunc(s.OwnHosts, func(own string) bool { return strings.EqualFold(own, name) }) {
		return true
	}
	return !s.NeedHostRoutes && (name == "" || name == "localhost" || isAddress(name))
}

// namesServices reports whether requests for a host without routes in snap name their
// service: on own hosts, and on every host in a deployment that shows no sign of host routes.
func (s *Settings) namesServices(host string, snap *snapshot.Snapshot) bool {
	mayHaveHostRoutes := s.NeedHostRoutes || len(s.OwnHosts) > 0 || snap.HasHostRoutes()
	return !mayHaveHostRoutes || s.ownHost(host)
}

// isAddress reports whether a host is an IP address. One of IPv6 has brackets.
func isAddress(host string) bool {
	_, err := netip.ParseAddr(strings.TrimSuffix(strings.TrimPrefix(host, "["), "]"))
	return err == nil
}

// checkOwnHosts checks that each of OwnHosts can be the host of a request.
func (s *Settings) checkOwnHosts(c *settings.Check) {
	for i, host := range s.OwnHosts {
		if host == "" || uri.HostName(host) != strings.ToLower(host) {
			c.Add([]any{"own_hosts", i}, "must be a host name or an IP address without a port, such as entry.example, 10.1.0.13 or [fd00::13]")
		}
	}
}
