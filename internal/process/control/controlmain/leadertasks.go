package controlmain

import (
	"context"
	"time"
)

// whileLeading calls duty at once and every interval while this replica leads,
// and idle instead while it does not, until ctx ends.
func (p *process) runWhileLeading(ctx context.Context, interval time.Duration, onLeader, onFollower func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if p.leadership.IsLeader() {
			onLeader()
		} else {
			onFollower()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// absences holds since when something is missing, by its name.
type absentSince map[string]time.Time

// since returns since when name is missing: now if it was not before.
func (a absentSince) since(name string, now time.Time) time.Time {
	if at, known := a[name]; known {
		return at
	}
	return now
}
