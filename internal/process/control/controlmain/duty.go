package controlmain

import (
	"context"
	"time"
)

// whileLeading calls duty at once and every interval while this replica leads,
// and idle instead while it does not, until ctx ends.
func (p *process) whileLeading(ctx context.Context, interval time.Duration, duty, idle func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if p.lead.IsLeader() {
			duty()
		} else {
			idle()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// absences holds since when something is missing, by its name.
type absences map[string]time.Time

// since returns since when name is missing: now if it was not before.
func (a absences) since(name string, now time.Time) time.Time {
	if at, known := a[name]; known {
		return at
	}
	return now
}
