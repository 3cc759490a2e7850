package lookup

import (
	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// Caller describes where a caller is and which host name it resolves.
type Caller struct {
	Host       string
	DataCentre string
	Region     string
}

// NearestEntries returns up to limit entries that a caller should use, in no order
// of preference: those of its data centre, or if there are none, those of its
// region, or if there are none, all. Entries that have no session or have lost
// it, that are leaving or that are drained are omitted, unless there are no
// others. The result is nil if s is nil or has no entries.
func NearestEntries(s *snapshot.Snapshot, from Caller, limit int) []*fescuepb.Member {
	if s == nil {
		return nil
	}
	tiers := []func(m *fescuepb.Member) bool{
		func(m *fescuepb.Member) bool { return acceptsCallers(s, m) && m.DataCentre == from.DataCentre },
		func(m *fescuepb.Member) bool { return acceptsCallers(s, m) && m.Region == from.Region },
		func(m *fescuepb.Member) bool { return acceptsCallers(s, m) },
		func(m *fescuepb.Member) bool { return m.Role == fescuepb.Role_ROLE_ENTRY },
	}
	for _, match := range tiers {
		if out := firstMatches(s, match, limit); len(out) > 0 {
			return out
		}
	}
	return nil
}

// acceptsCallers reports whether an entry can take requests of callers.
func acceptsCallers(s *snapshot.Snapshot, m *fescuepb.Member) bool {
	return m.Role == fescuepb.Role_ROLE_ENTRY && !m.Leaving && !m.Silent && m.Session > 0 && !s.InstanceDrained(m.Instance)
}

// firstMatches returns the first limit members that match.
func firstMatches(s *snapshot.Snapshot, match func(*fescuepb.Member) bool, limit int) []*fescuepb.Member {
	var out []*fescuepb.Member
	for _, m := range s.Members() {
		if len(out) < limit && match(m) {
			out = append(out, m)
		}
	}
	return out
}
