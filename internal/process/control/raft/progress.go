package raft

// sendState is how the leader sends entries to a peer.
type sendState uint8

const (
	probing      sendState = iota // one message at a time until the logs match
	replicating                   // pipelined
	snapshotting                  // waits until a snapshot is installed
)

// snapshotResendFactor times ElectionTicks is how long the leader waits for a
// snapshot to be installed before it sends it again.
const snapshotResendFactor = 8

// progress is what the leader knows about a peer. Invariant: match < next.
type progress struct {
	match     uint64 // last index known to be saved there
	next      uint64 // next index to send
	state     sendState
	waiting   bool     // probing: a probe is unanswered
	inflight  []uint64 // replicating: last index of each unanswered append
	snapIndex uint64   // snapshotting: index of the snapshot sent
	snapTick  uint64   // snapshotting: when it was sent
	heardTick uint64   // last answer
	ackSeq    uint64   // last heartbeat round answered
}

func (p *progress) paused(maxInflight int) bool {
	switch p.state {
	case probing:
		return p.waiting
	case replicating:
		return len(p.inflight) >= maxInflight
	}
	return true
}

func (p *progress) probe(next uint64) {
	p.state = probing
	p.waiting = false
	p.inflight = nil
	p.next = max(next, p.match+1)
}

// sent notes an append that ends at index last.
func (p *progress) sent(last uint64, entries int) {
	if p.state == probing {
		p.waiting = true
		return
	}
	if entries > 0 {
		p.next = last + 1
		p.inflight = append(p.inflight, last)
	}
}

// acked notes that the peer has saved everything up to index.
func (p *progress) acked(index uint64) {
	p.waiting = false
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0] <= p.match {
		p.inflight = p.inflight[1:]
	}
	if p.state == probing || p.state == snapshotting && p.match >= p.snapIndex {
		p.state = replicating
		p.inflight = nil
		p.next = p.match + 1
	}
}
