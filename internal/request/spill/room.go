package spill

import (
	"slices"

	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// RoomShares returns the shares of the requests of a region's callers that each region
// would run if all regions were equally loaded, or nil if the snapshot does not say. It
// counts the given services, or all if there are none.
//
// The room of a region is the slots of its active targets. Its callers are taken to be as
// many as its share of the entries, which are placed where callers are. A region with more
// room than callers keeps all of its requests; one with less gives the excess to the others
// in proportion to what they have left. All entries with the same snapshot get the same
// shares.
func RoomShares(snap *snapshot.Snapshot, own string, services ...string) map[string]float64 {
	if snap == nil {
		return nil
	}
	slots, entries := map[string]float64{}, map[string]float64{}
	totalSlots, totalEntries := 0.0, 0.0
	for _, region := range snap.Regions() {
		slots[region], entries[region] = regionSlots(snap, region, services), regionEntries(snap, region)
		totalSlots += slots[region]
		totalEntries += entries[region]
	}
	if totalSlots == 0 || entries[own] == 0 {
		return nil
	}
	spare, totalSpare := map[string]float64{}, 0.0
	for region := range slots {
		spare[region] = max(slots[region]/totalSlots-entries[region]/totalEntries, 0)
		totalSpare += spare[region]
	}
	kept := min((slots[own]/totalSlots)/(entries[own]/totalEntries), 1)
	if totalSpare == 0 {
		kept = 1
	}
	shares := map[string]float64{own: kept}
	for region, s := range spare {
		if region != own && s > 0 && kept < 1 {
			shares[region] = (1 - kept) * s / totalSpare
		}
	}
	return shares
}

// regionSlots returns the slots of the targets in a region that take requests.
func regionSlots(snap *snapshot.Snapshot, region string, services []string) float64 {
	n := 0.0
	for _, dc := range snap.DataCentres(region) {
		for service, svc := range snap.Services {
			if !svc.GuardedSlots || snap.ServiceDrained(service, dc) || len(services) > 0 && !slices.Contains(services, service) {
				continue
			}
			for _, t := range snap.Targets(service, dc) {
				if !t.Leaving && !snap.TargetDrained(service, dc, t.Id) {
					n += float64(t.Slots)
				}
			}
		}
	}
	return n
}

// regionEntries returns the number of entries in a region.
func regionEntries(snap *snapshot.Snapshot, region string) float64 {
	n := 0
	for _, dc := range snap.DataCentres(region) {
		n += len(snap.Entries(dc))
	}
	return float64(n)
}
