package proxy

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/dialect"
)

// maxStoredBody bounds the answer that is kept for duplicates of an
// at-most-once request.
const maxStoredBody = 1 << 20

// serveOnce runs an at-most-once request at the home of its key. It tries
// again while the home moves to another instance.
func (h *Handler) serveAtMostOnce(ctx context.Context, c *call) (*reply, error) {
	dc, _ := h.Ledger.Home(c.snap, c.service.Name, c.key)
	for timer := newTakeoverTimer(h.Now(), c); ; {
		rep, err := h.tryAtMostOnce(ctx, c, dc)
		moved := err != nil && (dispatcherMoved(err) || ledgerMayRecover(err))
		if !moved || c.forwardedBy != "" || !timer.wait(ctx, h.Now()) {
			return rep, err
		}
	}
}

// ledgerMoved reports whether the ledger may accept the key soon.
func ledgerMayRecover(err error) bool {
	kind := errkind.Of(err)
	return kind == errkind.LedgerUnavailable || kind == errkind.LedgerNoBackup
}

func (h *Handler) tryAtMostOnce(ctx context.Context, c *call, dc string) (*reply, error) {
	// What an earlier try proved may have changed since.
	c.startRecorded, c.provedNotStarted = false, false
	if _, here := h.Ledger.Home(c.snap, c.service.Name, c.key); here {
		return h.runAtHome(ctx, c)
	}
	if dc != h.DataCentre {
		if c.remote {
			return nil, errkind.New(errkind.LedgerUnavailable, "data centre %q does not keep key %q", h.DataCentre, c.key)
		}
		return h.forwardTo(ctx, c, dc)
	}
	home := h.Groups.Home(c.service.Name)
	if home == nil || home.Instance == h.Instance || home.Instance == c.forwardedBy {
		return nil, errkind.New(errkind.NotDispatcher, "no member keeps the keys of service %q now", c.service.Name)
	}
	return h.forward(ctx, c, home, false)
}

// runOnce records the start of the key, runs the request and records its
// outcome.
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
	// The request goes on if its caller goes away, so that the outcome is
	// known when the caller tries again.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.deadline)
	defer cancel()
	rep, err := h.run(ctx, c)
	if err != nil {
		h.finishFailed(ctx, c, err)
		return nil, err
	}
	return h.recordAnswer(ctx, c, rep)
}

// finishFailed records that the key did not run if that is proved;
// otherwise its outcome stays unknown.
func (h *Handler) finishFailed(ctx context.Context, c *call, err error) {
	if errkind.Of(err).Answer().DidRun == errkind.No {
		h.Ledger.Finish(context.WithoutCancel(ctx), c.service.Name, c.key, nil, true)
		return
	}
	h.Ledger.Abandon(c.service.Name, c.key)
}

// store reads the whole answer and records it before the caller gets it.
func (h *Handler) recordAnswer(ctx context.Context, c *call, rep *reply) (*reply, error) {
	body := bytes.Clone(rep.buffered)
	if rep.rest != nil {
		rest, err := io.ReadAll(io.LimitReader(rep.rest, maxStoredBody+1))
		if err != nil {
			rep.finish(err)
			h.Ledger.Abandon(c.service.Name, c.key)
			return nil, readError(ctx, err)
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

// replayed marks a stored answer; the answer names the request that ran.
func replayReply(s *StoredAnswer, id string) *reply {
	rep := storedReply(s, id)
	rep.header.Set(dialect.HeaderReplayed, s.Header.Get(dialect.HeaderRequestID))
	return rep
}

func storedReply(s *StoredAnswer, id string) *reply {
	header := s.Header.Clone()
	header.Set(dialect.HeaderRequestID, id)
	return &reply{status: s.Status, header: header, buffered: bytes.Clone(s.Body), length: int64(len(s.Body))}
}

// digest identifies the content of a request, so that a key that is used
// again for another request is noticed.
func (c *call) digest() []byte {
	d := sha256.New()
	_, _ = io.WriteString(d, c.method+"\x00"+c.path+"\x00"+c.shift+"\x00")
	_, _ = d.Write(c.body)
	return d.Sum(nil)
}
