package once

import (
	"context"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/request/proxy"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/sirupsen/logrus"
)

// Role is this instance's part in a group, from the group manager.
type Role struct {
	Epoch        uint64
	IsDispatcher bool   // this instance dispatches the group
	Dispatcher   string // who does
	Token        string
	// Previous is the dispatcher of the epoch before, "" if unknown.
	Previous            string
	PreviousIncarnation uint64
	// PreviousSilent is set if the previous dispatcher may still run.
	PreviousSilent bool
}

// Config holds what the service depends on.
type Config struct {
	Instance    string
	DataCentre  string
	Incarnation uint64
	Store       *snapshot.Store
	Role        func(service string) Role
	// Dead reports whether a member's process is proved not to run.
	ProvedDead func(instance string) bool
	Leaving    func(instance string) bool
	// DiedInContact reports whether a member of this data centre is proved dead
	// and cannot have taken over from this instance before.
	DiedWithoutTakeover func(instance string) bool
	// AllSeen reports whether every other entry of this data centre is alive
	// or proved dead.
	AllEntriesAccountedFor func() bool
	// Raise moves a group that is dispatched here to a higher epoch.
	RaiseEpoch func(service string, epoch uint64)
	// Peer returns the connection to another entry.
	Peer func(m *fescuepb.Member) Peer
	// Refused reports whether the address of a member of another data centre
	// refuses connections, which proves that its process does not run.
	AddressRefused func(m *fescuepb.Member) bool
	Now            func() time.Time
	// Claim records a dispatcher at control and returns the claim before.
	Claim func(ctx context.Context, c *fescuepb.GroupClaim) (*fescuepb.ClaimReply, error)
	Log   *logrus.Entry
}

// Peer is another entry.
type Peer interface {
	Record(ctx context.Context, r *fescuepb.RecordRequest) (*fescuepb.RecordReply, error)
	Copy(ctx context.Context, messages []*fescuepb.CopyRequest) (*fescuepb.RecordReply, error)
	Fetch(ctx context.Context, r *fescuepb.FetchRequest) ([]*fescuepb.CopyRequest, error)
	Drop(ctx context.Context, r *fescuepb.DropRequest) (*fescuepb.DropReply, error)
}

// Timeouts of the exchanges with other entries.
const (
	recordTimeout     = time.Second
	copyTimeout       = 5 * time.Second
	claimTimeout      = 2 * time.Second
	reconcileInterval = 250 * time.Millisecond
	copyBatch         = 256 // records in a message
)

// Service keeps the ledgers of the groups dispatched here and the backups
// of other instances' ledgers.
type Service struct {
	cfg  Config
	wake chan struct{}

	mu        sync.Mutex
	primaries map[string]*primary // by service
	backups   map[groupKey]*backupLedger
}

type groupKey struct{ service, dc string }

// home is the ledger of a group that this instance dispatches.
type primary struct {
	epoch  uint64
	ledger *Ledger
	backup *fescuepb.Member // nil until a copy is complete
	ready  bool             // the backup has been activated
	// superseded is set when another instance has taken the ledger over; it
	// stays so for this epoch.
	superseded        bool
	copyFailureLogged bool // a failed copy was logged
	backupChanging    bool // no start may be recorded while the backup changes
}

// held is a backup of another instance's ledger.
type backupLedger struct {
	epoch       uint64
	home        string
	incarnation uint64
	ledger      *Ledger
	active      bool // the home relies on it
	fenced      bool // handed to another home; accepts nothing more
}

// New returns a service; Run starts it.
func New(cfg Config) *Service {
	return &Service{cfg: cfg, wake: make(chan struct{}, 1), primaries: map[string]*primary{}, backups: map[groupKey]*backupLedger{}}
}

// Wake has the service look at the roles at once.
func (s *Service) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run takes over ledgers and keeps their backups until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		if snap := s.cfg.Store.Load(); snap != nil {
			var wg sync.WaitGroup
			for name, svc := range snap.Services {
				if svc.In(s.cfg.DataCentre) && hasOnceRoute(svc) {
					wg.Go(func() { s.reconcile(ctx, snap, name) })
				}
			}
			wg.Wait()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.wake:
		}
	}
}

