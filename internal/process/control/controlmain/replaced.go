package controlmain

import (
	"context"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/process/control/replica"
	"github.com/sirupsen/logrus"
)

const (
	replacedCheckInterval = time.Second
	// replacedAfter is how long a replica is silent before the one that replaced
	// it makes it superfluous. A process that is killed is back within a second.
	replacedSilenceTimeout = 3 * time.Second
)

// succession removes control replicas that another one of their data centre has
// replaced: a quorum of voters that are gone cannot be reached. Only the
// leader's does anything. It is owned by its goroutine.
type replacedReplicaRemover struct {
	p           *process
	silentSince absentSince // of peers, by identity
}

func (s *replacedReplicaRemover) run(ctx context.Context) {
	s.p.runWhileLeading(ctx, replacedCheckInterval, func() { s.check(ctx, time.Now()) }, func() { s.silentSince = nil })
}

func (s *replacedReplicaRemover) check(ctx context.Context, now time.Time) {
	peers := s.p.replica.Status().Peers
	s.updateSilence(peers, now)
	for _, old := range replacedMembers(s.p.machine.Members(), peers) {
		log := s.p.log.WithFields(logrus.Fields{"member": old.Instance, "addr": old.GrpcAddr, "data_centre": old.DataCentre})
		peer := peerAt(peers, old.GrpcAddr)
		switch since, silent := s.silentSince[peer.ID]; {
		case peer.ID == "":
			log.Warn("control replica that was replaced is no longer a member")
			if err := s.p.server.RemoveMember(ctx, old.Instance, old.Incarnation); err != nil {
				log.WithError(err).Warn("removal not committed; it is decided again")
			}
		case silent && now.Sub(since) >= replacedSilenceTimeout:
			err := s.p.replica.RemoveVoter(ctx, peer.ID)
			log.WithError(err).WithField("silent_ms", now.Sub(since).Milliseconds()).Warn("control replica was replaced: it leaves the quorum")
		}
	}
}

// note keeps since when each peer is not heard.
func (s *replacedReplicaRemover) updateSilence(peers []replica.PeerStatus, now time.Time) {
	silent := absentSince{}
	for _, peer := range peers {
		if peer.Active || peer.Addr == s.p.settings.GRPCAddr {
			continue
		}
		silent[peer.ID] = s.silentSince.since(peer.ID, now)
	}
	s.silentSince = silent
}

func peerAt(peers []replica.PeerStatus, addr string) replica.PeerStatus {
	for _, p := range peers {
		if p.Addr == addr {
			return p
		}
	}
	return replica.PeerStatus{}
}

// replaced returns the control members that are not heard while a voter of the
// same data centre is that joined later.
func replacedMembers(members []*fescuepb.Member, peers []replica.PeerStatus) []*fescuepb.Member {
	var out []*fescuepb.Member
	for _, old := range members {
		if old.Role != fescuepb.Role_ROLE_CONTROL || peerAt(peers, old.GrpcAddr).Active {
			continue
		}
		for _, m := range members {
			p := peerAt(peers, m.GrpcAddr)
			if m.Role == old.Role && m.DataCentre == old.DataCentre && m.JoinedVersion > old.JoinedVersion && p.Voter && p.Active {
				out = append(out, old)
				break
			}
		}
	}
	return out
}
