package proxy

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dialect"
)

// maxStoredBody is the largest body in bytes that an answer to an at-most-once
// request may have. The ledger stores the answer for duplicates of the request.
const maxStoredBody = 1 << 20

// serveAtMostOnce runs an at-most-once request at the home of its key, which is
// the instance that stores the key. It tries again while the home moves to
// another instance.
func (h *Handler) serveAtMostOnce(ctx context.Context, c *call) (*reply, error) {
	dc, _ := h.Ledger.Home(c.snap, c.service.Name, c.key)
	var refusal error
	for timer := newTakeoverTimer(h.Now(), c); ; {
		rep, err := h.tryAtMostOnce(ctx, c, dc)
		refusal = reasonNotSent(refusal, err)
		moved := err != nil && (dispatcherMoved(err) || ledgerMayRecover(err))
		if !moved || c.forwardedBy != "" || !timer.wait(ctx, h.Now()) {
			return rep, refusal
		}
	}
}

// ledgerMayRecover reports whether err means that the ledger cannot accept the
// key now, but may do so soon.
func ledgerMayRecover(err error) bool {
	kind := errkind.Of(err)
	return kind == errkind.LedgerUnavailable || kind == errkind.LedgerNoBackup
}

// tryAtMostOnce runs the request on this instance if it is the home of the key.
// Otherwise it forwards the request to the home, or to an entry of dc, the data
// centre that stores the key.
func (h *Handler) tryAtMostOnce(ctx context.Context, c *call, dc string) (*reply, error) {
	// The proof of an earlier try does not hold any more: another request with
	// the key may have started since.
	c.startRecorded, c.provedNotStarted = false, false
	if _, here := h.Ledger.Home(c.snap, c.service.Name, c.key); here {
		return h.runAtHome(ctx, c)
	}
	if dc != h.DataCentre {
		if c.remote {
			return nil, errkind.New(errkind.LedgerUnavailable, "data centre %q does not store key %q", h.DataCentre, c.key)
		}
		return h.forwardTo(ctx, c, dc)
	}
	home := h.Groups.DispatchingEntry(c.service.Name)
	if home == nil || home.Instance == h.Instance || home.Instance == c.forwardedBy {
		return nil, errkind.New(errkind.NotDispatcher, "no entry stores the keys of service %q at present", c.service.Name)
	}
	return h.forward(ctx, c, home, false)
}

// runAtHome runs the request on the home of its key: it records the start of the
// key, runs the request and records the outcome. If the key has finished before,
// it returns the stored answer.
func (h *Handler) runAtHome(ctx context.Context, c *call) (*reply, error) {
	digest := c.digest()
	stored, err := h.Ledger.Start(ctx, c.service.Name, c.key, digest)
	c.provedNotStarted = stored == nil && errkind.Of(err) != errkind.LedgerUnavailable
	if err != nil {
		return nil, err
	}
	if stored != nil {
		return replayReply(stored, c.id), nil
	}
	c.startRecorded = true
	// The request continues if its caller disconnects, so that the outcome is
	// known when the caller sends it again.
	ctx, cancel := untilStopped(ctx, c.deadline)
	defer cancel()
	rep, err := h.run(ctx, c)
	if err != nil {
		h.finishFailed(ctx, c, err)
		return nil, err
	}
	return h.recordAnswer(ctx, c, rep)
}

// finishFailed records that the request did not run if err proves it. Otherwise
// it records that the outcome is unknown.
func (h *Handler) finishFailed(ctx context.Context, c *call, err error) {
	if errkind.Of(err).Response().DidRun == errkind.No {
		h.Ledger.Finish(context.WithoutCancel(ctx), c.service.Name, c.key, nil, true)
		return
	}
	h.Ledger.Abandon(c.service.Name, c.key)
}

// recordAnswer reads the whole answer and records it in the ledger before the
// caller gets it.
func (h *Handler) recordAnswer(ctx context.Context, c *call, rep *reply) (*reply, error) {
	body := bytes.Clone(rep.buffered)
	if rep.rest != nil {
		in := &bodyReader{Reader: io.LimitReader(rep.rest, maxStoredBody+1), memory: h.Answers}
		defer in.release()
		rest, err := io.ReadAll(in)
		if err != nil {
			rep.finish(err)
			h.Ledger.Abandon(c.service.Name, c.key)
			return nil, storeError(ctx, err)
		}
		body = append(body, rest...)
	}
	rep.finish(nil)
	if len(body) > maxStoredBody {
		h.Ledger.Abandon(c.service.Name, c.key)
		return nil, errkind.New(errkind.AnswerBroken, "the answer of an at-most-once request has more than %d bytes", maxStoredBody)
	}
	s := &StoredAnswer{Status: rep.status, Header: rep.header, Body: body}
	h.Ledger.Finish(context.WithoutCancel(ctx), c.service.Name, c.key, s, false)
	return storedReply(s, c.id), nil
}

// storeError classifies an error of reading an answer that is to be stored. Lack of
// memory does not prove, as it does for a request's body, that the request did not run.
func storeError(ctx context.Context, err error) error {
	if errkind.Of(err) == errkind.QueueFull {
		return errkind.New(errkind.AnswerBroken, "the answer cannot be kept: %v", err)
	}
	return readError(ctx, err)
}

// replayReply returns a stored answer as the answer to the request id. A header
// marks it as replayed and names the request that ran.
func replayReply(s *StoredAnswer, id string) *reply {
	rep := storedReply(s, id)
	rep.header.Set(dialect.HeaderReplayed, s.Header.Get(dialect.HeaderRequestID))
	return rep
}

// storedReply returns a recorded answer as the answer to the request id.
func storedReply(s *StoredAnswer, id string) *reply {
	header := s.Header.Clone()
	header.Set(dialect.HeaderRequestID, id)
	return &reply{status: s.Status, header: header, buffered: bytes.Clone(s.Body), length: int64(len(s.Body))}
}

// digest returns a hash of the request's method, path, shift and body. With it,
// the ledger detects a key that is used again for a different request.
func (c *call) digest() []byte {
	d := sha256.New()
	_, _ = io.WriteString(d, c.method+"\x00"+c.path+"\x00"+c.shift+"\x00")
	_, _ = d.Write(c.body)
	return d.Sum(nil)
}
