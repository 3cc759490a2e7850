package dispatch

import "time"

// scheduler decides when and where requests run. It is a pure state machine: it
// does no I/O, takes no locks and reads no clock. Group implements it with hard
// limits of slots, Pool for targets that enforce their slots themselves.
type scheduler interface {
	Configure(now time.Time, s Settings)
	SetTargets(now time.Time, infos []TargetInfo)
	// Submit starts, queues or refuses r. Afterwards r is running or queued, or
	// the error is a *Refusal.
	Submit(now time.Time, r *Request, w Work) error
	// Cancel withdraws a request that is queued or running.
	Cancel(now time.Time, r *Request)
	// Done ends a running request and frees its slot. It returns the back-off of the
	// target that the outcome has started, or nil. A Group always returns nil.
	Done(now time.Time, r *Request, o Outcome) *Backoff
	// Tick processes everything that depends on time alone: expired deadlines,
	// ended back-offs and slow starts.
	Tick(now time.Time)
	// Decided returns the queued requests that were started or refused since the
	// last call. The slice is valid until the next call of any method.
	Decided() []*Request
	// Hedge starts h as a second attempt of the running request r on another
	// target and reports whether it did.
	Hedge(now time.Time, r, h *Request) bool
	Load(now time.Time) Load
	Stop()
	// counts returns the numbers of queued and running requests.
	counts() (queued, running int)
	// inUse returns the number of requests in flight by target ID.
	inUse() map[string]uint32
}
