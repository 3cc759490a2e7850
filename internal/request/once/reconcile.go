package once

import (
	"context"
	"sort"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/sirupsen/logrus"
)

// settle brings the ledger of one service in line with this instance's role.
func (s *Service) reconcile(ctx context.Context, snap *snapshot.Snapshot, service string) {
	role := s.cfg.Role(service)
	if !role.IsDispatcher {
		return
	}
	p := s.currentPrimary(service, role)
	if p == nil {
		p = s.takeOver(ctx, snap, service, role)
		if p == nil {
			return
		}
	}
	if s.isSuperseded(p) {
		return
	}
	s.mu.Lock()
	p.ledger.SetRetention(snap.Limits.OnceRetention.D())
	if !s.cfg.AllEntriesAccountedFor() {
		p.ledger.MarkIsolated(s.cfg.Now())
	}
	backup, ready := p.backup, p.ready
	s.mu.Unlock()
	switch {
	case backup == nil || s.shouldReplaceBackup(snap, backup):
		s.replaceBackup(ctx, snap, service, p)
	case !ready && s.record(ctx, service, p, nil) == nil:
		s.setReady(p, backup)
	}
}

func (s *Service) currentPrimary(service string, role Role) *primary {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.primaries[service]; p != nil && p.epoch == role.Epoch {
		return p
	}
	return nil
}

// takeOver finds the ledger for a new epoch: the backup held here, the one
// that another entry holds, or an empty one. It returns nil to try again.
//
// A dispatcher that was replaced because it was silent may still run and
// replace its backup. Both sides therefore ask control: the new one claims
// its epoch first, the old one looks for a claim (see verify).
func (s *Service) takeOver(ctx context.Context, snap *snapshot.Snapshot, service string, role Role) *primary {
	complete := false
	if role.Previous == "" || role.PreviousSilent {
		before, ok := s.claimEpoch(ctx, service, role.Epoch)
		if !ok {
			return nil
		}
		complete = before == nil && role.Previous == ""
	}
	ledger, source := s.activateOwnBackup(service, role), "own backup"
	if ledger == nil && role.Previous != "" {
		ledger, source = s.fetch(ctx, snap, service, role), "fetched"
	}
	if ledger == nil {
		ledger, source = NewLedger(snap.Limits.OnceRetention.D(), complete, s.cfg.Now()), "history lost"
		if complete {
			source = "first dispatcher of the group"
		}
	}
	ledger.AddToken(role.Token)
	s.cfg.Log.WithFields(logrus.Fields{
		"service": service, "dc": s.cfg.DataCentre, "epoch": role.Epoch, "source": source, "keys": ledger.Len(),
	}).Info("ledger taken over")
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &primary{epoch: role.Epoch, ledger: ledger}
	s.primaries[service] = p
	return p
}

// ownBackup returns the backup held here if it is of the epoch before. The
// old home can record nothing from then on.
func (s *Service) activateOwnBackup(service string, role Role) *Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backups[groupKey{service, s.cfg.DataCentre}]
	if b == nil || !b.follows(role.Epoch, role.Previous, role.PreviousIncarnation) {
		return nil
	}
	b.fenced = true
	return b.ledger.AbandonRunning()
}

// follows reports whether the backup is active and belongs to the home that
// came directly before epoch.
func (b *backupLedger) follows(epoch uint64, previous string, incarnation uint64) bool {
	return b.active && !b.fenced && b.epoch+1 == epoch && b.home == previous && b.incarnation == incarnation
}

// claim records this instance at control as the dispatcher of an epoch. It
// returns the claim before, and whether this one stands. If another claim has
// this epoch or a higher one, the group moves above it.
func (s *Service) claimEpoch(ctx context.Context, service string, epoch uint64) (*fescuepb.GroupClaim, bool) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	c := &fescuepb.GroupClaim{Group: s.group(service), Epoch: epoch, Home: s.cfg.Instance, HomeIncarnation: s.cfg.Incarnation}
	reply, err := s.cfg.Claim(ctx, c)
	if err != nil {
		s.cfg.Log.WithError(err).WithField("service", service).Warn("dispatcher not claimed at control; at-most-once requests wait")
		return nil, false
	}
	before := reply.Previous
	if reply.Accepted {
		return before, true
	}
	if before.Home == s.cfg.Instance && before.HomeIncarnation == s.cfg.Incarnation && before.Epoch == epoch {
		return before, true // an earlier try whose answer was lost
	}
	s.cfg.RaiseEpoch(service, before.Epoch+1)
	return nil, false
}

