package raft

import (
	"slices"

	"google.golang.org/protobuf/proto"

	pb "github.com/fescuejunction/fescuejunction/api/fescuepb"
)

const (
	// MaxVoters limits the number of voters. Replicas beyond it remain learners: they
	// apply the log and serve like the voters, and one of them becomes a voter when a
	// voter is removed. A commit waits for a majority of the voters, so that more of
	// them than this would make changes slower and bear no loss that is to be borne.
	MaxVoters = 31
	// maxPeers limits the number of peers in a configuration, learners included, and with
	// it the messages of the leader for each heartbeat round.
	maxPeers = 255
)

// maxPromotionLag is the number of entries by which a learner may trail the
// commit index when it is promoted. Under constant writes a learner always trails
// it, so a limit of 0 would prevent the promotion.
const maxPromotionLag = 64

// Peers returns the peers of the configuration in force.
func (r *Raft) Peers() []*pb.Peer {
	c, _ := r.log.config()
	return c.Peers
}

// IsVoter reports whether this replica votes in the configuration in force.
func (r *Raft) IsVoter() bool { return isVoter(r.Peers(), r.id) }

func isVoter(peers []*pb.Peer, id string) bool {
	return slices.ContainsFunc(peers, func(p *pb.Peer) bool { return p.Id == id && p.Voter })
}

func (r *Raft) voters() []*pb.Peer { return voters(r.Peers()) }

func voters(peers []*pb.Peer) []*pb.Peer {
	out := make([]*pb.Peer, 0, len(peers))
	for _, p := range peers {
		if p.Voter {
			out = append(out, p)
		}
	}
	return out
}

func (r *Raft) quorum() int { return len(r.voters())/2 + 1 }

func (r *Raft) countVoters(f func(id string) bool) int {
	n := 0
	for _, p := range r.voters() {
		if f(p.Id) {
			n++
		}
	}
	return n
}

// quorumValue returns the highest value that f reaches or exceeds for a quorum
// of voters.
func (r *Raft) quorumValue(f func(id string) uint64) uint64 {
	vs := r.voters()
	if len(vs) == 0 {
		return 0
	}
	values := make([]uint64, len(vs))
	for i, p := range vs {
		values[i] = f(p.Id)
	}
	slices.Sort(values)
	return values[len(values)-r.quorum()]
}

// AddLearner proposes a configuration with peer as an additional learner. The
// same change removes a learner with the same address and another identity,
// which is safe because the voters stay the same. In a full configuration it removes
// an inactive learner for the new one. It returns nil if the peer is already a member,
// and ErrNotLeader, ErrConfigChangePending or ErrTooManyPeers if the change cannot be
// proposed.
func (r *Raft) AddLearner(peer *pb.Peer) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	peers := r.Peers()
	if slices.ContainsFunc(peers, func(p *pb.Peer) bool { return p.Id == peer.Id }) {
		return nil
	}
	if !r.canChangeConfig() {
		return ErrConfigChangePending
	}
	next := without(peers, func(p *pb.Peer) bool { return !p.Voter && p.Addr == peer.Addr })
	if len(next) >= maxPeers {
		unused := r.inactiveLearner(next)
		if unused == "" {
			return ErrTooManyPeers
		}
		next = without(next, func(p *pb.Peer) bool { return p.Id == unused })
	}
	r.proposeConfig(append(next, &pb.Peer{Id: peer.Id, Addr: peer.Addr}))
	return nil
}

// inactiveLearner returns the inactive learner that has been silent for longest, or "" if all
// learners are active.
func (r *Raft) inactiveLearner(peers []*pb.Peer) string {
	found, silentSince := "", r.ticks
	for _, p := range peers {
		progress := r.peers[p.Id]
		if p.Voter || progress == nil || r.active(progress) || progress.lastReplyTick >= silentSince {
			continue
		}
		found, silentSince = p.Id, progress.lastReplyTick
	}
	return found
}

