// Package lifecycle is the state machine of a process: it starts, serves,
// drains and stops, and never goes back.
package lifecycle

import (
	"context"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/looplab/fsm"
	"github.com/sirupsen/logrus"
)

// The states.
const (
	Starting = "starting" // acts on nothing: no confirmed version yet
	Serving  = "serving"
	Draining = "draining" // out of look-ups, finishing what is in flight
	Stopped  = "stopped"
)

// The events.
const (
	Confirmed = "confirmed" // a confirmed version is in force
	Stop      = "stop"      // a planned stop was asked for
	Finished  = "finished"  // nothing is in flight any more
)

// Machine is the life cycle of one process. It is safe for concurrent use.
type Machine struct{ fsm *fsm.FSM }

// New returns a machine in state Starting that logs each change.
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

// Fire moves the machine by an event. An event that the present state does
// not allow gives an error of kind Internal and changes nothing.
func (m *Machine) Fire(event string) error {
	if err := m.fsm.Event(context.Background(), event); err != nil {
		return errkind.Wrap(errkind.Internal, err, "process life cycle")
	}
	return nil
}

// State returns the present state.
func (m *Machine) State() string { return m.fsm.Current() }

// Is reports whether the machine is in a state.
func (m *Machine) Is(state string) bool { return m.fsm.Is(state) }
