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
	// maxFinalShare bounds the share of Grace that is kept for the time after the
	// last request. Requests must be able to run into the last sixth of Grace.
	maxFinalShare = 1.0 / 8
)

// finalTimes are the times at the end of Grace in which no request runs any more.
type finalTimes struct {
	responses time.Duration // for the responses to the requests that are cancelled
	leave     time.Duration // for the last report to control
	exit      time.Duration // for the exit of the process
}

func (f finalTimes) total() time.Duration { return f.responses + f.leave + f.exit }

// final returns the times after the last request. They shrink with a short Grace.
func (s Stop) final() finalTimes {
	f := finalTimes{responses: caller.FinalResponseTime, leave: leaveTimeout, exit: exitMargin}
	most := maxFinalShare * float64(s.Grace)
	if s.Grace <= 0 || float64(f.total()) <= most {
		return f
	}
	scale := most / float64(f.total())
	for _, d := range []*time.Duration{&f.responses, &f.leave, &f.exit} {
		*d = time.Duration(scale * float64(*d))
	}
	return f
}

// timeout returns how long requests may run during the graceful stop; the times of
// final follow. If Grace is not set, it is long enough for the longest request that
// is accepted during Linger. A document may allow requests of more than a minute.
func (s Stop) timeout(snap *snapshot.Snapshot) time.Duration {
	if s.Grace > 0 {
		return s.Grace.AsDuration() - s.final().total()
	}
	longest := document.DefaultLongestDeadline
	if snap != nil {
		longest = snap.Limits.LongestDeadline.AsDuration()
	}
	return s.Linger.AsDuration() + longest + stopMargin
}

// linger returns how long requests are still accepted. If Grace is set, that is at
// most half of it, and a little less than Linger, because the process may learn late
// that it has to stop.
func (s Stop) linger() time.Duration {
	if s.Grace > 0 {
		return min(s.Linger.AsDuration(), s.Grace.AsDuration()/2) - s.final().exit
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
	leaving, done := context.WithTimeout(context.Background(), p.settings.Stop.final().leave)
	defer done()
	if err := p.follower.Leave(leaving, true); err != nil {
		p.log.WithError(err).Warn("control did not record the exit of the entry")
	}
}
