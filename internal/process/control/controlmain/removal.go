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
type remover struct {
	p      *process
	client *platform.Client
	term   uint64 // of departures
	seen   *membership.DepartureTracker
	kept   map[string]string // why an unlisted entry was kept last, for the log
	failed bool              // the last read
}

func newRemover(p *process) *remover {
	return &remover{p: p, client: &platform.Client{URL: p.settings.PlatformURL, HTTP: &http.Client{}}}
}

// run reads the list until ctx ends.
func (r *remover) run(ctx context.Context) {
	if r.p.settings.PlatformURL == "" {
		r.p.log.Info("platform_url is not set: entries whose instance is lost stay members")
		return
	}
	duty := func() {
		r.begin()
		r.read(ctx)
	}
	r.p.whileLeading(ctx, listInterval, duty, func() { r.seen = nil })
}

// begin lets a new leader start without evidence.
func (r *remover) begin() {
	if term := r.p.lead.Term(); r.seen == nil || r.term != term {
		r.term, r.seen, r.kept = term, membership.NewDepartureTracker(), map[string]string{}
	}
}

func (r *remover) read(ctx context.Context) {
	list, err := r.fetch(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		r.seen.ReadFailed()
		if !r.failed {
			r.p.log.WithError(err).Warn("platform list not read; no entry is removed meanwhile")
		}
		r.failed = true
		return
	}
	r.failed = false
	heard := r.p.server.Liveness(ctx)
	unlisted := map[string]string{}
	for _, d := range r.seen.Evaluate(list, r.entries(heard), r.replicas(heard), time.Now()) {
		unlisted[d.Instance] = d.KeepReason()
		r.decide(ctx, d)
	}
	r.kept = unlisted
}

func (r *remover) fetch(ctx context.Context) ([]membership.ListedInstance, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return r.client.Fetch(ctx)
}

func (r *remover) entries(heard control.Liveness) []membership.Entry {
	var out []membership.Entry
	for _, m := range r.p.machine.Members() {
		if m.Role == fescuepb.Role_ROLE_ENTRY {
			out = append(out, membership.Entry{
				Instance: m.Instance, Incarnation: m.Incarnation, Address: m.CallerAddr, LastHeard: heard.LastHeard[m.Instance],
			})
		}
	}
	return out
}

// replicas returns the other replicas of the replicated configuration.
func (r *remover) replicas(heard control.Liveness) []membership.Replica {
	var out []membership.Replica
	for _, peer := range r.p.replica.Status().Peers {
		if peer.Addr == r.p.settings.GRPCAddr {
			continue
		}
		host, _, _ := net.SplitHostPort(peer.Addr)
		out = append(out, membership.Replica{Host: host, Answered: heard.Answered[peer.Addr]})
	}
	return out
}

// decide removes an entry that is gone, and logs each new decision.
func (r *remover) decide(ctx context.Context, d membership.RemovalCandidate) {
	reason := d.KeepReason()
	log := r.p.log.WithFields(logrus.Fields{
		"member": d.Instance, "incarnation": d.Incarnation, "reads": d.UnlistedReads,
		"unlisted_ms": d.UnlistedFor.Milliseconds(), "silent_ms": d.SilentFor.Milliseconds(), "listed_before": d.ListedSinceJoin,
	})
	if last, known := r.kept[d.Instance]; reason != "" {
		if !known || last != reason {
			log.WithField("reason", reason).Info("unlisted entry stays a member")
		}
		return
	}
	// The lists may have been judged while another replica became the leader.
	if !r.p.lead.IsLeader() || r.p.lead.Term() != r.term {
		return
	}
	log.Warn("entry removed: its instance is not listed and no control replica hears it")
	if err := r.p.server.RemoveMember(ctx, d.Instance, d.Incarnation); err != nil {
		log.WithError(err).Warn("removal not committed; it is decided again")
	}
}
