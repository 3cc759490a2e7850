package controlmain

import (
	"context"
	"net"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/connection/platform"
	"github.com/fescuejunction/fescuejunction/internal/process/control"
	"github.com/fescuejunction/fescuejunction/internal/version/membership"
	"github.com/sirupsen/logrus"
)

// The platform's list of instances is read every listInterval, and one read takes
// at most listTimeout.
const (
	listInterval = 2 * time.Second
	listTimeout  = 1500 * time.Millisecond
)

// entryRemover removes entries whose process has ended and whose instance is no
// longer listed by the platform, so that their shares of the caps become available
// to other entries. It is active only at the leader. It is not safe for concurrent
// use.
type entryRemover struct {
	p              *process
	client         *platform.Client
	departuresTerm uint64 // term in which departures was created
	departures     *membership.DepartureTracker
	keepReasons    map[string]string // by instance, the last logged reason to keep an unlisted entry
	lastReadFailed bool
}

func newEntryRemover(p *process) *entryRemover {
	return &entryRemover{p: p, client: &platform.Client{URL: p.settings.PlatformURL, HTTP: platform.NewHTTPClient()}}
}

// run reads the list and removes entries until ctx ends.
func (r *entryRemover) run(ctx context.Context) {
	if r.p.settings.PlatformURL == "" {
		r.p.log.Info("platform_url is not set: entries whose instance no longer exists remain members")
		return
	}
	onLeader := func() {
		r.resetForTerm()
		r.read(ctx)
	}
	r.p.runWhileLeading(ctx, listInterval, onLeader, func() { r.departures = nil })
}

// resetForTerm discards the evidence of earlier terms, so that a new leader decides
// only by what it has observed itself.
func (r *entryRemover) resetForTerm() {
	if term := r.p.leadership.Term(); r.departures == nil || r.departuresTerm != term {
		r.departuresTerm, r.departures, r.keepReasons = term, membership.NewDepartureTracker(), map[string]string{}
	}
}

// read reads the list and decides about each entry that it does not contain.
func (r *entryRemover) read(ctx context.Context) {
	list, err := r.fetch(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		r.departures.ReadFailed()
		if !r.lastReadFailed {
			r.p.log.WithError(err).Warn("cannot read the platform list; no entries are removed until it can be read")
		}
		r.lastReadFailed = true
		return
	}
	r.lastReadFailed = false
	liveness := r.p.server.Liveness(ctx)
	unlisted := map[string]string{}
	for _, d := range r.departures.Evaluate(list, r.entries(liveness), r.replicas(liveness), time.Now()) {
		unlisted[d.Instance] = d.KeepReason()
		r.decide(ctx, d)
	}
	r.keepReasons = unlisted
}

func (r *entryRemover) fetch(ctx context.Context) ([]membership.ListedInstance, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return r.client.Fetch(ctx)
}

// entries returns the entries among the members, with the time of their last sign
// of life.
func (r *entryRemover) entries(liveness control.Liveness) []membership.Entry {
	var out []membership.Entry
	for _, m := range r.p.machine.Members() {
		if m.Role == fescuepb.Role_ROLE_ENTRY {
			out = append(out, membership.Entry{
				Instance: m.Instance, Incarnation: m.Incarnation, Address: m.CallerAddr, LastHeard: liveness.LastHeard[m.Instance],
			})
		}
	}
	return out
}

// replicas returns the other replicas of the replicated configuration, with whether
// they answered the query for liveness.
func (r *entryRemover) replicas(liveness control.Liveness) []membership.Replica {
	var out []membership.Replica
	for _, peer := range r.p.replica.Status().Peers {
		if peer.Addr == r.p.settings.GRPCAddr {
			continue
		}
		host, _, _ := net.SplitHostPort(peer.Addr)
		out = append(out, membership.Replica{Host: host, Answered: liveness.Answered[peer.Addr]})
	}
	return out
}

// decide removes an entry unless there is a reason to keep it. It logs a removal,
// and each change of the reason to keep an entry.
func (r *entryRemover) decide(ctx context.Context, d membership.RemovalCandidate) {
	reason := d.KeepReason()
	log := r.p.log.WithFields(logrus.Fields{
		"member": d.Instance, "incarnation": d.Incarnation, "reads": d.UnlistedReads,
		"unlisted_ms": d.UnlistedFor.Milliseconds(), "silent_ms": d.SilentFor.Milliseconds(), "listed_before": d.ListedSinceJoin,
	})
	if last, known := r.keepReasons[d.Instance]; reason != "" {
		if !known || last != reason {
			log.WithField("reason", reason).Info("unlisted entry remains a member")
		}
		return
	}
	// Another replica may have become the leader since the list was read.
	if !r.p.leadership.IsLeader() || r.p.leadership.Term() != r.departuresTerm {
		return
	}
	log.Warn("entry removed: its instance is not listed and no control replica receives requests from it")
	if err := r.p.server.RemoveMember(ctx, d.Instance, d.Incarnation); err != nil {
		log.WithError(err).Warn("removal of the entry not committed; retrying")
	}
}
