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
	if r.Record != nil && s.takeOutcome(r) {
		return &fescuepb.RecordReply{Accepted: true}, nil
	}
	// A process that replaced the backup may hold a copy that does not count.
	h := s.held[keyOf(r.Group)]
	if h == nil || r.BackupIncarnation != s.cfg.Incarnation {
		return &fescuepb.RecordReply{}, nil
	}
	if h.fenced || h.epoch != r.Epoch || h.home != r.Home || h.incarnation != r.HomeIncarnation {
		return &fescuepb.RecordReply{Epoch: h.epoch}, nil
	}
	h.active = true
	if r.Record != nil {
		h.ledger.Put(r.Record, s.cfg.Now())
		h.ledger.expire(s.cfg.Now())
	}
	return &fescuepb.RecordReply{Accepted: true, Epoch: h.epoch}, nil
}

// takeOutcome takes over the outcome of a key that an earlier home started,
// if this instance is the home now.
func (s *Service) takeOutcome(r *fescuepb.RecordRequest) bool {
	key := keyOf(r.Group)
	h := s.homes[key.service]
	if key.dc != s.cfg.DataCentre || h == nil || r.Record.State == fescuepb.KeyState_KEY_STARTED {
		return false
	}
	rec := h.ledger.records[r.Record.Key]
	if rec == nil || rec.Outcome != nil || rec.ended != nil {
		return false
	}
	h.ledger.Put(r.Record, s.cfg.Now())
	return true
}

func keyOf(g *fescuepb.GroupId) groupKey { return groupKey{g.GetService(), g.GetDataCentre()} }

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
	h := &held{epoch: m.Epoch, home: m.Home, incarnation: m.HomeIncarnation, ledger: NewLedger(s.retention(), false, s.cfg.Now())}
	for _, m := range messages {
		h.ledger.Load(m, s.cfg.Now())
	}
	return s.install(keyOf(m.Group), h), nil
}

func (s *Service) install(key groupKey, h *held) *fescuepb.RecordReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.held[key]; old != nil && (old.epoch > h.epoch || old.fenced && old.epoch >= h.epoch) {
		return &fescuepb.RecordReply{Epoch: old.epoch}
	}
	s.held[key] = h
	return &fescuepb.RecordReply{Accepted: true, Epoch: h.epoch}
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
	key := keyOf(r.Group)
	if h := s.held[key]; h != nil && h.follows(r.Epoch, r.PreviousHome, r.PreviousIncarnation) {
		h.fenced = true
		return h.ledger.Copy(s.cfg.Now(), copyBatch)
	}
	h := s.homes[key.service]
	own := r.PreviousHome == s.cfg.Instance && r.PreviousIncarnation == s.cfg.Incarnation
	if key.dc != s.cfg.DataCentre || h == nil || h.epoch+1 != r.Epoch || !own || h.backup != nil || h.superseded {
		return nil
	}
	// The new home is ahead of this instance's view; nothing starts here
	// from now on.
	h.superseded = true
	return h.ledger.Copy(s.cfg.Now(), copyBatch)
}

// Drop releases this instance as a backup, unless another home has taken the
// ledger over.
func (s *Service) Drop(_ context.Context, r *fescuepb.DropRequest) (*fescuepb.DropReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := keyOf(r.Group)
	if h := s.held[key]; h != nil && h.epoch <= r.Epoch && !h.fenced {
		delete(s.held, key)
	}
	return &fescuepb.DropReply{Dropped: s.held[key] == nil}, nil
}
