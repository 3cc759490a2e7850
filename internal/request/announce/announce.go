// Package announce keeps what targets have announced to this entry in their
// answers: that they leave, or that they want no requests from it for a while. The
// entry keeps to both whatever the list of targets or another entry says.
package announce

import (
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/request/dialect"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// Registry is the State of an entry, with its log lines and metrics. It is safe
// for concurrent use. A nil Registry is empty and records nothing.
type Registry struct {
	now func() time.Time
	log *logrus.Entry

	leaving, paused tally.Counter
	scope           tally.Scope

	mu    sync.Mutex
	state State
}

// New returns an empty registry. now must count the time during which the machine
// is suspended, since pauses go on meanwhile.
func New(now func() time.Time, log *logrus.Entry, metrics tally.Scope) *Registry {
	scope := metrics.SubScope("announcements")
	return &Registry{now: now, log: log, scope: scope, leaving: scope.Counter("leaving"), paused: scope.Counter("pauses")}
}

// Notice is what a target has announced.
type Notice struct {
	Leaving   bool
	PauseLeft time.Duration // 0: no pause
}

// Withdrawn reports whether the target must get no requests.
func (n Notice) Withdrawn() bool { return n.Leaving || n.PauseLeft > 0 }

// Reason returns the reason for which the target gets no requests, for logs and
// metrics.
func (n Notice) Reason() string {
	if n.Leaving {
		return "leaving"
	}
	return "pausing"
}

// Of returns what a target has announced.
func (r *Registry) Of(p dispatch.Process) Notice {
	if r == nil {
		return Notice{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return Notice{Leaving: r.state.Leaves(p), PauseLeft: r.state.PauseLeft(r.now(), p)}
}

// Pauses returns the pauses of the targets of a service.
func (r *Registry) Pauses(service string) []dispatch.Pause {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Pauses(r.now(), service)
}

// PausesAt reports whether the target with an identifier and an address pauses,
// whichever process it is.
func (r *Registry) PausesAt(id, addr string) bool {
	return r.Of(dispatch.Process{ID: id, Addr: addr}).PauseLeft > 0
}

// Observe records what a target of a service announces in its answer to a request.
func (r *Registry) Observe(service string, p dispatch.Process, requestID string, a dialect.Answer) {
	if r == nil {
		return
	}
	if a.Pause.Fault != "" {
		r.scope.Tagged(map[string]string{"fault": string(a.Pause.Fault)}).Counter("pause_faults").Inc(1)
	}
	if a.Leaving {
		r.leave(service, p, requestID)
	}
	if a.Pause.For > 0 {
		r.pause(service, p, requestID, a.Pause)
	}
}

// Learn records the targets that another entry reports as leaving.
func (r *Registry) Learn(service string, leaving []dispatch.Process) {
	if r == nil {
		return
	}
	for _, p := range leaving {
		r.leave(service, p, "")
	}
}

// leave records that a target leaves. requestID is empty if another entry has got
// the answer.
func (r *Registry) leave(service string, p dispatch.Process, requestID string) {
	r.mu.Lock()
	isNew := r.state.Leave(p)
	r.mu.Unlock()
	if !isNew {
		return
	}
	r.leaving.Inc(1)
	r.logTarget(service, p, requestID).WithField("until", "the end of its process").Info("target taken out: it announced that it leaves")
}

// minLoggedExtension is by how much a pause must become longer for another log
// line. Requests that a target refuses together each extend the pause a little.
const minLoggedExtension = time.Second

func (r *Registry) pause(service string, p dispatch.Process, requestID string, stated dialect.Pause) {
	r.mu.Lock()
	added := r.state.Pause(r.now(), service, p, stated.For)
	r.mu.Unlock()
	if added < min(minLoggedExtension, stated.For) {
		return
	}
	r.paused.Inc(1)
	line := r.logTarget(service, p, requestID).WithFields(logrus.Fields{
		"pause_ms": stated.For.Milliseconds(), "until": time.Now().Add(stated.For).Format(time.RFC3339Nano),
	})
	if stated.Fault != "" {
		line = line.WithField("fault", string(stated.Fault))
	}
	line.Info("target paused: it announced that it wants no requests")
}

func (r *Registry) logTarget(service string, p dispatch.Process, requestID string) *logrus.Entry {
	fields := logrus.Fields{"service": service, "target": p.ID, "addr": p.Addr, "incarnation": p.Incarnation}
	if requestID == "" {
		fields["source"] = "another entry"
	} else {
		fields["request_id"], fields["source"] = requestID, "answer of the target"
	}
	return r.log.WithFields(fields)
}

// CountReturned counts a slot that was given back because of a notice.
func (r *Registry) CountReturned(n Notice) {
	r.scope.Tagged(map[string]string{"reason": n.Reason()}).Counter("slots_returned").Inc(1)
}
