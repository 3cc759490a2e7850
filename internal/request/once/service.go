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

// Role is this instance's role in a dispatch group, as the group manager knows
// it.
type Role struct {
	Epoch        uint64
	IsDispatcher bool   // whether this instance dispatches the group
	Dispatcher   string // the instance that dispatches the group
	Token        string
	// Previous is the dispatcher of the preceding epoch, "" if unknown.
	Previous            string
	PreviousIncarnation uint64
	// PreviousSilent is set if the previous dispatcher was replaced because it
	// did not respond. Its process may still run.
	PreviousSilent bool
}

// Config holds the dependencies of a Service.
type Config struct {
	Instance    string
	DataCentre  string
	Incarnation uint64
	Store       *snapshot.Store
	Role        func(service string) Role
	// ProvedDead reports whether a member's process is proved not to run.
	ProvedDead func(instance string) bool
	Leaving    func(instance string) bool
	// DiedWithoutTakeover reports whether a member of this data centre is proved
	// dead and cannot have taken over from this instance before it died.
	DiedWithoutTakeover func(instance string) bool
	// AllEntriesAccountedFor reports whether every other entry of this data
	// centre is known to be alive or proved dead.
	AllEntriesAccountedFor func() bool
	// RaiseEpoch moves a group that is dispatched here to a higher epoch.
	RaiseEpoch func(service string, epoch uint64)
	// Peer returns a client for another entry.
	Peer func(m *fescuepb.Member) Peer
	// AddressRefused reports whether the address of a member of another data
	// centre refuses connections, which proves that its process does not run.
	AddressRefused func(m *fescuepb.Member) bool
	Now            func() time.Time
	// Claim records a dispatcher at the control service. The reply holds the
	// claim that stood before.
	Claim func(ctx context.Context, c *fescuepb.GroupClaim) (*fescuepb.ClaimReply, error)
	Log   *logrus.Entry
}

// Peer exchanges ledgers and records with another entry. Its calls are those of
// the same names on the other entry's Service.
type Peer interface {
	Record(ctx context.Context, r *fescuepb.RecordRequest) (*fescuepb.RecordReply, error)
	Copy(ctx context.Context, messages []*fescuepb.CopyRequest) (*fescuepb.RecordReply, error)
	Fetch(ctx context.Context, r *fescuepb.FetchRequest) ([]*fescuepb.CopyRequest, error)
	Drop(ctx context.Context, r *fescuepb.DropRequest) (*fescuepb.DropReply, error)
}

// Timeouts, the reconciliation interval and the size of copy messages.
const (
	recordTimeout     = time.Second
	copyTimeout       = 5 * time.Second
	claimTimeout      = 2 * time.Second
	reconcileInterval = 250 * time.Millisecond
	copyBatch         = 256 // records in a copy message
)

// Service keeps the ledgers of the groups dispatched by this instance, and the
// backups of ledgers of other instances.
type Service struct {
	cfg  Config
	wake chan struct{}

	mu        sync.Mutex
	primaries map[string]*primary // ledgers of the groups dispatched here, by service
	backups   map[groupKey]*backupLedger
}

type groupKey struct{ service, dc string }

// primary is the ledger of a group that this instance dispatches.
type primary struct {
	epoch  uint64
	ledger *Ledger
	backup *fescuepb.Member // nil until a complete copy is on another instance
	ready  bool             // the backup has been activated, so keys may start
	// superseded is set when another instance has taken over the ledger. It
	// stays set for this epoch.
	superseded        bool
	copyFailureLogged bool // a failed copy has been logged since the last backup was ready
	backupChanging    bool // the backup is being replaced; no key may start
}

// backupLedger is a backup of another instance's ledger.
type backupLedger struct {
	epoch              uint64
	primaryInstance    string
	primaryIncarnation uint64
	ledger             *Ledger
	active             bool // the primary has activated the backup and relies on it
	fenced             bool // handed over to another primary; accepts no more records
}

// New returns a Service. Run must be called for it to take over ledgers.
func New(cfg Config) *Service {
	return &Service{cfg: cfg, wake: make(chan struct{}, 1), primaries: map[string]*primary{}, backups: map[groupKey]*backupLedger{}}
}

// Wake triggers a reconciliation without waiting for the next interval.
func (s *Service) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run reconciles the ledgers and their backups with the roles of this instance
// until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		if snap := s.cfg.Store.Load(); snap != nil {
			var wg sync.WaitGroup
			for name, svc := range snap.Services {
				if svc.RunsIn(s.cfg.DataCentre) && hasOnceRoute(svc) {
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
		if r.AtMostOnce {
			return true
		}
	}
	return false
}

// Home returns the data centre whose ledger holds a key, and whether this
// instance currently holds that ledger.
func (s *Service) Home(snap *snapshot.Snapshot, service, key string) (dc string, here bool) {
	dc = HomeDC(snap, service, key)
	return dc, dc == s.cfg.DataCentre && s.cfg.Role(service).IsDispatcher
}