// RemoveVoter proposes a configuration without a voter that has failed for good.
// It returns ErrVoterRequired if the voter is active or is this leader, or if the
// remaining voters could not tolerate another failure: if one of them then lost
// its disk, the removed voter could not restore the quorum even if it came back.
// It returns nil if id is not a voter, and ErrNotLeader or
// ErrConfigChangePending if the change cannot be proposed.
func (r *Raft) RemoveVoter(id string) error {
	switch {
	case r.role != Leader:
		return ErrNotLeader
	case !isVoter(r.Peers(), id):
		return nil
	case !r.canChangeConfig():
		return ErrConfigChangePending
	case r.activeID(id) || !r.canRemove(id, 1):
		return ErrVoterRequired
	}
	r.proposeConfig(without(r.Peers(), func(p *pb.Peer) bool { return p.Id == id }))
	return nil
}

// canChangeConfig reports whether the leader may start a configuration change:
// the last change and an entry of the current term must be committed. Without
// the second rule, the leaders of two terms could base their changes on
// different configurations that are both uncommitted.
func (r *Raft) canChangeConfig() bool {
	_, at := r.log.config()
	return at <= r.log.committed && r.committedInTerm()
}

// replaceVoters proposes the next configuration change that is needed to replace
// a lost voter. For a learner that has caught up it first removes the voter with
// the same address, if there is one, and then, in a second change, promotes the
// learner. In this order a failure of the new replica between the two changes
// does no harm. While there are MaxVoters voters, no learner is promoted.
func (r *Raft) replaceVoters() {
	if !r.canChangeConfig() {
		return
	}
	peers := r.Peers()
	for _, learner := range peers {
		if learner.Voter || !r.caughtUp(learner.Id) {
			continue
		}
		old := slices.IndexFunc(peers, func(p *pb.Peer) bool { return p.Voter && p.Addr == learner.Addr })
		if old < 0 && len(r.voters()) >= MaxVoters {
			continue
		}
		if old < 0 {
			r.proposeConfig(withPromoted(peers, learner.Id))
			return
		}
		if r.canRemove(peers[old].Id, 0) {
			r.proposeConfig(without(peers, func(p *pb.Peer) bool { return p.Id == peers[old].Id }))
			return
		}
	}
}

func (r *Raft) caughtUp(id string) bool {
	p := r.peers[id]
	return p != nil && r.active(p) && p.state == replicating && p.match+maxPromotionLag >= r.log.committed
}

// canRemove reports whether the remaining voters, those other than id, include
// an active quorum and margin further active voters. It returns false for the
// leader itself.
func (r *Raft) canRemove(id string, margin int) bool {
	if id == r.id {
		return false
	}
	remaining, active := 0, 0
	for _, p := range r.voters() {
		if p.Id == id {
			continue
		}
		remaining++
		if r.activeID(p.Id) {
			active++
		}
	}
	return active >= remaining/2+1+margin
}

func without(peers []*pb.Peer, drop func(*pb.Peer) bool) []*pb.Peer {
	return slices.DeleteFunc(slices.Clone(peers), drop)
}

func withPromoted(peers []*pb.Peer, id string) []*pb.Peer {
	out := make([]*pb.Peer, len(peers))
	for i, p := range peers {
		out[i] = p
		if p.Id == id {
			out[i] = &pb.Peer{Id: p.Id, Addr: p.Addr, Voter: true}
		}
	}
	return out
}

// proposeConfig appends a configuration entry, which is in force at once.
func (r *Raft) proposeConfig(peers []*pb.Peer) {
	r.appendEntry(pb.EntryType_ENTRY_CONFIG, EncodeConfig(peers))
	r.syncPeers()
	r.broadcastAppend(false)
}

// EncodeConfig returns the data of a configuration entry with the given peers.
func EncodeConfig(peers []*pb.Peer) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(&pb.ConfigState{Peers: peers})
	if err != nil {
		panic("raft: configuration cannot be encoded: " + err.Error())
	}
	return data
}

// Bootstrap returns the initial state of a new cluster with the given peers.
// All members must pass the same peers in the same order, so that their logs
// start with the same entry.
func Bootstrap(peers []*pb.Peer) State {
	e := &pb.LogEntry{Term: 1, Index: 1, Type: pb.EntryType_ENTRY_CONFIG, Data: EncodeConfig(peers)}
	return State{HardState: HardState{Term: 1, Commit: 1}, Entries: []*pb.LogEntry{e}}
}
