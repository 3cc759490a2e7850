package control

import (
	"context"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/process/shared/feed"
)

// acksTimeout bounds how long Status waits for the other replicas.
const acksTimeout = 500 * time.Millisecond

// controlPeers serves the ControlPeers service.
type controlPeers struct {
	fescuepb.UnimplementedControlPeersServer
	s *Server
}

// Acks returns the acknowledgements that arrived at this replica, its own version
// and, if it leads, the status that only the leader knows.
func (c *controlPeers) Acks(context.Context, *fescuepb.AcksRequest) (*fescuepb.AcksReply, error) {
	reply := &fescuepb.AcksReply{Acks: []*fescuepb.Ack{{
		Instance: c.s.cfg.Instance,
		Version:  c.s.cfg.Machine.Version(),
	}}}
	for instance, ack := range c.s.hub.Acks.All() {
		reply.Acks = append(reply.Acks, &fescuepb.Ack{
			Instance: instance,
			Version:  ack.Version,
			AgeMs:    time.Since(ack.ReceivedAt).Milliseconds(),
		})
	}
	if st, isLeader := c.s.leaderStatus(); isLeader {
		reply.Leader = st
	}
	return reply, nil
}

// Status returns the state of the control plane and of every member as confirmed
// by a quorum, with the acknowledgements collected from all reachable replicas.
func (o *operator) Status(ctx context.Context, _ *fescuepb.StatusRequest) (*fescuepb.StatusReply, error) {
	if _, err := o.s.cfg.Auth.Team(ctx); err != nil {
		return nil, rpcError(err)
	}
	if err := o.s.waitConfirmed(ctx); err != nil {
		return nil, rpcError(err)
	}
	return o.s.LocalStatus(ctx), nil
}

// LocalStatus returns the status without confirming the local state with a quorum,
// so it may be out of date.
func (s *Server) LocalStatus(ctx context.Context) *fescuepb.StatusReply {
	reports := s.collectReports(ctx)
	reply := &fescuepb.StatusReply{
		Version: s.cfg.Machine.Version(),
		Counter: s.cfg.Log.Counter(),
		Leader:  s.cfg.Log.LeaderAddr(),
	}
	for _, m := range s.cfg.Machine.Members() {
		reply.Instances = append(reply.Instances, instanceStatus(m, reports.acks))
	}
	reply.Suspects = s.cfg.Machine.Suspects()
	st := reports.leader
	if reply.LeaderAnswered = st != nil; !reply.LeaderAnswered {
		st, _ = s.leaderStatus()
	}
	reply.Term, reply.PendingCaps, reply.Replicas = st.Term, st.PendingCaps, st.Replicas
	return reply
}

// leaderStatus returns the result of Config.LeaderStatus, or an empty status if it
// is not set.
func (s *Server) leaderStatus() (st *fescuepb.LeaderStatus, isLeader bool) {
	if s.cfg.LeaderStatus == nil {
		return &fescuepb.LeaderStatus{}, false
	}
	return s.cfg.LeaderStatus()
}

func instanceStatus(m *fescuepb.Member, acks map[string]feed.Ack) *fescuepb.InstanceStatus {
	ack, heard := acks[m.Instance]
	st := &fescuepb.InstanceStatus{Member: m, LastHeardMs: -1}
	if heard {
		age := time.Since(ack.ReceivedAt)
		st.VersionInForce = ack.Version
		st.LastHeardMs = age.Milliseconds()
		st.Alive = age < feed.AliveTimeout
	}
	return st
}

// RecordHeard records that an instance with the given version in force sent a
// request other than an acknowledgement.
func (s *Server) RecordHeard(instance string, version uint64) {
	s.hub.Acks.RecordVersion(instance, version)
}

// Liveness tells when instances were last heard by this or another replica.
type Liveness struct {
	LastHeard map[string]time.Time // by instance
	Answered  map[string]bool      // replicas that reported, by address
}

// Liveness collects from all reachable replicas when they last heard each instance.
func (s *Server) Liveness(ctx context.Context) Liveness {
	reports := s.collectReports(ctx)
	h := Liveness{LastHeard: make(map[string]time.Time, len(reports.acks)), Answered: reports.answered}
	for instance, ack := range reports.acks {
		h.LastHeard[instance] = ack.ReceivedAt
	}
	return h
}

// reports combines what this and the other replicas report.
type reports struct {
	mu       sync.Mutex
	acks     map[string]feed.Ack    // latest one by instance
	answered map[string]bool        // replicas that reported, by address
	leader   *fescuepb.LeaderStatus // nil if no leader answered
}

// collectReports collects the reports of this and the other replicas. A replica that
// does not answer within acksTimeout is left out.
func (s *Server) collectReports(ctx context.Context) *reports {
	ctx, cancel := context.WithTimeout(ctx, acksTimeout)
	defer cancel()
	r := &reports{acks: s.hub.Acks.All(), answered: map[string]bool{}}
	r.acks[s.cfg.Instance] = feed.Ack{Version: s.cfg.Machine.Version(), ReceivedAt: time.Now()}
	if st, isLeader := s.leaderStatus(); isLeader {
		r.leader = st
	}
	var wg sync.WaitGroup
	for _, addr := range s.cfg.Replicas() {
		wg.Go(func() {
			reply, err := s.fetchAcks(ctx, addr)
			if err != nil {
				s.cfg.Logger.WithError(err).WithField("replica", addr).Warn("replica did not report its acknowledgements")
				return
			}
			r.add(addr, reply, time.Now())
		})
	}
	wg.Wait()
	return r
}

// add merges the reply of the replica at addr. If two replicas claim to lead, the
// status of the one with the higher term is used: the other has been replaced.
func (r *reports) add(addr string, reply *fescuepb.AcksReply, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	mergeAcks(r.acks, reply, now)
	r.answered[addr] = true
	if st := reply.Leader; st != nil && st.Term >= r.leader.GetTerm() {
		r.leader = st
	}
}

func (s *Server) fetchAcks(ctx context.Context, addr string) (*fescuepb.AcksReply, error) {
	conn, err := s.peers.get(addr)
	if err != nil {
		return nil, err
	}
	return fescuepb.NewControlPeersClient(conn).Acks(ctx, &fescuepb.AcksRequest{})
}

// mergeAcks replaces each acknowledgement in latest by that of the reply if the
// instance was heard later there.
func mergeAcks(latest map[string]feed.Ack, reply *fescuepb.AcksReply, now time.Time) {
	for _, a := range reply.Acks {
		heard := now.Add(-time.Duration(a.AgeMs) * time.Millisecond)
		if old, ok := latest[a.Instance]; !ok || heard.After(old.ReceivedAt) {
			latest[a.Instance] = feed.Ack{Version: a.Version, ReceivedAt: heard}
		}
	}
}