// Start records the start of a key on this instance and on the backup. If it
// returns nil and no error, the caller must run the request and then call Finish
// or Abandon. For a key that has finished it returns the stored outcome. For one
// that runs here it waits for the outcome until ctx ends.
func (s *Service) Start(ctx context.Context, service, key string, digest []byte) (*proxy.StoredAnswer, error) {
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

// begin returns the primary of the service, the record and the decision for a
// key. Without a usable backup no key is started.
func (s *Service) begin(service, key string, digest []byte) (*primary, *Record, Decision, error) {
	role := s.cfg.Role(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.primaries[service]
	if !role.IsDispatcher || p == nil || p.epoch != role.Epoch || p.superseded {
		return nil, nil, Unknown, errkind.New(errkind.LedgerUnavailable, "this instance does not hold the ledger of service %q in data centre %q", service, s.cfg.DataCentre)
	}
	if !p.ready || p.backupChanging {
		decision, rec := p.ledger.Peek(key, digest, s.cfg.Now())
		if decision == Run {
			return nil, nil, Unknown, errkind.New(errkind.LedgerNoBackup, "the ledger of service %q in data centre %q has no backup", service, s.cfg.DataCentre)
		}
		return p, rec, decision, nil
	}
	decision, rec := p.ledger.Begin(key, digest, s.cfg.Now())
	return p, rec, decision, nil
}

// recordStart records the start of a key on the backup. Without the backup's
// acknowledgement the key does not run and may start again.
func (s *Service) recordStart(ctx context.Context, service string, p *primary, rec *Record) error {
	err := s.record(ctx, service, p, rec.Message(s.cfg.Now()))
	if err == nil {
		return nil
	}
	s.mu.Lock()
	p.ledger.NotRun(rec.Key)
	s.mu.Unlock()
	return errkind.Wrap(errkind.LedgerNoBackup, err, "the start of key %q was not recorded on the backup", rec.Key)
}

// record sends m to the backup. A nil m only activates the backup.
func (s *Service) record(ctx context.Context, service string, p *primary, m *fescuepb.KeyRecord) error {
	s.mu.Lock()
	backup, epoch := p.backup, p.epoch
	s.mu.Unlock()
	if backup == nil {
		return errkind.New(errkind.LedgerUnavailable, "the ledger has no backup")
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
		return errkind.New(errkind.LedgerUnavailable, "backup %q refused the record; it holds epoch %d", backup.Instance, reply.Epoch)
	}
	return nil
}

// onBackupRefusal handles a backup that no longer holds the ledger: no key may
// start until a backup is activated again. If the backup knows a higher epoch,
// another instance has taken over the ledger.
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

// awaitOutcome waits for the outcome of a key that runs in this process.
func (s *Service) awaitOutcome(ctx context.Context, p *primary, rec *Record) (*proxy.StoredAnswer, error) {
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
		return nil, errkind.New(errkind.OutcomeUnknown, "key %q ended, but its outcome is not known", rec.Key)
	}
	return decodeStored(outcome)
}

// Finish records the outcome of a key here and on the backup. With notRun set,
// stored is nil and the key may start again. If another instance has taken over
// the ledger since the start, the outcome is sent to that instance.
func (s *Service) Finish(ctx context.Context, service, key string, stored *proxy.StoredAnswer, notRun bool) {
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
		s.cfg.Log.WithError(err).WithFields(logrus.Fields{"service": service, "key": key}).Warn("at-most-once outcome not recorded on another instance")
	}
	if notRun && p != nil {
		s.finishNotRun(p, key, err == nil)
	}
}

// finishNotRun lets a key start again if the backup has removed it as well.
// Otherwise the backup may still hold it as started, so its outcome stays unknown
// here, too.
func (s *Service) finishNotRun(p *primary, key string, replicated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if replicated {
		p.ledger.NotRun(key)
		return
	}
	p.ledger.Abandon(key)
}

// Abandon ends a key that started and whose outcome is unknown.
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

// sendOutcome records m on the backup, or on the instance that has taken over the
// ledger.
func (s *Service) sendOutcome(ctx context.Context, service string, p *primary, m *fescuepb.KeyRecord) error {
	role := s.cfg.Role(service)
	if p != nil && role.IsDispatcher && !s.isSuperseded(p) {
		return s.record(ctx, service, p, m)
	}
	member := s.cfg.Store.Load().Member(role.Dispatcher)
	if member == nil {
		return errkind.New(errkind.LedgerUnavailable, "no instance is known to hold the ledger of service %q", service)
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	reply, err := s.cfg.Peer(member).Record(ctx, &fescuepb.RecordRequest{
		Group: s.group(service), Home: s.cfg.Instance, HomeIncarnation: s.cfg.Incarnation, Record: m,
	})
	if err == nil && !reply.Accepted {
		err = errkind.New(errkind.LedgerUnavailable, "instance %q refused the outcome", member.Instance)
	}
	return err
}

func (s *Service) group(service string) *fescuepb.GroupId {
	return &fescuepb.GroupId{Service: service, DataCentre: s.cfg.DataCentre}
}

// HomeDC returns the data centre whose ledger holds a key: the one in its prefix
// if the service runs there, and otherwise the one that rendezvous hashing of the
// key selects.
func HomeDC(snap *snapshot.Snapshot, service, key string) string {
	svc := snap.Services[service]
	if dc, _ := SplitKey(key); svc.RunsIn(dc) {
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

func decodeStored(o *Outcome) (*proxy.StoredAnswer, error) {
	header, err := decodeHeader(o.Header)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "decode the header of a stored response")
	}
	return &proxy.StoredAnswer{Status: o.Status, Header: header, Body: o.Body}, nil
}

func encodeStored(st *proxy.StoredAnswer) *Outcome {
	return &Outcome{Status: st.Status, Header: encodeHeader(st.Header), Body: st.Body}
}

var _ proxy.Ledger = (*Service)(nil)
