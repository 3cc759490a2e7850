package replica

import (
	pb "github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/process/control/raft"
)

// applyResult reports to the run loop that a batch was applied, or why applying
// it failed.
type applyResult struct {
	index    uint64           // of the last entry applied
	snapshot *machineSnapshot // set if a snapshot was due and taken
	err      error
}

// machineSnapshot is the encoded state of the state machine.
type machineSnapshot struct{ data []byte }

// applyLoop applies committed batches in order until the replica stops. No other
// goroutine calls the state machine.
func (r *Replica) applyLoop() {
	defer r.wg.Done()
	lastSnapshot := uint64(0)
	for {
		select {
		case <-r.ctx.Done():
			return
		case b := <-r.batches:
			done := r.applyBatch(b, &lastSnapshot)
			select {
			case r.applyResults <- done:
			case <-r.ctx.Done():
				return
			}
		}
	}
}

func (r *Replica) applyBatch(b *raft.Batch, lastSnapshot *uint64) applyResult {
	if b.Snapshot != nil {
		if err := r.restoreSnapshot(b.Snapshot); err != nil {
			return applyResult{err: err}
		}
		*lastSnapshot = b.Snapshot.Meta.Index
	}
	for _, e := range b.Entries {
		r.applyEntry(e)
	}
	if b.Counter > r.counter.Load() {
		// The counter is published only after the entries are applied, because
		// it guarantees that the local state includes everything that was
		// committed before the counter was reached.
		r.counter.Store(b.Counter)
	}
	r.changed.notify()
	return r.snapshotIfDue(lastSnapshot)
}

func (r *Replica) restoreSnapshot(s *raft.Snapshot) error {
	if err := r.cfg.Machine.Restore(s.Data); err != nil {
		return errkind.Wrap(errkind.CorruptLog, err, "restore the snapshot at index %d", s.Meta.Index)
	}
	r.appliedIndex.Store(s.Meta.Index)
	return nil
}

func (r *Replica) applyEntry(e *pb.LogEntry) {
	var result []byte
	if e.Type == pb.EntryType_ENTRY_NORMAL {
		result = r.cfg.Machine.Apply(e.Index, e.Data)
	}
	r.appliedIndex.Store(e.Index)
	r.waiters.complete(e.Index, e.Term, result)
}

// snapshotIfDue takes a snapshot once SnapshotEvery entries were applied since
// the one at index last, and then advances last.
func (r *Replica) snapshotIfDue(last *uint64) applyResult {
	index := r.appliedIndex.Load()
	if index < *last+r.cfg.SnapshotEvery {
		return applyResult{index: index}
	}
	data, err := r.cfg.Machine.Snapshot()
	if err != nil {
		return applyResult{err: errkind.Wrap(errkind.Internal, err, "take a snapshot at index %d", index)}
	}
	*last = index
	return applyResult{index: index, snapshot: &machineSnapshot{data}}
}
