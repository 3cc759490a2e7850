package raft

// replicationState determines how the leader sends entries to a peer.
type replicationState uint8

const (
	probing      replicationState = iota // one append message at a time, until the logs are known to match
	replicating                          // up to MaxInflight unacknowledged append messages
	snapshotting                         // no entries, until the peer has installed a snapshot
)

// snapshotResendFactor is the number of election timeouts (ElectionTicks) that
// the leader waits for a peer to install a snapshot before it sends it again.
const snapshotResendFactor = 8

// progress is the replication state of a peer on the leader. Invariant:
// match < next.
type progress struct {
	match         uint64 // last index known to be saved on the peer
	next          uint64 // next index to send
	state         replicationState
	probePaused   bool     // probing: no further append until the peer replies
	inflight      []uint64 // replicating: last index of each unacknowledged append
	snapshotIndex uint64   // snapshotting: index of the snapshot sent
	snapshotTick  uint64   // snapshotting: tick at which it was sent
	lastReplyTick uint64   // tick of the last reply, or at which the peer was added
	ackedRound    uint64   // last heartbeat round that the peer has answered
	session       uint64   // of the peer, as in its last reply; 0 if unknown
}

func (p *progress) paused(maxInflight int) bool {
	switch p.state {
	case probing:
		return p.probePaused
	case replicating:
		return len(p.inflight) >= maxInflight
	}
	return true
}

func (p *progress) startProbing(next uint64) {
	p.state = probing
	p.probePaused = false
	p.inflight = nil
	p.next = max(next, p.match+1)
}

// noteSession records the session of the peer. A peer that has restarted has lost a
// snapshot that it had not installed.
func (p *progress) noteSession(session uint64) {
	if p.state == snapshotting && p.session != 0 && session != p.session {
		p.startProbing(p.match + 1)
	}
	p.session = session
}

// sent records an append message with the given number of entries that ends at
// index last.
func (p *progress) sent(last uint64, entries int) {
	if p.state == probing {
		p.probePaused = true
		return
	}
	if entries > 0 {
		p.next = last + 1
		p.inflight = append(p.inflight, last)
	}
}

// acked records that the peer has saved all entries up to index. A peer that
// was probing, or has installed the snapshot, is then replicating.
func (p *progress) acked(index uint64) {
	p.probePaused = false
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0] <= p.match {
		p.inflight = p.inflight[1:]
	}
	if p.state == probing || p.state == snapshotting && p.match >= p.snapshotIndex {
		p.state = replicating
		p.inflight = nil
		p.next = p.match + 1
	}
}
