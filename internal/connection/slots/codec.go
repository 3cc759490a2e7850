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
		Service: p.Service, Region: p.Region, Route: w.Route, Object: w.Object, From: w.FromDataCentre,
		Safe: w.Safe, AnySlot: w.AnySlot, NoQueue: w.NoQueue, Remote: w.Remote,
		Priority: uint32(max(w.Priority, 0)), DeadlineUs: w.Deadline.Sub(now).Microseconds(), Exclude: w.Exclude,
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
	if a.ObjectiveUs != 0 {
		w.Objective = now.Add(microseconds(a.ObjectiveUs))
	}
	return w
}

func decodeOutcome(d *fescuepb.SlotDone) dispatch.Outcome {
	r := d.GetReport()
	return dispatch.Outcome{
		Result: dispatch.Result(d.Result), Latency: microseconds(d.LatencyUs), FirstByte: microseconds(d.FirstByteUs),
		Report: dispatch.Report{
			Slots: int(r.GetSlots()), Running: int(r.GetRunning()), Waiting: int(r.GetWaiting()), Slowness: float64(r.GetSlowness()),
		},
	}
}

func encodeLoad(l dispatch.Load) *fescuepb.GroupLoad {
	return &fescuepb.GroupLoad{
		Queued: uint32(l.Queued), InFlight: uint32(l.InFlight), FreeSlots: uint32(l.FreeSlots),
		ExpectedWaitUs: l.ExpectedWait.Microseconds(), RunUs: l.Run.Microseconds(), Draining: l.Draining, FailedPercent: uint32(l.FailedPercent),
	}
}

func decodeLoad(l *fescuepb.GroupLoad) dispatch.Load {
	return dispatch.Load{
		Queued: int(l.GetQueued()), InFlight: int(l.GetInFlight()), FreeSlots: int(l.GetFreeSlots()),
		ExpectedWait: microseconds(l.GetExpectedWaitUs()), Run: microseconds(l.GetRunUs()), Draining: l.GetDraining(), FailedPercent: int(l.GetFailedPercent()),
	}
}
