package once

import (
	"context"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// Record stores a record as the backup of another instance's ledger, and activates
// the backup. The reply is a refusal unless this instance holds a backup of that
// epoch and primary that has not been handed over. An outcome for a key of a
// ledger that this instance now holds as the primary is stored there instead (see
// acceptOutcome).
func (s *Service) Record(_ context.Context, r *fescuepb.RecordRequest) (*fescuepb.RecordReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Record != nil && s.acceptOutcome(r) {
		return &fescuepb.RecordReply{Accepted: true}, nil
	}
	// If this process replaced the one that the primary chose, its copy may be
	// one that the primary never activated.
	b := s.backups[groupKeyOf(r.Group)]
	if b == nil || r.BackupIncarnation != s.cfg.Incarnation {
		return &fescuepb.RecordReply{}, nil
	}
	if b.fenced || b.epoch != r.Epoch || b.primaryInstance != r.Home || b.primaryIncarnation != r.HomeIncarnation {
		return &fescuepb.RecordReply{Epoch: b.epoch}, nil
	}
	b.active = true
	if r.Record != nil {
		b.ledger.Put(r.Record, s.cfg.Now())
		b.ledger.expire(s.cfg.Now())
	}
	return &fescuepb.RecordReply{Accepted: true, Epoch: b.epoch}, nil
}

// acceptOutcome stores the outcome of a key that an earlier primary started, if
// this instance has the group's ledger as the primary and the key has no outcome
// and does not run here. It reports whether it did. s.mu must be held.
func (s *Service) acceptOutcome(r *fescuepb.RecordRequest) bool {
	key := groupKeyOf(r.Group)
	p := s.primaries[key.service]
	if key.dc != s.cfg.DataCentre || p == nil || r.Record.State == fescuepb.KeyState_KEY_STARTED {
		return false
	}
	rec := p.ledger.records[r.Record.Key]
	if rec == nil || rec.Outcome != nil || rec.ended != nil {
		return false
	}
	p.ledger.Put(r.Record, s.cfg.Now())
	return true
}

func groupKeyOf(g *fescuepb.GroupId) groupKey { return groupKey{g.GetService(), g.GetDataCentre()} }

// Copy stores a whole ledger as its backup. The backup counts only after Record
// has activated it. The reply is a refusal if the messages are incomplete or this
// instance holds a newer epoch of the ledger.
func (s *Service) Copy(_ context.Context, messages []*fescuepb.CopyRequest) (*fescuepb.RecordReply, error) {
	// Before its first confirmed version of the steering document a process must
	// not act on anything, and does not know the retention yet.
	if s.cfg.Store.Load() == nil {
		return &fescuepb.RecordReply{}, nil
	}
	if len(messages) == 0 || !messages[0].First || !messages[len(messages)-1].Last {
		return &fescuepb.RecordReply{}, nil
	}
	m := messages[0]
	b := &backupLedger{epoch: m.Epoch, primaryInstance: m.Home, primaryIncarnation: m.HomeIncarnation, ledger: NewLedger(s.retention(), false, s.cfg.Now())}
	for _, m := range messages {
		b.ledger.Load(m, s.cfg.Now())
	}
	return s.storeBackup(groupKeyOf(m.Group), b), nil
}

// storeBackup replaces the backup under key, unless the present one has a higher
// epoch or was handed over at the same one.
func (s *Service) storeBackup(key groupKey, b *backupLedger) *fescuepb.RecordReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.backups[key]; old != nil && (old.epoch > b.epoch || old.fenced && old.epoch >= b.epoch) {
		return &fescuepb.RecordReply{Epoch: old.epoch}
	}
	s.backups[key] = b
	return &fescuepb.RecordReply{Accepted: true, Epoch: b.epoch}
}

func (s *Service) retention() time.Duration {
	return s.cfg.Store.Load().Limits.IdempotencyRetention.AsDuration()
}

// Fetch hands over a ledger to the primary of the next epoch. Nothing from the old
// primary is accepted afterwards. Only the primary of the directly following epoch
// gets the ledger, because an older copy may lack keys that ran since. The result
// is empty if this instance has no such ledger.
func (s *Service) Fetch(_ context.Context, r *fescuepb.FetchRequest) ([]*fescuepb.CopyRequest, error) {
	return s.handOver(r), nil
}

// handOver fences and returns the backup that Fetch asks for. Without one, a
// primary that has no backup hands over its own ledger.
func (s *Service) handOver(r *fescuepb.FetchRequest) []*fescuepb.CopyRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := groupKeyOf(r.Group)
	if b := s.backups[key]; b != nil && b.follows(r.Epoch, r.PreviousHome, r.PreviousIncarnation) {
		b.fenced = true
		return b.ledger.Copy(s.cfg.Now(), copyBatch)
	}
	p := s.primaries[key.service]
	ownLedger := r.PreviousHome == s.cfg.Instance && r.PreviousIncarnation == s.cfg.Incarnation
	if key.dc != s.cfg.DataCentre || p == nil || p.epoch+1 != r.Epoch || !ownLedger || p.backup != nil || p.superseded {
		return nil
	}
	// The new primary's epoch is ahead of the one known here. No key may start
	// on this instance from now on.
	p.superseded = true
	return p.ledger.Copy(s.cfg.Now(), copyBatch)
}

// Drop removes the backup on this instance, unless another primary has taken over
// the ledger or the backup belongs to a later epoch.
func (s *Service) Drop(_ context.Context, r *fescuepb.DropRequest) (*fescuepb.DropReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := groupKeyOf(r.Group)
	if b := s.backups[key]; b != nil && b.epoch <= r.Epoch && !b.fenced {
		delete(s.backups, key)
	}
	return &fescuepb.DropReply{Dropped: s.backups[key] == nil}, nil
}
