package controlmain

import (
	"context"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/sirupsen/logrus"
)

const (
	lostSessionCheckInterval = 500 * time.Millisecond
	// vouchAfter is how long the instance that serves a member's watch may be
	// gone before the session counts as lost. The member opens another one
	// within 1.5 s if it can.
	servingAbsenceTimeout = 2500 * time.Millisecond
)

// voucher reports the sessions of members whose serving instance is gone as
// lost: nobody else would. Only the leader's does anything. It is owned by its
// goroutine.
type lostSessionReporter struct {
	p             *process
	absentServing absentSince // of serving instances
}

func (v *lostSessionReporter) run(ctx context.Context) {
	v.p.runWhileLeading(ctx, lostSessionCheckInterval, func() { v.check(ctx, time.Now()) }, func() { v.absentServing = nil })
}

func (v *lostSessionReporter) check(ctx context.Context, now time.Time) {
	members := v.p.machine.Members()
	serving := v.servingInstances(members)
	absentServing := absentSince{}
	for _, m := range members {
		if m.Session == 0 || m.Silent || serving[m.Via] {
			continue
		}
		absentServing[m.Via] = v.absentServing.since(m.Via, now)
		if now.Sub(absentServing[m.Via]) >= servingAbsenceTimeout {
			v.report(ctx, m)
		}
	}
	v.absentServing = absentServing
}

// serving returns the instances that may serve a watch: the control replicas
// that this leader hears, and the entries whose own session is not lost.
func (v *lostSessionReporter) servingInstances(members []*fescuepb.Member) map[string]bool {
	active := map[string]bool{v.p.settings.GRPCAddr: true}
	for _, peer := range v.p.replica.Status().Peers {
		active[peer.Addr] = active[peer.Addr] || peer.Active
	}
	out := map[string]bool{}
	for _, m := range members {
		switch m.Role {
		case fescuepb.Role_ROLE_CONTROL:
			out[m.Instance] = active[m.GrpcAddr]
		case fescuepb.Role_ROLE_ENTRY:
			out[m.Instance] = !m.Silent
		}
	}
	return out
}

func (v *lostSessionReporter) report(ctx context.Context, m *fescuepb.Member) {
	log := v.p.log.WithFields(logrus.Fields{"member": m.Instance, "session": m.Session, "via": m.Via})
	log.Warn("session lost with the instance that served it")
	err := v.p.server.RecordSession(ctx, &fescuepb.SessionChange{
		Instance: m.Instance, Incarnation: m.Incarnation, Session: m.Session, Via: m.Via, Lost: true,
	})
	if err != nil {
		log.WithError(err).Warn("session not recorded; it is reported again")
	}
}
