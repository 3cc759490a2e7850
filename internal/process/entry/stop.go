package entry

import (
	"context"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/connection/caller"
	"github.com/fescuejunction/fescuejunction/internal/process/entry/lifecycle"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// Times of the graceful stop.
const (
	// stopMargin is for leaving at control and for writing the last answers.
	stopMargin = 10 * time.Second
	// leaveTimeout bounds the last report to control, after the last request.
	leaveTimeout = 250 * time.Millisecond
	// exitMargin is for the end of the process after that report.
	exitMargin = 250 * time.Millisecond
)

// timeout bounds the graceful stop. Without a time of grace it outlasts the
// longest request that is admitted while the entry lingers: a document may allow
// more than a minute.
func (s Stop) timeout(snap *snapshot.Snapshot) time.Duration {
	if s.Grace > 0 {
		return s.Grace.AsDuration() - leaveTimeout - exitMargin
	}
	longest := document.DefaultLongestDeadline
	if snap != nil {
		longest = snap.Limits.LongestDeadline.AsDuration()
	}
	return s.Linger.AsDuration() + longest + stopMargin
}

// linger returns how long requests are still taken, at most half of the time of
// grace.
func (s Stop) linger() time.Duration {
	if s.Grace > 0 {
		return min(s.Linger.AsDuration(), s.Grace.AsDuration()/2-exitMargin)
	}
	return s.Linger.AsDuration()
}

// stop takes the entry out of look-ups, hands its services over and waits
// until nothing is in flight.
func (p *process) stop(servers []listener) {
	p.log.Info("stopping: out of look-ups, handing over")
	ctx, cancel := context.WithTimeout(context.Background(), p.set.Stop.timeout(p.store.Load()))
	defer cancel()
	p.fire(lifecycle.Stop)
	p.groups.Stop()
	for _, l := range servers {
		if s, ok := l.server.(*caller.Server); ok {
			s.Drain()
		}
	}
	lingered := time.After(p.set.Stop.linger())
	go func() {
		if err := p.follower.Leave(ctx, false); err != nil {
			p.log.WithError(err).Warn("leaving not recorded by control")
		}
	}()
	<-lingered
	var down sync.WaitGroup
	for _, l := range servers {
		down.Go(func() {
			if err := l.Shutdown(ctx); err != nil {
				p.log.WithError(err).WithField("addr", l.addr).Warn("requests were still in flight at the end of the stop")
			}
		})
	}
	down.Wait()
	p.fire(lifecycle.Finished)
	leaving, done := context.WithTimeout(context.Background(), leaveTimeout)
	defer done()
	if err := p.follower.Leave(leaving, true); err != nil {
		p.log.WithError(err).Warn("exit not recorded by control")
	}
}
