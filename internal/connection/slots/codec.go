package slots

import (
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
)

func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// encodeAsk encodes a slot request. Points in time are sent as the time left until
// then, so the clocks of the entries need not agree.
func encodeAsk(p Pool, w dispatch.Work, now time.Time) *fescuepb.SlotAsk {
	a := &fescuepb.SlotAsk{
		Service: p.Service, Region: p.Region, Part: uint32(p.Part), Route: w.Route, Object: w.Object, From: w.FromDataCentre,
		Safe: w.Safe, AnySlot: w.AnySlot, NoQueue: w.NoQueue, Remote: w.Remote,
		Priority: uint32(max(w.Priority, 0)), DeadlineUs: w.Deadline.Sub(now).Microseconds(), Exclude: w.Exclude,
	}
	for _, p := range w.Pauses {
		a.Pauses = append(a.Pauses, &fescuepb.TargetPause{Target: encodeProcess(p.Target), LeftUs: p.Left.Microseconds()})
	}
	if !w.Objective.IsZero() {
		a.ObjectiveUs = w.Objective.Sub(now).Microseconds()
		if a.ObjectiveUs == 0 {
			a.ObjectiveUs = -1 // 0 means that there is no objective
		}
	}
	return a
}

// decodeWork decodes a slot request that arrived at now.
func decodeWork(a *fescuepb.SlotAsk, now time.Time) dispatch.Work {
	w := dispatch.Work{
		Class: document.Short, Route: a.Route, Deadline: now.Add(microseconds(a.DeadlineUs)), AnySlot: a.AnySlot,
		NoQueue: a.NoQueue, Priority: int(a.Priority), Safe: a.Safe, Remote: a.Remote, Exclude: a.Exclude,
		Object: a.Object, FromDataCentre: a.From,
	}
	for _, p := range a.Pauses {
		w.Pauses = append(w.Pauses, dispatch.Pause{Target: decodeProcess(p.Target), Left: microseconds(p.LeftUs)})
	}
	if a.ObjectiveUs != 0 {
		w.Objective = now.Add(microseconds(a.ObjectiveUs))
	}
	return w
}

func encodeProcess(p dispatch.Process) *fescuepb.TargetProcess {
	return &fescuepb.TargetProcess{Id: p.ID, Address: p.Addr, Incarnation: p.Incarnation}
}

func decodeProcess(p *fescuepb.TargetProcess) dispatch.Process {
	return dispatch.Process{ID: p.GetId(), Addr: p.GetAddress(), Incarnation: p.GetIncarnation()}
}

func decodeOutcome(d *fescuepb.SlotDone) dispatch.Outcome {
	r := d.GetReport()
	return dispatch.Outcome{
		Result: dispatch.Result(d.Result), Latency: microseconds(d.LatencyUs), FirstByte: microseconds(d.FirstByteUs), Leaving: d.Leaving,
		Report: dispatch.Report{
			Slots: int(r.GetSlots()), Running: int(r.GetRunning()), Waiting: int(r.GetWaiting()), Slowness: float64(r.GetSlowness()),
		},
	}
}

func encodeLoad(l dispatch.Load) *fescuepb.GroupLoad {
	out := &fescuepb.GroupLoad{
		Queued: uint32(l.Queued), InFlight: uint32(l.InFlight), FreeSlots: uint32(l.FreeSlots),
		ExpectedWaitUs: l.ExpectedWait.Microseconds(), RunUs: l.Run.Microseconds(), Draining: l.Draining, FailedPercent: uint32(l.FailedPercent),
	}
	for _, p := range l.Leaving {
		out.Leaving = append(out.Leaving, encodeProcess(p))
	}
	return out
}

func decodeLoad(l *fescuepb.GroupLoad) dispatch.Load {
	out := dispatch.Load{
		Queued: int(l.GetQueued()), InFlight: int(l.GetInFlight()), FreeSlots: int(l.GetFreeSlots()),
		ExpectedWait: microseconds(l.GetExpectedWaitUs()), Run: microseconds(l.GetRunUs()), Draining: l.GetDraining(), FailedPercent: int(l.GetFailedPercent()),
	}
	for _, p := range l.GetLeaving() {
		out.Leaving = append(out.Leaving, decodeProcess(p))
	}
	return out
}
