package controlmain

import (
	"context"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/sirupsen/logrus"
)

const (
	lostSessionCheckInterval = 500 * time.Millisecond
	// servingAbsenceTimeout is how long the instance that serves the watch of a member
	// may be absent before the session counts as lost. The member opens another watch
	// within 1.5 s if it can.
	servingAbsenceTimeout = 2500 * time.Millisecond
)

// lostSessionReporter reports sessions of members as lost if the instance that
// served them is absent. That instance would report them otherwise, and no other
// instance does. It is active only at the leader. It is not safe for concurrent use.
type lostSessionReporter struct {
	p             *process
	absentServing absentSince // by serving instance
}

func (v *lostSessionReporter) run(ctx context.Context) {
	v.p.runWhileLeading(ctx, lostSessionCheckInterval, func() { v.check(ctx, time.Now()) }, func() { v.absentServing = nil })
}

// check reports the sessions whose serving instance has been absent for
// servingAbsenceTimeout.
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

// servingInstances returns the instances that may serve a watch: the control
// replicas that are active as seen by this leader, and the entries whose own session
// is not lost.
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
	log.Warn("session lost: the instance that served it is absent")
	err := v.p.server.RecordSession(ctx, &fescuepb.SessionChange{
		Instance: m.Instance, Incarnation: m.Incarnation, Session: m.Session, Via: m.Via, Lost: true,
	})
	if err != nil {
		log.WithError(err).Warn("session not recorded; retrying")
	}
}
