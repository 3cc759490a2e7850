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
type Services struct {
	byName sync.Map
	split  splitter
	waits  waits
}

type serviceState struct {
	retries *retry.Budget
	ramp    *spill.RemoteRamp
}

// get returns the state of a service with the budget of its present version.
func (s *Services) get(svc *snapshot.Service, now time.Time) *serviceState {
	v, ok := s.byName.Load(svc.Name)
	if !ok {
		v, _ = s.byName.LoadOrStore(svc.Name, &serviceState{
			retries: retry.NewBudget(svc.Retry.BudgetPercent, now),
			ramp:    spill.NewRemoteRamp(now),
		})
	}
	st := v.(*serviceState)
	st.retries.SetPercent(svc.Retry.BudgetPercent)
	return st
}