func hasOnceRoute(svc *snapshot.Service) bool {
	for _, r := range svc.Routes {
		if r.Once {
			return true
		}
	}
	return false
}

// Home returns the data centre that keeps a key and whether this instance
// keeps it now.
func (s *Service) Home(snap *snapshot.Snapshot, service, key string) (dc string, here bool) {
	dc = HomeDC(snap, service, key)
	return dc, dc == s.cfg.DataCentre && s.cfg.Role(service).IsDispatcher
}

// Start records the start of a key on this instance and on the backup. It
// returns the stored outcome of a key that has finished.
func (s *Service) Start(ctx context.Context, service, key string, digest []byte) (*proxy.Stored, error) {
	p, rec, decision, err := s.begin(service, key, digest)
	if err != nil {
		return nil, err
	}
	switch decision {
	case Run:
		return nil, s.recordStart(ctx, service, p, rec)
	case Done:
		return decodeStored(rec.Outcome)
	case InProgress:
		return s.awaitOutcome(ctx, p, rec)
	case Reused:
		return nil, errkind.New(errkind.KeyReused, "key %q belongs to a different request", key)
	case Full:
		return nil, errkind.New(errkind.LedgerNoBackup, "the ledger of service %q is full", service)
	}
	return nil, errkind.New(errkind.OutcomeUnknown, "key %q may have run; its outcome is not known", key)
}

