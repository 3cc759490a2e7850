package controlmain

import (
	"context"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/process/control/raft"
	"github.com/fescuejunction/fescuejunction/internal/process/control/replica"
	"github.com/sirupsen/logrus"
)

const (
	replacedCheckInterval = time.Second
	// replacedSilenceTimeout is how long a replaced replica must be silent before it
	// is removed. A process that was killed is running again within a second, so a
	// mere restart does not lead to the removal of a replica.
	replacedSilenceTimeout = 3 * time.Second
	// siblingSilenceTimeout is the same for a replica of a data centre that has no more
	// replicas than others: the one that joined later need not be its replacement, and
	// a removal would only take out a machine that is suspended or cut off for a while.
	siblingSilenceTimeout = 30 * time.Second
)

// replacedReplicaRemover removes control replicas that another replica of the same
// data centre has replaced. If they remained voters, then after several
// replacements the lost voters would outnumber the others, and no quorum could be
// reached. It is active only at the leader. It is not safe for concurrent use.
type replacedReplicaRemover struct {
	p           *process
	silentSince absentSince // by replica ID
}

func (s *replacedReplicaRemover) run(ctx context.Context) {
	s.p.runWhileLeading(ctx, replacedCheckInterval, func() { s.check(ctx, time.Now()) }, func() { s.silentSince = nil })
}

// check removes replaced replicas from the voters, and from the members once they
// are no longer voters.
func (s *replacedReplicaRemover) check(ctx context.Context, now time.Time) {
	peers := s.p.replica.Status().Peers
	s.updateSilence(peers, now)
	members := s.p.machine.Members()
	for _, old := range replacedMembers(members, peers) {
		log := s.p.log.WithFields(logrus.Fields{"member": old.Instance, "addr": old.GrpcAddr, "data_centre": old.DataCentre})
		peer := peerAt(peers, old.GrpcAddr)
		switch since, silent := s.silentSince[peer.ID]; {
		case peer.ID == "":
			log.Warn("removing replaced control replica from the members")
			if err := s.p.server.RemoveMember(ctx, old.Instance, old.Incarnation); err != nil {
				log.WithError(err).Warn("removal of the control replica not committed; retrying")
			}
		case silent && now.Sub(since) >= silenceTimeout(members, old.DataCentre):
			err := s.p.replica.RemoveVoter(ctx, peer.ID)
			log.WithError(err).WithField("silent_ms", now.Sub(since).Milliseconds()).Warn("removing replaced control replica from the voters")
		}
	}
}

// updateSilence records since when each peer has been silent.
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

// silenceTimeout returns how long a replica of a data centre must be silent before it
// counts as replaced. A replacement makes the data centre have more replicas than others.
func silenceTimeout(members []*fescuepb.Member, dc string) time.Duration {
	replicas := map[string]int{}
	for _, m := range members {
		if m.Role == fescuepb.Role_ROLE_CONTROL {
			replicas[m.DataCentre]++
		}
	}
	for other, n := range replicas {
		if other != dc && n < replicas[dc] || len(replicas) == 1 {
			return replacedSilenceTimeout
		}
	}
	return siblingSilenceTimeout
}

// peerAt returns the peer with the address, or a zero PeerStatus if there is none.
func peerAt(peers []replica.PeerStatus, addr string) replica.PeerStatus {
	for _, p := range peers {
		if p.Addr == addr {
			return p
		}
	}
	return replica.PeerStatus{}
}

// replacedMembers returns the control members that are not active although an
// active voter of the same data centre joined later than they did. Once there are as
// many voters as there may be, a learner suffices: it can become a voter only after
// the old one is removed.
func replacedMembers(members []*fescuepb.Member, peers []replica.PeerStatus) []*fescuepb.Member {
	voters := 0
	for _, p := range peers {
		if p.Voter {
			voters++
		}
	}
	var out []*fescuepb.Member
	for _, old := range members {
		if old.Role != fescuepb.Role_ROLE_CONTROL || peerAt(peers, old.GrpcAddr).Active {
			continue
		}
		for _, m := range members {
			p := peerAt(peers, m.GrpcAddr)
			if m.Role == old.Role && m.DataCentre == old.DataCentre && m.JoinedVersion > old.JoinedVersion && (p.Voter || voters >= raft.MaxVoters) && p.Active {
				out = append(out, old)
				break
			}
		}
	}
	return out
}
