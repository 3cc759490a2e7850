// Package once keeps the ledger of at-most-once requests, which are identified
// by an idempotency key.
//
// The dispatcher of a group, the primary, holds the group's ledger and copies it
// to a backup on another instance. The start of a key is recorded on both before
// the first byte goes to a target. Invariants:
//
//   - A key is started only if the ledger proves that it has not started before.
//   - A key that started and whose outcome is not recorded never runs again.
package once

import (
	"bytes"
	"strings"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// maxRecords bounds the memory of a ledger. With the default retention of
// 10 minutes it allows about 160 keys per second.
const maxRecords = 100_000

// Decision says how a request with a key is to be handled.
type Decision int

// The decisions.
const (
	Run        Decision = iota // the key has not started before; it is now recorded as started
	Done                       // the key has an outcome
	InProgress                 // the key runs in this process
	Unknown                    // the key may have run
	Reused                     // the key was used for a different request
	Full                       // the ledger has no room for another key
)

// Record is the ledger's entry for a key.
type Record struct {
	Key       string
	Digest    []byte
	StartedAt time.Time // by the clock of this process
	// Outcome is nil until the request has finished.
	Outcome *Outcome
	// ended is closed when the run in this process ends. It is nil if the run
	// has ended or if another process started the key.
	ended chan struct{}
}

// Outcome is a stored response.
type Outcome struct {
	Status int
	Header []byte // opaque to the ledger; encoded by the caller
	Body   []byte
}

// Ledger maps keys to their records. It does no I/O and reads no clock, and it is
// not safe for concurrent use.
type Ledger struct {
	records   map[string]*Record
	order     []*Record // in the order of their start, oldest first
	retention time.Duration
	// complete is set if the ledger holds every key that started within the
	// retention.
	complete      bool
	historyLostAt time.Time // up to when keys may be missing, if not complete
	// tokens are those for which the ledger holds every key with the token in
	// its prefix, even if the ledger is not complete.
	tokens map[string]bool
}

// NewLedger returns an empty ledger. If complete is false, keys without one of
// its tokens are not started before the retention has passed since now.
func NewLedger(retention time.Duration, complete bool, now time.Time) *Ledger {
	return &Ledger{records: map[string]*Record{}, retention: retention, complete: complete, historyLostAt: now, tokens: map[string]bool{}}
}

// AddToken declares that the ledger holds every key with this token.
func (l *Ledger) AddToken(token string) { l.tokens[token] = true }

// SetRetention sets how long keys are kept.
func (l *Ledger) SetRetention(d time.Duration) { l.retention = d }

// MarkIsolated records that another dispatcher may be running keys now. If the
// ledger is not complete, keys up to this moment may be missing from it.
func (l *Ledger) MarkIsolated(now time.Time) { l.historyLostAt = now }

// Len returns the number of keys.
func (l *Ledger) Len() int { return len(l.records) }

// Begin decides how to handle a request with a key and digest. With the decision
// Run, the key is recorded as started. The record is returned with Run, Done and
// InProgress, and is nil otherwise.
func (l *Ledger) Begin(key string, digest []byte, now time.Time) (Decision, *Record) {
	l.expire(now)
	if r := l.records[key]; r != nil {
		switch {
		case !bytes.Equal(r.Digest, digest):
			return Reused, nil
		case r.Outcome != nil:
			return Done, r
		case r.ended != nil:
			return InProgress, r
		}
		return Unknown, nil
	}
	switch {
	case !l.provablyNotStarted(key, now):
		return Unknown, nil
	case len(l.records) >= maxRecords:
		return Full, nil
	}
	r := &Record{Key: key, Digest: digest, StartedAt: now, ended: make(chan struct{})}
	l.add(r)
	return Run, r
}

// Peek returns the decision that Begin would, but does not start the key.
func (l *Ledger) Peek(key string, digest []byte, now time.Time) (Decision, *Record) {
	known := l.records[key] != nil
	v, r := l.Begin(key, digest, now)
	if v == Run && !known {
		l.NotRun(key)
	}
	return v, r
}

func (l *Ledger) add(r *Record) {
	l.records[r.Key] = r
	l.order = append(l.order, r)
}

// provablyNotStarted reports whether a key without a record cannot have started
// within the retention. A key whose token belongs to another ledger may have
// started there, even if this ledger is complete for all other keys.
func (l *Ledger) provablyNotStarted(key string, now time.Time) bool {
	if now.Sub(l.historyLostAt) >= l.retention {
		return true
	}
	if _, token := SplitKey(key); token != "" {
		return l.tokens[token]
	}
	return l.complete
}

// Finish stores the outcome of a key that ran.
func (l *Ledger) Finish(key string, o *Outcome) {
	if r := l.records[key]; r != nil {
		r.Outcome = o
		r.end()
	}
}

// NotRun removes a key that provably did not run, so that it may start again. A
// key with an outcome stays.
func (l *Ledger) NotRun(key string) {
	r := l.records[key]
	if r == nil || r.Outcome != nil {
		return
	}
	r.end()
	delete(l.records, key)
	for i := len(l.order) - 1; i >= 0; i-- {
		if l.order[i] == r {
			l.order = append(l.order[:i], l.order[i+1:]...)
			return
		}
	}
}

// Abandon ends the run of a key in this process without an outcome. The key stays
// recorded as started.
func (l *Ledger) Abandon(key string) {
	if r := l.records[key]; r != nil {
		r.end()
	}
}

// end wakes the duplicate requests that wait for the key.
func (r *Record) end() {
	if r.ended != nil {
		close(r.ended)
		r.ended = nil
	}
}

// expire removes keys older than the retention, oldest first, up to the first one
// that is newer or still runs in this process.
func (l *Ledger) expire(now time.Time) {
	n := 0
	for n < len(l.order) && now.Sub(l.order[n].StartedAt) > l.retention && l.order[n].ended == nil {
		delete(l.records, l.order[n].Key)
		n++
	}
	l.order = l.order[n:]
}

// Put applies a record received from another process.
func (l *Ledger) Put(r *fescuepb.KeyRecord, now time.Time) {
	old := l.records[r.Key]
	switch {
	case r.State == fescuepb.KeyState_KEY_NOT_RUN:
		l.NotRun(r.Key)
		return
	case old == nil:
		old = &Record{Key: r.Key, Digest: r.RequestDigest, StartedAt: now.Add(-time.Duration(r.AgeMs) * time.Millisecond)}
		l.add(old)
	}
	if r.State == fescuepb.KeyState_KEY_FINISHED {
		old.Outcome = &Outcome{Status: int(r.Status), Header: r.Header, Body: r.Body}
	}
}

// Message returns r as a message for another process. It gives the age of the key
// instead of a time, because the clocks of the processes differ.
func (r *Record) Message(now time.Time) *fescuepb.KeyRecord {
	m := &fescuepb.KeyRecord{
		Key: r.Key, State: fescuepb.KeyState_KEY_STARTED, RequestDigest: r.Digest,
		AgeMs: now.Sub(r.StartedAt).Milliseconds(),
	}
	if o := r.Outcome; o != nil {
		m.State, m.Status, m.Header, m.Body = fescuepb.KeyState_KEY_FINISHED, uint32(o.Status), o.Header, o.Body
	}
	return m
}

// Copy returns the whole ledger as messages for another process, each with at
// most batch records.
func (l *Ledger) Copy(now time.Time, batch int) []*fescuepb.CopyRequest {
	first := &fescuepb.CopyRequest{First: true, Complete: l.complete, LostMs: now.Sub(l.historyLostAt).Milliseconds()}
	for token := range l.tokens {
		first.Tokens = append(first.Tokens, token)
	}
	out := []*fescuepb.CopyRequest{first}
	for _, r := range l.order {
		last := out[len(out)-1]
		if len(last.Records) == batch {
			last = &fescuepb.CopyRequest{}
			out = append(out, last)
		}
		last.Records = append(last.Records, r.Message(now))
	}
	out[len(out)-1].Last = true
	return out
}

// Load applies one message of Copy.
func (l *Ledger) Load(m *fescuepb.CopyRequest, now time.Time) {
	if m.First {
		l.complete = m.Complete
		l.historyLostAt = now.Add(-time.Duration(m.LostMs) * time.Millisecond)
		for _, t := range m.Tokens {
			l.tokens[t] = true
		}
	}
	for _, r := range m.Records {
		l.Put(r, now)
	}
}

// AbandonRunning prepares the ledger for the process that takes it over: every
// key that still runs stays recorded as started with an unknown outcome. It
// returns the ledger itself.
func (l *Ledger) AbandonRunning() *Ledger {
	for _, r := range l.records {
		r.end()
	}
	return l
}

// keyPrefixEnd ends the key prefix that a look-up response gives to callers.
const keyPrefixEnd = "~"

// SplitKey returns the data centre and the token of a key with the prefix
// "dc.token~" or "dc~". Both are empty if the key has no prefix, and the token is
// empty if the prefix has none.
func SplitKey(key string) (dc, token string) {
	prefix, _, ok := strings.Cut(key, keyPrefixEnd)
	if !ok {
		return "", ""
	}
	if i := strings.LastIndexByte(prefix, '.'); i >= 0 {
		return prefix[:i], prefix[i+1:]
	}
	return prefix, ""
}