func (s *Service) begin(service, key string, digest []byte) (*primary, *Record, Decision, error) {
	role := s.cfg.Role(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.primaries[service]
	if !role.IsDispatcher || p == nil || p.epoch != role.Epoch || p.superseded {
		return nil, nil, Unknown, errkind.New(errkind.LedgerUnavailable, "the ledger of service %q in %q is not here", service, s.cfg.DataCentre)
	}
	if !p.ready || p.backupChanging {
		decision, rec := p.ledger.Peek(key, digest, s.cfg.Now())
		if decision == Run {
			return nil, nil, Unknown, errkind.New(errkind.LedgerNoBackup, "the ledger of service %q in %q has no backup", service, s.cfg.DataCentre)
		}
		return p, rec, decision, nil
	}
	decision, rec := p.ledger.Begin(key, digest, s.cfg.Now())
	return p, rec, decision, nil
}

// recordStart has the backup record the start. If it does not acknowledge,
// nothing runs.
func (s *Service) recordStart(ctx context.Context, service string, p *primary, rec *Record) error {
	err := s.record(ctx, service, p, rec.Message(s.cfg.Now()))
	if err == nil {
		return nil
	}
	s.mu.Lock()
	p.ledger.NotRun(rec.Key)
	s.mu.Unlock()
	return errkind.Wrap(errkind.LedgerNoBackup, err, "the start of key %q was not recorded", rec.Key)
}

// record sends m to the backup; a nil m activates it.
func (s *Service) record(ctx context.Context, service string, p *primary, m *fescuepb.KeyRecord) error {
	s.mu.Lock()
	backup, epoch := p.backup, p.epoch
	s.mu.Unlock()
	if backup == nil {
		return errkind.New(errkind.LedgerUnavailable, "no backup")
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	reply, err := s.cfg.Peer(backup).Record(ctx, &fescuepb.RecordRequest{
		Group: s.group(service), Epoch: epoch, Home: s.cfg.Instance, HomeIncarnation: s.cfg.Incarnation, Record: m,
		BackupIncarnation: backup.Incarnation,
	})
	if err != nil {
		s.Wake()
		return err
	}
	if !reply.Accepted {
		s.onBackupRefusal(p, backup, reply.Epoch)
		return errkind.New(errkind.LedgerUnavailable, "backup %q holds epoch %d", backup.Instance, reply.Epoch)
	}
	return nil
}

// lostBackup takes over that a backup no longer holds the ledger. If it
// knows a higher epoch, another instance has taken over.
func (s *Service) onBackupRefusal(p *primary, backup *fescuepb.Member, epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.backup == backup {
		p.ready = false
	}
	if epoch > p.epoch {
		p.superseded = true
	}
	s.Wake()
}

// await waits for the outcome of a key that runs in this process.
func (s *Service) awaitOutcome(ctx context.Context, p *primary, rec *Record) (*proxy.Stored, error) {
	s.mu.Lock()
	ended, outcome := rec.ended, rec.Outcome
	s.mu.Unlock()
	if ended != nil {
		select {
		case <-ended:
		case <-ctx.Done():
			return nil, errkind.New(errkind.OutcomeUnknown, "key %q is still running", rec.Key)
		}
		s.mu.Lock()
		outcome = rec.Outcome
		s.mu.Unlock()
	}
	if outcome == nil {
		return nil, errkind.New(errkind.OutcomeUnknown, "key %q ended without a known outcome", rec.Key)
	}
	return decodeStored(outcome)
}

// Finish records the outcome of a key here and on the backup. With notRun
// set, the key may start again. If another instance has taken over since the
// start, it gets the outcome.
func (s *Service) Finish(ctx context.Context, service, key string, stored *proxy.Stored, notRun bool) {
	s.mu.Lock()
	p := s.primaries[service]
	m := &fescuepb.KeyRecord{Key: key, State: fescuepb.KeyState_KEY_NOT_RUN}
	if stored != nil {
		o := encodeStored(stored)
		m.State, m.Status, m.Header, m.Body = fescuepb.KeyState_KEY_FINISHED, uint32(o.Status), o.Header, o.Body
		if p != nil {
			p.ledger.Finish(key, o)
		}
	}
	s.mu.Unlock()
	err := s.sendOutcome(ctx, service, p, m)
	if err != nil {
		s.cfg.Log.WithError(err).WithFields(logrus.Fields{"service": service, "key": key}).Warn("outcome not recorded elsewhere")
	}
	if notRun && p != nil {
		s.finishNotRun(p, key, err == nil)
	}
}

// settleNotRun lets a key start again if the backup has forgotten it, too;
// otherwise it counts as started there, so its outcome stays unknown here.
func (s *Service) finishNotRun(p *primary, key string, replicated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if replicated {
		p.ledger.NotRun(key)
		return
	}
	p.ledger.Abandon(key)
}

// Abandon leaves the outcome of a key unknown.
func (s *Service) Abandon(service, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.primaries[service]; p != nil {
		p.ledger.Abandon(key)
	}
}

func (s *Service) isSuperseded(p *primary) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.superseded
}

// tell records m at the backup, or at the instance that has taken over.
func (s *Service) sendOutcome(ctx context.Context, service string, p *primary, m *fescuepb.KeyRecord) error {
	role := s.cfg.Role(service)
	if p != nil && role.IsDispatcher && !s.isSuperseded(p) {
		return s.record(ctx, service, p, m)
	}
	member := s.cfg.Store.Load().Member(role.Dispatcher)
	if member == nil {
		return errkind.New(errkind.LedgerUnavailable, "no instance keeps the keys of service %q", service)
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	reply, err := s.cfg.Peer(member).Record(ctx, &fescuepb.RecordRequest{
		Group: s.group(service), Home: s.cfg.Instance, HomeIncarnation: s.cfg.Incarnation, Record: m,
	})
	if err == nil && !reply.Accepted {
		err = errkind.New(errkind.LedgerUnavailable, "instance %q did not take the outcome", member.Instance)
	}
	return err
}

func (s *Service) group(service string) *fescuepb.GroupId {
	return &fescuepb.GroupId{Service: service, DataCentre: s.cfg.DataCentre}
}

// HomeDC returns the data centre that keeps a key: the one in its prefix,
// or one derived from the key.
func HomeDC(snap *snapshot.Snapshot, service, key string) string {
	svc := snap.Services[service]
	if dc, _ := SplitKey(key); svc.In(dc) {
		return dc
	}
	best, bestRank := "", uint64(0)
	for _, dc := range svc.DataCentres {
		if r := keyRank(dc, key); best == "" || r > bestRank {
			best, bestRank = dc, r
		}
	}
	return best
}

func decodeStored(o *Outcome) (*proxy.Stored, error) {
	header, err := decodeHeader(o.Header)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "decode a stored answer")
	}
	return &proxy.Stored{Status: o.Status, Header: header, Body: o.Body}, nil
}

func encodeStored(st *proxy.Stored) *Outcome {
	return &Outcome{Status: st.Status, Header: encodeHeader(st.Header), Body: st.Body}
}

var _ proxy.Ledger = (*Service)(nil)
