package replica

import (
	"sync"

	"github.com/fescuejunction/fescuejunction/internal/process/control/raft"
)

// outcome is the result of a proposal or a read: the log index and, for a
// proposal, the result of applying it; or an error.
type outcome struct {
	result []byte
	index  uint64
	err    error
}

type proposal struct {
	term uint64
	done chan<- outcome // capacity 1
}

// waiterTable holds the proposals and reads whose outcome is pending. The zero
// value is ready for use.
type waiterTable struct {
	mu        sync.Mutex
	proposals map[uint64]proposal       // by log index
	reads     map[uint64]chan<- outcome // by token
	lastToken uint64
	closeErr  error // outcome of everything added after failAll
}

// addProposal registers the proposal that was appended at index in term. Its
// outcome is sent to done.
func (t *waiterTable) addProposal(index, term uint64, done chan<- outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closeErr != nil {
		done <- outcome{err: t.closeErr}
		return
	}
	if t.proposals == nil {
		t.proposals = map[uint64]proposal{}
	}
	t.proposals[index] = proposal{term, done}
}

// addRead registers a read and returns the token that identifies it. The outcome
// is sent to done.
func (t *waiterTable) addRead(done chan<- outcome) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastToken++
	if t.closeErr != nil {
		done <- outcome{err: t.closeErr}
		return t.lastToken
	}
	if t.reads == nil {
		t.reads = map[uint64]chan<- outcome{}
	}
	t.reads[t.lastToken] = done
	return t.lastToken
}

// complete sends the outcome of the proposal at index, where an entry of the given
// term was applied. If the proposal had another term, it was overwritten before it
// was committed and did not run.
func (t *waiterTable) complete(index, term uint64, result []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.proposals[index]
	if !ok {
		return
	}
	delete(t.proposals, index)
	if p.term != term {
		p.done <- outcome{err: errProposalSuperseded}
		return
	}
	p.done <- outcome{result: result, index: index}
}

// completeReads sends the outcome of confirmed reads.
func (t *waiterTable) completeReads(reads []raft.ReadState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, rs := range reads {
		if done, ok := t.reads[rs.Token]; ok {
			delete(t.reads, rs.Token)
			done <- outcome{index: rs.Index}
		}
	}
}

// failLostTerms fails the proposals of terms that this replica no longer leads,
// and all reads unless it is the leader.
func (t *waiterTable) failLostTerms(isLeader bool, term uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for index, p := range t.proposals {
		if !isLeader || p.term != term {
			delete(t.proposals, index)
			p.done <- outcome{err: errLeadershipLost}
		}
	}
	if !isLeader {
		t.failReads(errNotLeader)
	}
}

// failReads fails all reads with err. The caller must hold mu.
func (t *waiterTable) failReads(err error) {
	for token, done := range t.reads {
		delete(t.reads, token)
		done <- outcome{err: err}
	}
}

// failAll fails all pending proposals and reads, and all that are added later. If
// it is called more than once, later additions fail with the first error.
func (t *waiterTable) failAll(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closeErr == nil {
		t.closeErr = err
	}
	for index, p := range t.proposals {
		delete(t.proposals, index)
		p.done <- outcome{err: err}
	}
	t.failReads(err)
}
