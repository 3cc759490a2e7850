package dispatch

import "time"

// scheduler decides when and where requests run, as a pure state machine: it
// does no I/O, takes no locks and reads no clock. Group keeps hard slots; Pool
// is for targets that guard their slots themselves.
type scheduler interface {
	Configure(now time.Time, s Settings)
	SetTargets(now time.Time, infos []TargetInfo)
	// Submit starts, queues or refuses r. Afterwards r is running or queued, or
	// the error says why it was refused.
	Submit(now time.Time, r *Request, w Work) error
	// Cancel withdraws a request that is queued or running.
	Cancel(now time.Time, r *Request)
	// Done ends a running request.
	Done(now time.Time, r *Request, o Outcome)
	// Tick lets time pass.
	Tick(now time.Time)
	// Decided returns the queued requests that were started or refused since the
	// last call. The slice is valid until the next call of any method.
	Decided() []*Request
	// Hedge starts h as a second try of the running request r.
	Hedge(now time.Time, r, h *Request) bool
	Load(now time.Time) Load
	Stop()
	// counts returns the requests that wait and that run.
	counts() (queued, running int)
	// inUse returns the requests in flight by target.
	inUse() map[string]uint32
}
