package proxy

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/uri"
)

// An entry that was suspended, or that is cut off from control, handles requests on a
// version that may not be the newest. That version says where requests go, but gives no
// permission that a newer one may have withdrawn:
//
//   - it is sent to one target at most, because its route may not be safe any more;
//   - it is refused as not run if its route has home regions, because they may have moved,
//     or if it has an idempotency key and its route ignores keys;
//   - it is never refused for good: callers do not repeat a request after a 4xx.
//
// Other requests are served as in the version in force, also while the whole data centre is
// cut off.

// confirmationPollInterval is how often a request that waits for a confirmation checks it.
const confirmationPollInterval = 10 * time.Millisecond

// isConfirmed reports whether control has confirmed the version in force recently.
func (h *Handler) isConfirmed() bool { return h.Confirmed == nil || h.Confirmed() }

// awaitConfirmation reports whether the version in force is confirmed. While the process
// resumes after a suspension, it waits for the confirmation: requests that arrived during
// the suspension would otherwise be handled on the version from before. It must be called
// before the version is loaded, since another one may come into force in between. A time
// left of 0 is unknown.
func (h *Handler) awaitConfirmation(ctx context.Context, timeLeft time.Duration) bool {
	if h.isConfirmed() {
		return true
	}
	if h.Resuming == nil {
		return false
	}
	end := h.Now().Add(waitShare(h.Resuming(), timeLeft))
	for h.Now().Before(end) && sleep(ctx, confirmationPollInterval) {
		if h.isConfirmed() {
			return true
		}
	}
	return false
}

// forwardedRoute is what the forwarding instance's version says of the request's route.
type forwardedRoute struct {
	stated     bool // false for a caller's request, or if the instance runs an earlier release
	confirmed  bool // its version is confirmed
	repeatable bool // see call.repeatable
	atMostOnce bool
	homes      bool // the route has home regions
}

// Words of headerRoute.
const (
	routeConfirmed   = "confirmed"
	routeUnconfirmed = "unconfirmed"
	routeRepeatable  = "repeatable"
	routeAtMostOnce  = "once"
	routeHomes       = "homes"
)

// String returns the value of headerRoute.
func (f forwardedRoute) String() string {
	words := []string{routeUnconfirmed}
	if f.confirmed {
		words[0] = routeConfirmed
	}
	for _, w := range []struct {
		word string
		on   bool
	}{{routeRepeatable, f.repeatable}, {routeAtMostOnce, f.atMostOnce}, {routeHomes, f.homes}} {
		if w.on {
			words = append(words, w.word)
		}
	}
	return strings.Join(words, " ")
}

// parseForwardedRoute parses the value of headerRoute.
func parseForwardedRoute(text string) forwardedRoute {
	words := strings.Fields(text)
	has := func(word string) bool { return slices.Contains(words, word) }
	return forwardedRoute{
		stated: len(words) > 0, confirmed: has(routeConfirmed), repeatable: has(routeRepeatable),
		atMostOnce: has(routeAtMostOnce), homes: has(routeHomes),
	}
}

// routeToForward describes the route to the instance to which the request is forwarded.
func (c *call) routeToForward() forwardedRoute {
	return forwardedRoute{
		confirmed: c.confirmed, repeatable: c.repeatable(),
		atMostOnce: c.atMostOnce() || c.forwarded.atMostOnce, homes: c.hasHomes() || c.forwarded.homes,
	}
}

// confirmedHere reports whether the version of a request is confirmed, given whether it is
// by this entry itself. A forwarding instance confirms every version that is no older than
// its own, and shows that an older one is outdated.
func (c *call) confirmedHere(byEntry bool) bool {
	return (byEntry || c.forwarded.confirmed) && c.snap.Version >= c.forwardedVersion
}

// repeatable reports whether the request may run more than once. Each entry that it passes
// may know a version in which it may not.
func (c *call) repeatable() bool {
	switch {
	case !c.route.Safe, c.runsOnceElsewhere:
		return false
	case c.forwarded.stated:
		return c.forwarded.repeatable
	}
	return c.confirmed
}

// mayRepeat reports whether another send of the request may follow one that may have run
// it. The permission is checked when it is used: since the request was read, the process
// may have been suspended or cut off, or its route may have become unsafe.
func (h *Handler) mayRepeat(ctx context.Context, c *call) bool {
	return c.repeatable() && (h.awaitConfirmation(ctx, c.timeLeft(h.Now())) || c.forwarded.confirmed) && h.isStillSafe(c)
}

// isStillSafe reports whether the request is on a safe route in the version now in force.
func (h *Handler) isStillSafe(c *call) bool {
	snap := h.Store.Load()
	if snap == c.snap {
		return c.route.Safe
	}
	route := snap.HostRoute(uri.HostName(c.host), uri.Path(c.path))
	if svc := snap.Services[c.service.Name]; c.route.Host == "" && svc != nil {
		route = svc.Route(c.method, decodedPath(c.path))
	}
	return route != nil && route.Safe
}

// hasHomes reports whether the route has home regions.
func (c *call) hasHomes() bool { return len(c.route.HomeRegions) > 0 }

// checkUnconfirmed refuses a request that must not run on a version that may be an old one.
// A forwarded request runs if a confirmed version at the forwarding instance allows it.
func (c *call) checkUnconfirmed() error {
	if c.confirmed {
		return nil
	}
	staysHere := c.remote && c.forwarded.confirmed
	if (c.hasHomes() || c.forwarded.homes) && !staysHere {
		return c.unconfirmed("the home regions of route %q may have changed", c.route.Name)
	}
	keyIgnored := c.hasKey && !c.atMostOnce() && !c.startRecorded
	if keyIgnored && (!c.forwarded.confirmed || c.forwarded.atMostOnce) {
		return c.unconfirmed("route %q may have become one that runs at most once", c.route.Name)
	}
	return nil
}

// unconfirmed returns an error of kind NotReady with a reason.
func (c *call) unconfirmed(reason string, args ...any) error {
	return errkind.New(errkind.NotReady, reason+", and version %d is not confirmed at present", append(args, c.snap.Version)...)
}

// notReadyIfUnconfirmed returns err, or an error of kind NotReady if err depends on the
// document and the version in force may be an old one. Callers do not repeat a request
// after such an answer, and a later version may allow it.
func (c *call) notReadyIfUnconfirmed(err error) error {
	if err == nil || c.confirmed || !dependsOnDocument[errkind.Of(err)] {
		return err
	}
	return c.unconfirmed("%v", err)
}

// dependsOnDocument holds the kinds of final errors that another version of the document
// may not have.
var dependsOnDocument = map[errkind.Kind]bool{
	errkind.UnknownRoute: true, errkind.UnknownService: true,
	errkind.UnknownShift: true, errkind.MissingShift: true,
	errkind.MissingKey: true, errkind.BadKey: true,
	errkind.HeaderTooLarge: true, errkind.BodyTooLarge: true,
}
