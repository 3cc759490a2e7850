package once

import (
	"context"
	"sort"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/sirupsen/logrus"
)

// reconcile brings the ledger of one service in line with this instance's role:
// it takes over the ledger of a new epoch, and chooses, replaces or activates the
// backup.
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
	p.ledger.SetRetention(snap.Limits.IdempotencyRetention.AsDuration())
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

// currentPrimary returns the ledger for the epoch of role, or nil if it has not
// been taken over yet.
func (s *Service) currentPrimary(service string, role Role) *primary {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.primaries[service]; p != nil && p.epoch == role.Epoch {
		return p
	}
	return nil
}

// takeOver installs the ledger for a new epoch: the backup on this instance, the
// one on another entry, or an empty ledger. It returns nil if the epoch could not
// be claimed; the next reconciliation tries again.
//
// A dispatcher that was replaced because it did not respond may still run and
// replace its backup. Both sides therefore ask the control service: the new
// dispatcher claims its epoch first, and the old one checks for such a claim
// before it replaces a backup that no longer runs (see confirmLatestEpoch).
func (s *Service) takeOver(ctx context.Context, snap *snapshot.Snapshot, service string, role Role) *primary {
	complete := false
	if role.Previous == "" || role.PreviousSilent {
		before, ok := s.claimEpoch(ctx, service, role.Epoch)
		if !ok {
			return nil
		}
		complete = before == nil && role.Previous == ""
	}
	ledger, source := s.fenceOwnBackup(service, role), "own backup"
	if ledger == nil && role.Previous != "" {
		ledger, source = s.fetch(ctx, snap, service, role), "fetched"
	}
	if ledger == nil {
		ledger, source = NewLedger(snap.Limits.IdempotencyRetention.AsDuration(), complete, s.cfg.Now()), "history lost"
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

// fenceOwnBackup returns the backup on this instance if it belongs to the
// preceding epoch, and fences it, so that the old primary can record nothing on
// it from then on. It returns nil without such a backup.
func (s *Service) fenceOwnBackup(service string, role Role) *Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backups[groupKey{service, s.cfg.DataCentre}]
	if b == nil || !b.follows(role.Epoch, role.Previous, role.PreviousIncarnation) {
		return nil
	}
	b.fenced = true
	return b.ledger.AbandonRunning()
}

// follows reports whether the backup is active, has not been handed over, and
// belongs to the given process as the primary of the epoch directly before epoch.
func (b *backupLedger) follows(epoch uint64, previous string, incarnation uint64) bool {
	return b.active && !b.fenced && b.epoch+1 == epoch && b.primaryInstance == previous && b.primaryIncarnation == incarnation
}

// claimEpoch records this instance at the control service as the dispatcher of an
// epoch. It returns the preceding claim and whether the new one was accepted. If
// there is another claim with this epoch or a higher one, it raises the epoch of
// the group above that.
func (s *Service) claimEpoch(ctx context.Context, service string, epoch uint64) (*fescuepb.GroupClaim, bool) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	c := &fescuepb.GroupClaim{Group: s.group(service), Epoch: epoch, Home: s.cfg.Instance, HomeIncarnation: s.cfg.Incarnation}
	reply, err := s.cfg.Claim(ctx, c)
	if err != nil {
		s.cfg.Log.WithError(err).WithField("service", service).Warn("epoch not claimed at the control service; at-most-once requests wait until it is")
		return nil, false
	}
	before := reply.Previous
	if reply.Accepted {
		return before, true
	}
	if before.Home == s.cfg.Instance && before.HomeIncarnation == s.cfg.Incarnation && before.Epoch == epoch {
		return before, true // an earlier attempt was accepted, but its reply was lost
	}
	s.cfg.RaiseEpoch(service, before.Epoch+1)
	return nil, false
}

// confirmLatestEpoch reports whether the control service knows of no later
// dispatcher of the group. It reports false if that cannot be found out.
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

// fetch asks the members that may hold the ledger of the preceding epoch, one
// after another. It returns nil if none has it.
func (s *Service) fetch(ctx context.Context, snap *snapshot.Snapshot, service string, role Role) *Ledger {
	for _, m := range s.candidates(snap, true) {
		if l := s.fetchFrom(ctx, m, service, role); l != nil {
			return l
		}
	}
	return nil
}

// fetchFrom returns the ledger of the preceding epoch from one member, or nil if
// the member does not answer or does not send a whole ledger.
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