// verify reports whether control knows of no dispatcher after this one.
func (s *Service) confirmLatestEpoch(ctx context.Context, service string, p *primary) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	c := &fescuepb.GroupClaim{Group: s.group(service), Epoch: p.epoch, Home: s.cfg.Instance, HomeIncarnation: s.cfg.Incarnation}
	reply, err := s.cfg.Claim(ctx, c)
	if err != nil {
		return false
	}
	before := reply.Previous
	return reply.Accepted || before.Epoch == p.epoch && before.Home == s.cfg.Instance && before.HomeIncarnation == s.cfg.Incarnation
}

// fetch asks the members that may hold the ledger of the epoch before.
func (s *Service) fetch(ctx context.Context, snap *snapshot.Snapshot, service string, role Role) *Ledger {
	for _, m := range s.candidates(snap, true) {
		if l := s.fetchFrom(ctx, m, service, role); l != nil {
			return l
		}
	}
	return nil
}

func (s *Service) fetchFrom(ctx context.Context, m *fescuepb.Member, service string, role Role) *Ledger {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	messages, err := s.cfg.Peer(m).Fetch(ctx, &fescuepb.FetchRequest{
		Group: s.group(service), Epoch: role.Epoch, Home: s.cfg.Instance, HomeIncarnation: s.cfg.Incarnation,
		PreviousHome: role.Previous, PreviousIncarnation: role.PreviousIncarnation,
	})
	if err != nil || len(messages) == 0 || !messages[len(messages)-1].Last {
		return nil
	}
	ledger := NewLedger(s.retention(), false, s.cfg.Now())
	for _, msg := range messages {
		ledger.Load(msg, s.cfg.Now())
	}
	return ledger
}

// maxDistantCandidates bounds the entries of other regions that are asked.
const maxOtherRegionCandidates = 4

// candidates returns the members that may hold a ledger of this data
// centre: its own entries, those of the region, then a few of other regions.
func (s *Service) candidates(snap *snapshot.Snapshot, leaving bool) []*fescuepb.Member {
	var sameRegion, otherRegions []*fescuepb.Member
	for _, m := range snap.Members() {
		if m.Role != fescuepb.Role_ROLE_ENTRY || m.Instance == s.cfg.Instance {
			continue
		}
		if !leaving && (m.Leaving || s.cfg.Leaving(m.Instance)) {
			continue
		}
		if snap.Region(m.DataCentre) == snap.Region(s.cfg.DataCentre) {
			sameRegion = append(sameRegion, m)
		} else {
			otherRegions = append(otherRegions, m)
		}
	}
	byDistance := func(list []*fescuepb.Member) {
		sort.SliceStable(list, func(i, j int) bool {
			return snap.Distance(s.cfg.DataCentre, list[i].DataCentre) < snap.Distance(s.cfg.DataCentre, list[j].DataCentre)
		})
	}
	byDistance(sameRegion)
	byDistance(otherRegions)
	return append(sameRegion, otherRegions[:min(len(otherRegions), maxOtherRegionCandidates)]...)
}

// mustReplace reports whether the backup should or has to be replaced: it is
// leaving, removed or proved dead, or its process is another one.
func (s *Service) shouldReplaceBackup(snap *snapshot.Snapshot, backup *fescuepb.Member) bool {
	m := snap.Member(backup.Instance)
	switch {
	case m == nil || m.Incarnation != backup.Incarnation:
		return true
	case m.Leaving || s.cfg.Leaving(m.Instance) || s.provedDead(m):
		return true
	}
	return backup.DataCentre != s.cfg.DataCentre && len(s.localCandidates(snap)) > 0
}

func (s *Service) localCandidates(snap *snapshot.Snapshot) []*fescuepb.Member {
	var out []*fescuepb.Member
	for _, m := range s.candidates(snap, false) {
		if m.DataCentre == s.cfg.DataCentre && !s.cfg.ProvedDead(m.Instance) {
			out = append(out, m)
		}
	}
	return out
}

