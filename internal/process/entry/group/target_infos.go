package group

import (
	"slices"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	slotlink "github.com/fescuejunction/fescuejunction/internal/connection/slots"
	"github.com/fescuejunction/fescuejunction/internal/request/dispatch"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// dispatchSettings returns the settings of a service's dispatcher. dc is the data
// centre that it dispatches in, or "" if it dispatches a pool of a region.
func dispatchSettings(svc *snapshot.Service, dc string, s *snapshot.Snapshot) dispatch.Settings {
	out := dispatch.Settings{
		Service: svc.Name, DataCentre: dc, Slots: svc.SlotsPerTarget,
		QueueLimit: svc.QueueLimit, LongSharePercent: svc.LongSharePercent, Warmup: svc.Warmup.AsDuration(),
		LongestDeadline: s.LongestDeadline(svc),
	}
	if svc.Hedge != nil {
		out.HedgePercent, out.HedgeMinDelay = svc.Hedge.BudgetPercent, svc.Hedge.MinDelay.AsDuration()
	}
	return out
}

// targetInfosLocked returns the targets of a pool.
func (g *Guarded) targetInfosLocked(svc *snapshot.Service, pool slotlink.Pool) []dispatch.TargetInfo {
	p := g.partitionLocked(svc, pool.Region)
	return slices.DeleteFunc(g.regionTargetInfosLocked(svc, pool.Region), func(i dispatch.TargetInfo) bool { return p.partOf[i.ID] != pool.Part })
}

// regionTargetInfosLocked returns the targets of a service in a region. A target is
// leaving if the snapshot says so or if the target has announced it.
func (g *Guarded) regionTargetInfosLocked(svc *snapshot.Service, region string) []dispatch.TargetInfo {
	var infos []dispatch.TargetInfo
	for _, dc := range g.snap.DataCentres(region) {
		for _, t := range g.snap.Targets(svc.Name, dc) {
			info := targetInfo(g.snap, svc, t)
			info.ColdRemaining = max(info.ColdRemaining, g.coldAfterPauseLocked(&info))
			if g.Announced.Of(info.Process()).Leaving {
				info.State = dispatch.Leaving
			}
			infos = append(infos, info)
		}
	}
	return infos
}

// targetInfo converts a target of the snapshot for a dispatcher. No load is known
// for it, which is -1. Numbers are bounded here and not when they are committed, since
// a log of an older build may hold any.
func targetInfo(s *snapshot.Snapshot, svc *snapshot.Service, t *fescuepb.Target) dispatch.TargetInfo {
	info := dispatch.TargetInfo{
		ID: t.Id, Addr: t.Address, DataCentre: t.DataCentre, Slots: int(min(t.Slots, document.MaxSlotsPerTarget)), ReportedLoad: -1, Incarnation: t.BornUnixMs,
		ColdRemaining: time.Duration(min(t.ColdMs, uint64(document.MaxWarmup.Milliseconds()))) * time.Millisecond,
	}
	if svc.ColdStart != nil {
		info.ColdRate, info.ColdDuration = svc.ColdStart.PerSecond, svc.ColdStart.Period.AsDuration()
	}
	if t.Leaving || s.TargetDrained(svc.Name, t.DataCentre, t.Id) {
		info.State = dispatch.Leaving
	}
	return info
}
