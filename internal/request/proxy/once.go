package proxy

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// maxStoredBody bounds the answer that is kept for duplicates of an
// at-most-once request.
const maxStoredBody = 1 << 20

// serveOnce runs an at-most-once request at the home of its key.
func (h *Handler) serveOnce(ctx context.Context, c *call) (*reply, error) {
	dc, here := h.Ledger.Home(c.snap, c.service.Name, c.key)
	if here {
		return h.runOnce(ctx, c)
	}
	if dc == h.DataCentre {
		return h.retryHome(ctx, c)
	}
	if c.remote {
		return nil, errkind.New(errkind.LedgerUnavailable, "data centre %q does not keep key %q", h.DataCentre, c.key)
	}
	return h.forwardTo(ctx, c, dc)
}

// retryHome forwards to the member that keeps the key, again while its role
// moves to another member.
func (h *Handler) retryHome(ctx context.Context, c *call) (*reply, error) {
	var err error
	for wait := newTakeoverWait(h.Now(), c); ; {
		if _, here := h.Ledger.Home(c.snap, c.service.Name, c.key); here {
			return h.runOnce(ctx, c)
		}
		err = errkind.New(errkind.NotDispatcher, "no member keeps the keys of service %q now", c.service.Name)
		if home := h.Groups.Home(c.service.Name); home != nil && home.Instance != h.Instance && home.Instance != c.from {
			var rep *reply
			rep, err = h.forward(ctx, c, home, false)
			if err == nil {
				return rep, nil
			}
		}
		if !homeMoved(err) || c.from != "" || !wait.next(ctx, h.Now()) {
			return nil, err
		}
	}
}

// runOnce records the start of the key, runs the request and records its
// outcome.
func (h *Handler) runOnce(ctx context.Context, c *call) (*reply, error) {
	digest := c.digest()
	stored, err := h.Ledger.Start(ctx, c.service.Name, c.key, digest)
	if err != nil {
		return nil, err
	}
	if stored != nil {
		return storedReply(stored, c.id), nil
	}
	c.recorded = true
	rep, err := h.run(ctx, c)
	if err != nil {
		h.finishFailed(ctx, c, err)
		return nil, err
	}
	return h.store(ctx, c, rep)
}

// finishFailed records that the key did not run if that is proved; else its
// outcome stays unknown.
func (h *Handler) finishFailed(ctx context.Context, c *call, err error) {
	if errkind.Of(err).Answer().DidRun == errkind.No {
		h.Ledger.Finish(context.WithoutCancel(ctx), c.service.Name, c.key, nil, true)
	}
}

// store reads the whole answer and records it before the caller gets it.
func (h *Handler) store(ctx context.Context, c *call, rep *reply) (*reply, error) {
	body := rep.head
	if rep.rest != nil {
		rest, err := io.ReadAll(io.LimitReader(rep.rest, maxStoredBody+1))
		if err != nil {
			rep.finish(err)
			return nil, readError(ctx, err)
		}
		body = append(body, rest...)
	}
	rep.finish(nil)
	if len(body) > maxStoredBody {
		return nil, errkind.New(errkind.AnswerBroken, "the answer of an at-most-once request has more than %d bytes", maxStoredBody)
	}
	s := &Stored{Status: rep.status, Header: rep.header, Body: body}
	h.Ledger.Finish(context.WithoutCancel(ctx), c.service.Name, c.key, s, false)
	return storedReply(s, c.id), nil
}

func storedReply(s *Stored, id string) *reply {
	header := s.Header.Clone()
	header.Set(HeaderRequestID, id)
	return &reply{status: s.Status, header: header, head: bytes.Clone(s.Body), length: int64(len(s.Body))}
}

// digest identifies the content of a request, so that a key that is used
// again for another request is noticed.
func (c *call) digest() []byte {
	d := sha256.New()
	_, _ = io.WriteString(d, c.method+"\x00"+c.path+"\x00"+c.shift+"\x00")
	_, _ = d.Write(c.body)
	return d.Sum(nil)
}