// gone reports whether the process of a backup is proved not to run.
func (s *Service) provedDead(m *fescuepb.Member) bool {
	if m.DataCentre == s.cfg.DataCentre {
		return s.cfg.ProvedDead(m.Instance)
	}
	return s.cfg.AddressRefused(m)
}

// chooseBackup copies the ledger to a new backup. Nothing starts meanwhile.
// A copy counts only once it is activated, because the answer to a copy may
// get lost; the old backup is released before that unless it provably holds
// nothing any more. So at most one backup can hand the ledger over.
func (s *Service) replaceBackup(ctx context.Context, snap *snapshot.Snapshot, service string, p *primary) {
	s.setBackupChanging(p, true)
	defer s.setBackupChanging(p, false)
	old := s.backupOf(p)
	for _, m := range s.candidates(snap, false) {
		if old != nil && m.Instance == old.Instance && m.Incarnation == old.Incarnation {
			continue
		}
		if err := s.copyTo(ctx, m, service, p); err != nil {
			s.logCopyFailure(p, err, service, m)
			continue
		}
		if old != nil && !s.releaseBackup(ctx, snap, service, p, old) {
			return
		}
		s.setBackup(p, m)
		if err := s.record(ctx, service, p, nil); err != nil {
			s.cfg.Log.WithError(err).WithFields(logrus.Fields{"service": service, "backup": m.Instance}).Warn("ledger backup not activated")
			return
		}
		s.setReady(p, m)
		s.cfg.Log.WithFields(logrus.Fields{"service": service, "epoch": p.epoch, "backup": m.Instance, "backup_dc": m.DataCentre}).Info("ledger backup chosen")
		return
	}
}

// warnOnce logs that a copy failed, once until a backup is found: it is tried
// again several times a second.
func (s *Service) logCopyFailure(p *primary, err error, service string, m *fescuepb.Member) {
	s.mu.Lock()
	first := !p.copyFailureLogged
	p.copyFailureLogged = true
	s.mu.Unlock()
	if first {
		s.cfg.Log.WithError(err).WithFields(logrus.Fields{"service": service, "backup": m.Instance}).Warn("ledger not copied; trying on")
	}
}

func (s *Service) setBackupChanging(p *primary, changing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.backupChanging = changing
}

func (s *Service) backupOf(p *primary) *fescuepb.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.backup
}

// setBackup names the backup, which counts from when it is ready.
func (s *Service) setBackup(p *primary, m *fescuepb.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.backup, p.ready = m, false
}

func (s *Service) setReady(p *primary, m *fescuepb.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.ready = p.backup == m
	p.copyFailureLogged = false
}

// release ends the part of the old backup: it agrees, or its process has
// ended and cannot have handed the ledger to another dispatcher before.
func (s *Service) releaseBackup(ctx context.Context, snap *snapshot.Snapshot, service string, p *primary, old *fescuepb.Member) bool {
	if m := snap.Member(old.Instance); m == nil || m.Incarnation != old.Incarnation || s.provedDead(m) {
		return s.cfg.DiedWithoutTakeover(old.Instance) || s.confirmLatestEpoch(ctx, service, p)
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	reply, err := s.cfg.Peer(old).Drop(ctx, &fescuepb.DropRequest{Group: s.group(service), Epoch: p.epoch, Home: s.cfg.Instance})
	return err == nil && reply.Dropped
}

func (s *Service) copyTo(ctx context.Context, m *fescuepb.Member, service string, p *primary) error {
	s.mu.Lock()
	messages := p.ledger.Copy(s.cfg.Now(), copyBatch)
	s.mu.Unlock()
	for _, msg := range messages {
		msg.Group, msg.Epoch, msg.Home, msg.HomeIncarnation = s.group(service), p.epoch, s.cfg.Instance, s.cfg.Incarnation
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	reply, err := s.cfg.Peer(m).Copy(ctx, messages)
	if err != nil {
		return err
	}
	if !reply.Accepted {
		return errkind.New(errkind.LedgerUnavailable, "instance %q holds epoch %d", m.Instance, reply.Epoch)
	}
	return nil
}
