package proxy

import (
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/request/retry"
	"github.com/fescuejunction/fescuejunction/internal/request/spill"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// Services keeps what outlives a request for each service: the retry budget
// and the ramp of requests from other data centres. The handlers of an entry
// share it. It is safe for concurrent use.
type ServiceStates struct {
	byName         sync.Map
	split          splitter
	callerTimeouts callerTimeouts
}

type serviceState struct {
	retries *retry.Budget
	ramp    *spill.RemoteRamp
}

// get returns the state of a service with the budget of its present version.
func (s *ServiceStates) get(svc *snapshot.Service, policy retry.Policy, now time.Time) *serviceState {
	v, ok := s.byName.Load(svc.Name)
	if !ok {
		v, _ = s.byName.LoadOrStore(svc.Name, &serviceState{
			retries: retry.NewBudget(policy, now),
			ramp:    spill.NewRemoteRamp(now),
		})
	}
	st := v.(*serviceState)
	st.retries.SetPolicy(policy)
	return st
}

// RetryShare bounds the retries of services with guarded slots, in place of the
// document, for all entries together.
type SharedRetryPolicy struct {
	Policy retry.Policy
	// Entries is the number of entries that share the slack.
	Entries func() int
}

// shareMargin of the bound is used: entries count spans of time that do not
// begin together.
const sharedBudgetMargin = 0.8

// service returns the state of the call's service.
func (h *Handler) stateOf(svc *snapshot.Service) *serviceState {
	p := retry.Policy{Percent: float64(svc.Retry.BudgetPercent), Slack: retry.DefaultSlack}
	if svc.GuardedSlots && h.SharedRetries.Entries != nil {
		p = h.SharedRetries.Policy
		p.Percent *= sharedBudgetMargin
		p.Slack *= sharedBudgetMargin / float64(max(h.SharedRetries.Entries(), 1))
	}
	return h.Services.get(svc, p, h.Now())
}
