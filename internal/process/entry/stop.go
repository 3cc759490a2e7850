package entry

import (
	"context"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/connection/caller"
	"github.com/fescuejunction/fescuejunction/internal/process/entry/lifecycle"
	"github.com/fescuejunction/fescuejunction/internal/request/proxy"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// Times of the graceful stop.
const (
	// stopMargin is the time for reporting the leave to control and for writing
	// the last responses.
	stopMargin = 10 * time.Second
	// leaveTimeout limits the last report to control, which follows the end of
	// the last request.
	leaveTimeout = 250 * time.Millisecond
	// exitMargin is the time for the exit of the process after that report.
	exitMargin = 250 * time.Millisecond
)

// timeout returns how long requests may run during the graceful stop. The last
// responses and the last report to control follow. If Grace is not set, it is long enough for the longest request that is
// accepted during Linger. A document may allow requests of more than a minute.
func (s Stop) timeout(snap *snapshot.Snapshot) time.Duration {
	if s.Grace > 0 {
		return s.Grace.AsDuration() - caller.FinalResponseTime - leaveTimeout - exitMargin
	}
	longest := document.DefaultLongestDeadline
	if snap != nil {
		longest = snap.Limits.LongestDeadline.AsDuration()
	}
	return s.Linger.AsDuration() + longest + stopMargin
}

// linger returns how long requests are still accepted: at most half of Grace, less
// exitMargin, if Grace is set.
func (s Stop) linger() time.Duration {
	if s.Grace > 0 {
		return min(s.Linger.AsDuration(), s.Grace.AsDuration()/2-exitMargin)
	}
	return s.Linger.AsDuration()
}

// stop removes the entry from look-ups, hands over the services that it dispatches
// and waits until no requests are in flight.
func (p *process) stop(servers []endpoint) {
	p.log.Info("planned stop: leaving look-ups and handing over dispatched services")
	end := time.Now().Add(p.settings.Stop.timeout(p.store.Load()))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	p.stopState.Store(&proxy.Stop{Deadline: end})
	p.fireEvent(lifecycle.Stop)
	p.groups.Stop()
	for _, l := range servers {
		if s, ok := l.server.(*caller.Server); ok {
			s.Drain()
		}
	}
	lingered := time.After(p.settings.Stop.linger())
	go func() {
		if err := p.follower.Leave(ctx, false); err != nil {
			p.log.WithError(err).Warn("control did not record that the entry is leaving")
		}
	}()
	<-lingered
	p.stopState.Store(&proxy.Stop{Deadline: end, Refusing: true})
	var down sync.WaitGroup
	for _, l := range servers {
		down.Go(func() {
			if err := l.Shutdown(ctx); err != nil {
				p.log.WithError(err).WithField("addr", l.addr).Warn("stop timed out with requests still in flight")
			}
		})
	}
	down.Wait()
	p.fireEvent(lifecycle.Finished)
	leaving, done := context.WithTimeout(context.Background(), leaveTimeout)
	defer done()
	if err := p.follower.Leave(leaving, true); err != nil {
		p.log.WithError(err).Warn("control did not record the exit of the entry")
	}
}
