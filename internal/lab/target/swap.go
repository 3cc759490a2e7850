package target

import (
	"context"
	"sync"
	"time"
)

// reply is an answer to a request, ready to be written.
type reply struct {
	requestID string
	body      []byte
}

// swapWait bounds how long a request waits for a second one to exchange
// answers with. After that it gets its own answer.
const swapWait = time.Second

// swapper pairs requests and exchanges their answers.
type swapper struct {
	mu      sync.Mutex
	waiting *swapOffer
}

type swapOffer struct {
	own   reply
	other chan reply
}

func newSwapper() *swapper { return &swapper{} }

// exchange returns the answer of another request, or own if no other request
// comes in time.
func (s *swapper) exchange(ctx context.Context, own reply) reply {
	s.mu.Lock()
	if first := s.waiting; first != nil {
		s.waiting = nil
		s.mu.Unlock()
		first.other <- own
		return first.own
	}
	offer := &swapOffer{own: own, other: make(chan reply, 1)}
	s.waiting = offer
	s.mu.Unlock()

	timer := time.NewTimer(swapWait)
	defer timer.Stop()
	select {
	case r := <-offer.other:
		return r
	case <-ctx.Done():
	case <-timer.C:
	}
	return s.withdraw(offer)
}

func (s *swapper) withdraw(offer *swapOffer) reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting == offer {
		s.waiting = nil
		return offer.own
	}
	return <-offer.other // exchange has already taken the offer and sends the other answer
}
