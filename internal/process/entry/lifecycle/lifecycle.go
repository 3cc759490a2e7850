// Package lifecycle is the state machine of a process. The process starts, serves,
// drains and stops. It never returns to an earlier state.
package lifecycle

import (
	"context"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/looplab/fsm"
	"github.com/sirupsen/logrus"
)

// States of a process.
const (
	Starting = "starting" // serves no requests: no version is in force yet
	Serving  = "serving"
	Draining = "draining" // removed from look-ups, finishing the requests in flight
	Stopped  = "stopped"
)

// Events that change the state.
const (
	Confirmed = "confirmed" // a version is in force
	Stop      = "stop"      // a planned stop was requested
	Finished  = "finished"  // no requests are in flight any more
)

// Machine is the lifecycle of one process. It is safe for concurrent use.
type Machine struct{ fsm *fsm.FSM }

// New returns a machine in state Starting. It logs each change of state to log.
func New(log *logrus.Entry) *Machine {
	return &Machine{fsm: fsm.NewFSM(Starting, fsm.Events{
		{Name: Confirmed, Src: []string{Starting}, Dst: Serving},
		{Name: Stop, Src: []string{Starting, Serving}, Dst: Draining},
		{Name: Finished, Src: []string{Draining}, Dst: Stopped},
	}, fsm.Callbacks{
		"enter_state": func(_ context.Context, e *fsm.Event) {
			log.WithFields(logrus.Fields{"from": e.Src, "to": e.Dst, "event": e.Event}).Info("process state changed")
		},
	})}
}

// Fire applies an event. If the current state does not allow the event, Fire
// changes nothing and returns an error of kind Internal.
func (m *Machine) Fire(event string) error {
	if err := m.fsm.Event(context.Background(), event); err != nil {
		return errkind.Wrap(errkind.Internal, err, "process lifecycle")
	}
	return nil
}

// State returns the current state.
func (m *Machine) State() string { return m.fsm.Current() }

// Is reports whether the machine is in the given state.
func (m *Machine) Is(state string) bool { return m.fsm.Is(state) }
