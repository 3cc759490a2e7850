package proxy

import (
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/request/retry"
	"github.com/fescuejunction/fescuejunction/internal/request/spill"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// ServiceStates keeps the state that outlives single requests: for each service
// its retry budget and the ramp of requests from other data centres, and for each
// route the split over its services and the timeouts of its callers. The handlers
// of an entry share it. It is safe for concurrent use.
type ServiceStates struct {
	byName         sync.Map
	split          splitter
	callerTimeouts callerTimeouts
}

// serviceState is the state of one service.
type serviceState struct {
	retries *retry.Budget
	ramp    *spill.RemoteRamp
}

// get returns the state of a service and sets the policy of its retry budget.
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

// SharedRetryPolicy bounds the retries of services with guarded_slots, in place of
// the steering document. The bound holds for all entries together.
type SharedRetryPolicy struct {
	Policy retry.Policy
	// Entries returns the number of entries that share the slack. If it is
	// nil, the policy of the steering document applies.
	Entries func() int
}

// sharedBudgetMargin is the share of the common bound that the entries use. It is
// less than 1 because the windows of different entries do not begin at the same
// time.
const sharedBudgetMargin = 0.8

// stateOf returns the state of a service with its current retry policy.
func (h *Handler) stateOf(svc *snapshot.Service) *serviceState {
	p := retry.Policy{Percent: float64(svc.Retry.BudgetPercent), Slack: retry.DefaultSlack}
	if svc.GuardedSlots && h.SharedRetries.Entries != nil {
		p = h.SharedRetries.Policy
		p.Percent *= sharedBudgetMargin
		p.Slack *= sharedBudgetMargin / float64(max(h.SharedRetries.Entries(), 1))
	}
	return h.Services.get(svc, p, h.Now())
}
