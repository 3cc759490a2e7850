package replica

import (
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/process/control/raft"
)

// request runs in the loop and may use raft.
type request func(*raft.Raft)

// maxDrain bounds the inputs taken before the state is saved. Proposals that
// arrive together share one sync of the disk.
const maxInputsPerSave = 256

// run owns raft and the store until the replica stops.
func (r *Replica) run() {
	defer r.wg.Done()
	defer r.store.Close()
	defer r.waiters.failAll(errStopped)
	ticks, stop := r.ticker()
	defer stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticks:
			r.raft.Tick()
		case m := <-r.inbox.C():
			r.raft.Step(m)
		case q := <-r.requests.C():
			q(r.raft)
		case a := <-r.applyResults:
			if err := r.handleApplied(a); err != nil {
				r.fail(err)
				return
			}
		}
		r.handleQueuedInputs()
		if err := r.processReady(); err != nil {
			r.fail(err)
			return
		}
	}
}

func (r *Replica) ticker() (<-chan time.Time, func()) {
	if r.cfg.ticks != nil {
		return r.cfg.ticks, func() {}
	}
	t := time.NewTicker(r.cfg.TickInterval)
	return t.C, t.Stop
}

// drain takes further inputs that are already there.
func (r *Replica) handleQueuedInputs() {
	for range maxInputsPerSave {
		select {
		case m := <-r.inbox.C():
			r.raft.Step(m)
		case q := <-r.requests.C():
			q(r.raft)
		default:
			return
		}
	}
}

// flush saves before it sends, until raft has nothing more to do.
func (r *Replica) processReady() error {
	for {
		rd := r.raft.Ready()
		if !rd.MustSave() && len(rd.Messages) == 0 && len(rd.Reads) == 0 {
			break
		}
		if err := r.store.Save(rd); err != nil {
			return err
		}
		r.raft.Advance(rd)
		r.transport.send(rd.Messages)
		r.waiters.completeReads(rd.Reads)
	}
	r.startApply()
	r.publishStatus()
	return nil
}

// handOut gives the applier its next batch, one at a time.
func (r *Replica) startApply() {
	if r.applying {
		return
	}
	if b := r.raft.Committed(); b != nil {
		r.applying = true
		r.batches <- b
	}
}

func (r *Replica) handleApplied(res applyResult) error {
	r.applying = false
	if res.err != nil {
		return res.err
	}
	if res.snapshot == nil {
		return nil
	}
	if r.raft.Compact(res.index, res.snapshot.data) == nil {
		return nil
	}
	r.log.WithField("index", res.index).WithField("bytes", len(res.snapshot.data)).Info("saving a snapshot")
	return r.store.Compact(r.raft.Saved())
}

// fail stops the replica: what it could not save it must not acknowledge.
func (r *Replica) fail(err error) {
	r.log.WithError(err).WithField("kind", errkind.Of(err)).
		Error("the replica stops and acknowledges nothing more; restart it after repairing the cause")
	r.cancel(err)
	r.waiters.failAll(err)
}
