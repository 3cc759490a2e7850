package replica

import (
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/process/control/raft"
)

// request is a function that the run loop executes and that may therefore use
// raft.
type request func(*raft.Raft)

// maxInputsPerSave bounds the queued inputs that are handled before the state is
// saved. Proposals that are handled together share one disk sync.
const maxInputsPerSave = 256

// run handles ticks, messages, requests and apply results until the replica
// stops. No other goroutine uses raft or the store.
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

// ticker returns the channel of ticks and a function that stops it.
func (r *Replica) ticker() (<-chan time.Time, func()) {
	if r.cfg.ticks != nil {
		return r.cfg.ticks, func() {}
	}
	t := time.NewTicker(r.cfg.TickInterval)
	return t.C, t.Stop
}

// handleQueuedInputs handles up to maxInputsPerSave messages and requests that
// are already queued, without waiting for more.
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

// processReady saves the state that raft wants saved, then sends its messages and
// completes its reads, until raft has nothing more to do. Saving comes first
// because the messages may acknowledge that state. It then passes the next
// committed batch on and publishes the status.
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

// startApply passes the next committed batch to applyLoop, unless one is still
// being applied.
func (r *Replica) startApply() {
	if r.applying {
		return
	}
	if b := r.raft.Committed(); b != nil {
		r.applying = true
		r.batches <- b
	}
}

// handleApplied takes the result of a batch. If it carries a snapshot, the log is
// compacted up to it.
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
	return r.store.Compact(r.raft.CompactedState())
}

// fail stops the replica because of err and fails all pending requests: what
// could not be saved must not be acknowledged.
func (r *Replica) fail(err error) {
	r.log.WithError(err).WithField("kind", errkind.Of(err)).
		Error("replica failed and stops; it acknowledges no further requests; fix the cause and restart it")
	r.cancel(err)
	r.waiters.failAll(err)
}
