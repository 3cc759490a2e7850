package control

import (
	"context"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/process/feed"
)

// acksTimeout bounds how long Status waits for another replica.
const acksTimeout = 500 * time.Millisecond

type controlPeers struct {
	fescuepb.UnimplementedControlPeersServer
	s *Server
}

// Acks returns the acknowledgements that arrived at this replica, and its
// own version.
func (c *controlPeers) Acks(context.Context, *fescuepb.AcksRequest) (*fescuepb.AcksReply, error) {
	reply := &fescuepb.AcksReply{Acks: []*fescuepb.Ack{{
		Instance: c.s.cfg.Instance,
		Version:  c.s.cfg.Machine.Version(),
	}}}
	for instance, ack := range c.s.hub.Acks.All() {
		reply.Acks = append(reply.Acks, &fescuepb.Ack{
			Instance: instance,
			Version:  ack.Version,
			AgeMs:    time.Since(ack.Heard).Milliseconds(),
		})
	}
	return reply, nil
}

// Status returns the state of the control plane and of every member as
// confirmed by a quorum, with the acknowledgements of all reachable replicas.
func (o *operator) Status(ctx context.Context, _ *fescuepb.StatusRequest) (*fescuepb.StatusReply, error) {
	if _, err := o.s.cfg.Auth.Team(ctx); err != nil {
		return nil, rpcError(err)
	}
	if err := o.s.confirm(ctx); err != nil {
		return nil, rpcError(err)
	}
	return o.s.LocalStatus(ctx), nil
}

// LocalStatus returns the status as this replica knows it, which a quorum
// need not have confirmed.
func (s *Server) LocalStatus(ctx context.Context) *fescuepb.StatusReply {
	acks, _ := s.collectAcks(ctx)
	reply := &fescuepb.StatusReply{
		Version: s.cfg.Machine.Version(),
		Counter: s.cfg.Log.Counter(),
		Leader:  s.cfg.Log.LeaderAddr(),
	}
	for _, m := range s.cfg.Machine.Members() {
		reply.Instances = append(reply.Instances, instanceStatus(m, acks))
	}
	if s.cfg.Describe != nil {
		s.cfg.Describe(reply)
	}
	return reply
}

func instanceStatus(m *fescuepb.Member, acks map[string]feed.Ack) *fescuepb.InstanceStatus {
	ack, heard := acks[m.Instance]
	st := &fescuepb.InstanceStatus{Member: m, LastHeardMs: -1}
	if heard {
		age := time.Since(ack.Heard)
		st.VersionInForce = ack.Version
		st.LastHeardMs = age.Milliseconds()
		st.Alive = age < feed.AliveFor
	}
	return st
}

// Heard notes that an instance sent a request other than an acknowledgement.
func (s *Server) Heard(instance string, version uint64) { s.hub.Acks.Heard(instance, version) }

// Hearing is when instances were last heard by this and other replicas.
type Hearing struct {
	Last     map[string]time.Time // by instance
	Answered map[string]bool      // by address of the other replica
}

// Hearing asks the other replicas whom they hear.
func (s *Server) Hearing(ctx context.Context) Hearing {
	acks, answered := s.collectAcks(ctx)
	h := Hearing{Last: make(map[string]time.Time, len(acks)), Answered: answered}
	for instance, ack := range acks {
		h.Last[instance] = ack.Heard
	}
	return h
}

// collectAcks merges the acknowledgements of all replicas; the one heard
// last wins. It returns the addresses of the other replicas that answered in
// time.
func (s *Server) collectAcks(ctx context.Context) (map[string]feed.Ack, map[string]bool) {
	ctx, cancel := context.WithTimeout(ctx, acksTimeout)
	defer cancel()
	all := s.hub.Acks.All()
	all[s.cfg.Instance] = feed.Ack{Version: s.cfg.Machine.Version(), Heard: time.Now()}
	answered := map[string]bool{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, addr := range s.cfg.Replicas() {
		wg.Go(func() {
			reply, err := s.askAcks(ctx, addr)
			if err != nil {
				s.cfg.Logger.WithError(err).WithField("replica", addr).Warn("replica did not report its acknowledgements")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			mergeAcks(all, reply, time.Now())
			answered[addr] = true
		})
	}
	wg.Wait()
	return all, answered
}

func (s *Server) askAcks(ctx context.Context, addr string) (*fescuepb.AcksReply, error) {
	conn, err := s.peers.get(addr)
	if err != nil {
		return nil, err
	}
	return fescuepb.NewControlPeersClient(conn).Acks(ctx, &fescuepb.AcksRequest{})
}

func mergeAcks(all map[string]feed.Ack, reply *fescuepb.AcksReply, now time.Time) {
	for _, a := range reply.Acks {
		heard := now.Add(-time.Duration(a.AgeMs) * time.Millisecond)
		if old, ok := all[a.Instance]; !ok || heard.After(old.Heard) {
			all[a.Instance] = feed.Ack{Version: a.Version, Heard: heard}
		}
	}
}