// maxOtherRegionCandidates bounds the entries of other regions that are asked.
const maxOtherRegionCandidates = 4

// candidates returns the members that may hold a ledger of this data centre: its
// own entries, those of the region, then at most maxOtherRegionCandidates of
// other regions, each group by distance. Members that are leaving are included
// only if leaving is set.
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
			return snap.OneWayDelayMicros(s.cfg.DataCentre, list[i].DataCentre) < snap.OneWayDelayMicros(s.cfg.DataCentre, list[j].DataCentre)
		})
	}
	byDistance(sameRegion)
	byDistance(otherRegions)
	return append(sameRegion, otherRegions[:min(len(otherRegions), maxOtherRegionCandidates)]...)
}

// shouldReplaceBackup reports whether the backup is to be replaced: the member
// is leaving, removed or proved dead, its process has been restarted, or it is in
// another data centre although this one has a candidate.
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

// localCandidates returns the candidates in this data centre that are not proved
// dead.
func (s *Service) localCandidates(snap *snapshot.Snapshot) []*fescuepb.Member {
	var out []*fescuepb.Member
	for _, m := range s.candidates(snap, false) {
		if m.DataCentre == s.cfg.DataCentre && !s.cfg.ProvedDead(m.Instance) {
			out = append(out, m)
		}
	}
	return out
}

// provedDead reports whether the process of a backup is proved not to run.
func (s *Service) provedDead(m *fescuepb.Member) bool {
	if m.DataCentre == s.cfg.DataCentre {
		return s.cfg.ProvedDead(m.Instance)
	}
	return s.cfg.AddressRefused(m)
}

// replaceBackup copies the ledger to a new backup and activates it. No key starts
// meanwhile.
//
// At most one backup may be able to hand over the ledger: with two, a new primary
// could get one that lacks keys which started since. A copy is therefore valid
// only after its activation, since the reply to the copy may get lost, and the
// old backup is released before that unless it provably cannot hand over the
// ledger any more.
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
			s.cfg.Log.WithError(err).WithFields(logrus.Fields{"service": service, "backup": m.Instance}).Warn("ledger backup not activated; it is tried again")
			return
		}
		s.setReady(p, m)
		s.cfg.Log.WithFields(logrus.Fields{"service": service, "epoch": p.epoch, "backup": m.Instance, "backup_dc": m.DataCentre}).Info("ledger backup chosen")
		return
	}
}

// logCopyFailure logs a failed copy once until a backup is ready. Copies are
// tried again several times a second, which would flood the log.
func (s *Service) logCopyFailure(p *primary, err error, service string, m *fescuepb.Member) {
	s.mu.Lock()
	first := !p.copyFailureLogged
	p.copyFailureLogged = true
	s.mu.Unlock()
	if first {
		s.cfg.Log.WithError(err).WithFields(logrus.Fields{"service": service, "backup": m.Instance}).Warn("ledger not copied to backup; trying other candidates")
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

// setBackup sets the backup. No key starts before setReady is called for it.
func (s *Service) setBackup(p *primary, m *fescuepb.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.backup, p.ready = m, false
}

// setReady marks the backup as activated if it is still the current one.
func (s *Service) setReady(p *primary, m *fescuepb.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.ready = p.backup == m
	p.copyFailureLogged = false
}

// releaseBackup asks the old backup to drop its copy, unless its process has
// ended. It reports whether the old backup can no longer hand over the ledger: it
// has dropped its copy, or its process has ended and cannot have handed the ledger
// to another dispatcher before.
func (s *Service) releaseBackup(ctx context.Context, snap *snapshot.Snapshot, service string, p *primary, old *fescuepb.Member) bool {
	if m := snap.Member(old.Instance); m == nil || m.Incarnation != old.Incarnation || s.provedDead(m) {
		return s.cfg.DiedWithoutTakeover(old.Instance) || s.confirmLatestEpoch(ctx, service, p)
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	reply, err := s.cfg.Peer(old).Drop(ctx, &fescuepb.DropRequest{Group: s.group(service), Epoch: p.epoch, Home: s.cfg.Instance})
	return err == nil && reply.Dropped
}

// copyTo sends the whole ledger to a member as its backup.
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
		return errkind.New(errkind.LedgerUnavailable, "instance %q refused the copy; it holds epoch %d", m.Instance, reply.Epoch)
	}
	return nil
}
