package raft

import (
	"slices"

	"google.golang.org/protobuf/proto"

	pb "github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// maxPeers bounds the configuration, learners included.
const maxPeers = 15

// catchUpSlack is how many entries a learner may be behind the commit index
// when it is promoted. Under constant writes it never has all of them.
const catchUpSlack = 64

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

// quorumValue returns the highest value that a quorum of voters has reached.
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

// AddLearner proposes a configuration with peer as a learner. A learner with
// the same address and another identity is dropped in the same step: no voter
// changes. It returns nil if the peer is already a member.
func (r *Raft) AddLearner(peer *pb.Peer) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	peers := r.Peers()
	if slices.ContainsFunc(peers, func(p *pb.Peer) bool { return p.Id == peer.Id }) {
		return nil
	}
	if !r.configSettled() {
		return ErrConfigBusy
	}
	next := without(peers, func(p *pb.Peer) bool { return !p.Voter && p.Addr == peer.Addr })
	if len(next) >= maxPeers {
		return ErrTooManyPeers
	}
	r.proposeConfig(append(next, &pb.Peer{Id: peer.Id, Addr: peer.Addr}))
	return nil
}

// RemoveVoter proposes a configuration without a voter that is gone. It refuses
// while the voter is heard, and unless the others can lose one more: if a disk
// were lost meanwhile, the voter could not help although it came back.
func (r *Raft) RemoveVoter(id string) error {
	switch {
	case r.role != Leader:
		return ErrNotLeader
	case !isVoter(r.Peers(), id):
		return nil
	case !r.configSettled():
		return ErrConfigBusy
	case r.activeID(id) || !r.canRemove(id, 1):
		return ErrStillNeeded
	}
	r.proposeConfig(without(r.Peers(), func(p *pb.Peer) bool { return p.Id == id }))
	return nil
}

// configSettled reports whether the leader may start a configuration change:
// the last one is committed and so is an entry of the own term. Without the
// second rule two leaders could each add to a different uncommitted base.
func (r *Raft) configSettled() bool {
	_, at := r.log.config()
	return at <= r.log.committed && r.committedInTerm()
}

// repair makes the next single-step change towards replacing lost replicas: a
// learner that has caught up becomes a voter, after the voter that had the
// same address before is removed. Removing first keeps the change harmless if
// the new replica fails between the two steps.
func (r *Raft) repair() {
	if !r.configSettled() {
		return
	}
	peers := r.Peers()
	for _, learner := range peers {
		if learner.Voter || !r.caughtUp(learner.Id) {
			continue
		}
		old := slices.IndexFunc(peers, func(p *pb.Peer) bool { return p.Voter && p.Addr == learner.Addr })
		if old < 0 {
			r.proposeConfig(promoted(peers, learner.Id))
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
	return p != nil && r.active(p) && p.state == replicating && p.match+catchUpSlack >= r.log.committed
}

// canRemove reports whether the voters that remain without id include an
// active quorum and spare more active ones. The leader never removes itself.
func (r *Raft) canRemove(id string, spare int) bool {
	if id == r.id {
		return false
	}
	rest, active := 0, 0
	for _, p := range r.voters() {
		if p.Id == id {
			continue
		}
		rest++
		if r.activeID(p.Id) {
			active++
		}
	}
	return active >= rest/2+1+spare
}

func without(peers []*pb.Peer, drop func(*pb.Peer) bool) []*pb.Peer {
	return slices.DeleteFunc(slices.Clone(peers), drop)
}

func promoted(peers []*pb.Peer, id string) []*pb.Peer {
	out := make([]*pb.Peer, len(peers))
	for i, p := range peers {
		out[i] = p
		if p.Id == id {
			out[i] = &pb.Peer{Id: p.Id, Addr: p.Addr, Voter: true}
		}
	}
	return out
}

// proposeConfig appends a configuration entry; it is in force at once.
func (r *Raft) proposeConfig(peers []*pb.Peer) {
	r.appendOwn(pb.EntryType_ENTRY_CONFIG, EncodeConfig(peers))
	r.syncPeers()
	r.broadcastAppend(false)
}

// EncodeConfig returns the data of a configuration entry.
func EncodeConfig(peers []*pb.Peer) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(&pb.ConfigState{Peers: peers})
	if err != nil {
		panic("raft: configuration cannot be encoded: " + err.Error())
	}
	return data
}

// Bootstrap returns the state of a first start with the given voters. Equal
// peers in equal order give equal logs on every member.
func Bootstrap(peers []*pb.Peer) State {
	e := &pb.LogEntry{Term: 1, Index: 1, Type: pb.EntryType_ENTRY_CONFIG, Data: EncodeConfig(peers)}
	return State{HardState: HardState{Term: 1, Commit: 1}, Entries: []*pb.LogEntry{e}}
}
