package once

import (
	"context"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// Record takes over a record as the backup of another instance's ledger. It
// is refused unless this instance holds exactly that ledger.
func (s *Service) Record(_ context.Context, r *fescuepb.RecordRequest) (*fescuepb.RecordReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Record != nil && s.acceptOutcome(r) {
		return &fescuepb.RecordReply{Accepted: true}, nil
	}
	// A process that replaced the backup may hold a copy that does not count.
	b := s.backups[groupKeyOf(r.Group)]
	if b == nil || r.BackupIncarnation != s.cfg.Incarnation {
		return &fescuepb.RecordReply{}, nil
	}
	if b.fenced || b.epoch != r.Epoch || b.home != r.Home || b.incarnation != r.HomeIncarnation {
		return &fescuepb.RecordReply{Epoch: b.epoch}, nil
	}
	b.active = true
	if r.Record != nil {
		b.ledger.Put(r.Record, s.cfg.Now())
		b.ledger.expire(s.cfg.Now())
	}
	return &fescuepb.RecordReply{Accepted: true, Epoch: b.epoch}, nil
}

// takeOutcome takes over the outcome of a key that an earlier home started,
// if this instance is the home now.
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

// Copy takes over a whole ledger as its backup. An older epoch's copy is
// refused.
func (s *Service) Copy(_ context.Context, messages []*fescuepb.CopyRequest) (*fescuepb.RecordReply, error) {
	// Before its first confirmed version a process acts on nothing.
	if s.cfg.Store.Load() == nil {
		return &fescuepb.RecordReply{}, nil
	}
	if len(messages) == 0 || !messages[0].First || !messages[len(messages)-1].Last {
		return &fescuepb.RecordReply{}, nil
	}
	m := messages[0]
	b := &backupLedger{epoch: m.Epoch, home: m.Home, incarnation: m.HomeIncarnation, ledger: NewLedger(s.retention(), false, s.cfg.Now())}
	for _, m := range messages {
		b.ledger.Load(m, s.cfg.Now())
	}
	return s.storeBackup(groupKeyOf(m.Group), b), nil
}

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
	return s.cfg.Store.Load().Limits.OnceRetention.D()
}

// Fetch hands a ledger to the home that follows the one it belongs to, and
// accepts nothing from the old home afterwards. Only the home of the very
// next epoch gets it: a copy that is older may lack keys that ran since.
func (s *Service) Fetch(_ context.Context, r *fescuepb.FetchRequest) ([]*fescuepb.CopyRequest, error) {
	return s.handOver(r), nil
}

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
	// The new home is ahead of this instance's view; nothing starts here
	// from now on.
	p.superseded = true
	return p.ledger.Copy(s.cfg.Now(), copyBatch)
}

// Drop releases this instance as a backup, unless another home has taken the
// ledger over.
func (s *Service) Drop(_ context.Context, r *fescuepb.DropRequest) (*fescuepb.DropReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := groupKeyOf(r.Group)
	if b := s.backups[key]; b != nil && b.epoch <= r.Epoch && !b.fenced {
		delete(s.backups, key)
	}
	return &fescuepb.DropReply{Dropped: s.backups[key] == nil}, nil
}
