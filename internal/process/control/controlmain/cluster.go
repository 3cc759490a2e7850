package controlmain

import (
	"context"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
)

const registerRetryInterval = time.Second

// initialReplicas returns the addresses of the initial voters. A replica with
// neither replicas nor join in its settings is the only one.
func (s *Settings) initialReplicas() []string {
	if len(s.Replicas) == 0 && len(s.Join) == 0 {
		return []string{s.GRPCAddr}
	}
	return s.Replicas
}

// registerSelf registers this replica as a member, so that followers also find
// replicas that are not in their settings. It retries until it succeeds or ctx ends.
func (p *process) registerSelf(ctx context.Context) {
	self := &fescuepb.Member{
		Instance:    p.settings.Instance,
		Region:      p.settings.Region,
		DataCentre:  p.settings.DataCentre,
		Role:        fescuepb.Role_ROLE_CONTROL,
		GrpcAddr:    p.settings.GRPCAddr,
		Incarnation: uint64(time.Now().UnixNano()),
	}
	for {
		err := p.server.Join(ctx, self)
		if err == nil || ctx.Err() != nil {
			return
		}
		p.log.WithError(err).Info("cannot register this replica as a member yet; retrying")
		select {
		case <-time.After(registerRetryInterval):
		case <-ctx.Done():
			return
		}
	}
}

// otherReplicas returns the addresses of the other control replicas in the
// replicated configuration and among the members.
func (p *process) otherReplicas() []string {
	added := map[string]bool{p.settings.GRPCAddr: true, "": true}
	var out []string
	add := func(addr string) {
		if !added[addr] {
			added[addr] = true
			out = append(out, addr)
		}
	}
	for _, peer := range p.replica.Status().Peers {
		add(peer.Addr)
	}
	for _, m := range p.machine.Members() {
		if m.Role == fescuepb.Role_ROLE_CONTROL {
			add(m.GrpcAddr)
		}
	}
	return out
}

// otherVoters returns the addresses of the other voting replicas.
func (p *process) otherVoters() []string {
	var out []string
	for _, peer := range p.replica.Status().Peers {
		if peer.Voter && peer.Addr != p.settings.GRPCAddr {
			out = append(out, peer.Addr)
		}
	}
	return out
}

// leaderStatus returns the term and the state of the replicas, and reports whether
// this replica is the leader. At the leader, it includes the pending caps.
func (p *process) leaderStatus() (*fescuepb.LeaderStatus, bool) {
	st := p.replica.Status()
	reply := &fescuepb.LeaderStatus{Term: st.Term}
	leads := p.leadership.IsLeader()
	if leads {
		reply.PendingCaps = p.budgetServer.PendingCaps()
	}
	for _, peer := range st.Peers {
		reply.Replicas = append(reply.Replicas, &fescuepb.ReplicaStatus{
			Id: peer.ID, Addr: peer.Addr, Voter: peer.Voter, MatchIndex: peer.Match,
		})
	}
	return reply, leads
}
