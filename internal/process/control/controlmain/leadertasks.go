package controlmain

import (
	"context"
	"time"
)

// runWhileLeading calls onLeader at once and at every interval while this replica is
// the leader, and onFollower instead while it is not, until ctx ends.
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

// absentSince maps the name of each missing item to the time since when it is
// missing.
type absentSince map[string]time.Time

// since returns the time since when name is missing, or now if it was not missing
// before.
func (a absentSince) since(name string, now time.Time) time.Time {
	if at, known := a[name]; known {
		return at
	}
	return now
}
