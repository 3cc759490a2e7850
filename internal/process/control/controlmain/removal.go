package controlmain

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/connection/platform"
	"github.com/fescuejunction/fescuejunction/internal/process/control"
	"github.com/fescuejunction/fescuejunction/internal/version/membership"
	"github.com/sirupsen/logrus"
)

// The list is read every listInterval, and a read takes at most listTimeout.
const (
	listInterval = 2 * time.Second
	listTimeout  = 1500 * time.Millisecond
)

// remover removes entries whose process and instance are gone for good, so
// that their shares return. Only the leader's does anything. It is owned by
// its goroutine.
type entryRemover struct {
	p              *process
	client         *platform.Client
	departuresTerm uint64 // of departures
	departures     *membership.Departures
	keepReasons    map[string]string // why an unlisted entry was kept last, for the log
	lastReadFailed bool              // the last read
}

func newEntryRemover(p *process) *entryRemover {
	return &entryRemover{p: p, client: &platform.Client{URL: p.settings.PlatformURL, HTTP: &http.Client{}}}
}

// run reads the list until ctx ends.
func (r *entryRemover) run(ctx context.Context) {
	if r.p.settings.PlatformURL == "" {
		r.p.log.Info("platform_url is not set: entries whose instance is lost stay members")
		return
	}
	onLeader := func() {
		r.resetForTerm()
		r.read(ctx)
	}
	r.p.runWhileLeading(ctx, listInterval, onLeader, func() { r.departures = nil })
}

// begin lets a new leader start without evidence.
func (r *entryRemover) resetForTerm() {
	if term := r.p.leadership.Term(); r.departures == nil || r.departuresTerm != term {
		r.departuresTerm, r.departures, r.keepReasons = term, membership.NewDepartures(), map[string]string{}
	}
}

func (r *entryRemover) read(ctx context.Context) {
	list, err := r.fetch(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		r.departures.Failed()
		if !r.lastReadFailed {
			r.p.log.WithError(err).Warn("platform list not read; no entry is removed meanwhile")
		}
		r.lastReadFailed = true
		return
	}
	r.lastReadFailed = false
	liveness := r.p.server.Liveness(ctx)
	unlisted := map[string]string{}
	for _, d := range r.departures.Judge(list, r.entries(liveness), r.replicas(liveness), time.Now()) {
		unlisted[d.Instance] = d.Keep()
		r.decide(ctx, d)
	}
	r.keepReasons = unlisted
}

func (r *entryRemover) fetch(ctx context.Context) ([]membership.Listed, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return r.client.Fetch(ctx)
}

func (r *entryRemover) entries(liveness control.Liveness) []membership.Entry {
	var out []membership.Entry
	for _, m := range r.p.machine.Members() {
		if m.Role == fescuepb.Role_ROLE_ENTRY {
			out = append(out, membership.Entry{
				Instance: m.Instance, Incarnation: m.Incarnation, Address: m.CallerAddr, Heard: liveness.LastHeard[m.Instance],
			})
		}
	}
	return out
}

// replicas returns the other replicas of the replicated configuration.
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

// decide removes an entry that is gone, and logs each new decision.
func (r *entryRemover) decide(ctx context.Context, d membership.Decision) {
	reason := d.Keep()
	log := r.p.log.WithFields(logrus.Fields{
		"member": d.Instance, "incarnation": d.Incarnation, "reads": d.Reads,
		"unlisted_ms": d.UnlistedFor.Milliseconds(), "silent_ms": d.SilentFor.Milliseconds(), "listed_before": d.Named,
	})
	if last, known := r.keepReasons[d.Instance]; reason != "" {
		if !known || last != reason {
			log.WithField("reason", reason).Info("unlisted entry stays a member")
		}
		return
	}
	// The lists may have been judged while another replica became the leader.
	if !r.p.leadership.IsLeader() || r.p.leadership.Term() != r.departuresTerm {
		return
	}
	log.Warn("entry removed: its instance is not listed and no control replica hears it")
	if err := r.p.server.RemoveMember(ctx, d.Instance, d.Incarnation); err != nil {
		log.WithError(err).Warn("removal not committed; it is decided again")
	}
}
