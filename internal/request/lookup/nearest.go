package lookup

import (
	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// Place is where a caller is and what it asks for.
type Caller struct {
	Host       string
	DataCentre string
	Region     string
}

// Near returns the entries that a caller should use, all equally good: those of
// its data centre, or else of its region, or else all. Entries whose session
// is lost, that are leaving or drained are left out, unless no others are
// left.
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

func acceptsCallers(s *snapshot.Snapshot, m *fescuepb.Member) bool {
	return m.Role == fescuepb.Role_ROLE_ENTRY && !m.Leaving && !m.Silent && m.Session > 0 && !s.InstanceDrained(m.Instance)
}

func firstMatches(s *snapshot.Snapshot, match func(*fescuepb.Member) bool, limit int) []*fescuepb.Member {
	var out []*fescuepb.Member
	for _, m := range s.Members() {
		if len(out) < limit && match(m) {
			out = append(out, m)
		}
	}
	return out
}
