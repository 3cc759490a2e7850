// Package once keeps the ledger of at-most-once requests.
//
// A key's start is recorded on this instance and on a backup before the
// first byte goes to a target. Invariants:
//
//   - A key is given out to run only if the ledger proves that it has not
//     started before.
//   - A key that started and whose outcome is not recorded never runs again.
package once

import (
	"bytes"
	"strings"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// maxRecords bounds the memory of a ledger; with the default retention of
// 10 minutes it allows about 160 keys a second.
const maxRecords = 100_000

// Verdict says what to do with a key.
type Decision int

// The verdicts.
const (
	Run        Decision = iota // it has not started; it counts as started now
	Done                       // it has an outcome
	InProgress                 // it runs in this process
	Unknown                    // it may have run
	Reused                     // it belongs to a different request
	Full                       // the ledger takes no more keys
)

// Record is what the ledger knows of a key.
type Record struct {
	Key       string
	Digest    []byte
	StartedAt time.Time // when it started
	// Outcome is nil until the request has finished.
	Outcome *Outcome
	// ended is closed when the run in this process has ended; nil if the key
	// was started by another process.
	ended chan struct{}
}

// Outcome is a stored answer.
type Outcome struct {
	Status int
	Header []byte // encoded by the caller
	Body   []byte
}

// Ledger is the pure part: no I/O, no clock, not safe for concurrent use.
type Ledger struct {
	records   map[string]*Record
	order     []*Record // by start, oldest first
	retention time.Duration
	// complete: every key that has ever started within the retention is here.
	complete      bool
	historyLostAt time.Time // when history was lost, if not complete
	// tokens whose whole history is here, although the ledger is not complete.
	tokens map[string]bool
}

// NewLedger returns an empty ledger. If complete is false, keys without one of
// its tokens are not given out before the retention has passed.
func NewLedger(retention time.Duration, complete bool, now time.Time) *Ledger {
	return &Ledger{records: map[string]*Record{}, retention: retention, complete: complete, historyLostAt: now, tokens: map[string]bool{}}
}

// AddToken says that keys with this token have all their history here.
func (l *Ledger) AddToken(token string) { l.tokens[token] = true }

// SetRetention changes how long keys are kept.
func (l *Ledger) SetRetention(d time.Duration) { l.retention = d }

// Isolated says that another dispatcher may be running keys now. History
// counts as lost up to this moment if the ledger is not complete.
func (l *Ledger) MarkIsolated(now time.Time) { l.historyLostAt = now }

// Len returns the number of keys.
func (l *Ledger) Len() int { return len(l.records) }

// Begin decides about a key at now. With the verdict Run it counts as
// started; with Done and InProgress the record is returned.
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

// Peek decides about a key like Begin, but starts nothing.
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

// provable reports whether a key without a record certainly never started. A
// token of another ledger's means that the key may have started there, even
// if this ledger is complete for all others.
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

// NotRun forgets a key that provably did not run.
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

// Abandon keeps a key as started with an unknown outcome.
func (l *Ledger) Abandon(key string) {
	if r := l.records[key]; r != nil {
		r.end()
	}
}

// end wakes duplicates that wait for the key.
func (r *Record) end() {
	if r.ended != nil {
		close(r.ended)
		r.ended = nil
	}
}

// expire forgets keys older than the retention, except those that run.
func (l *Ledger) expire(now time.Time) {
	n := 0
	for n < len(l.order) && now.Sub(l.order[n].StartedAt) > l.retention && l.order[n].ended == nil {
		delete(l.records, l.order[n].Key)
		n++
	}
	l.order = l.order[n:]
}

// Put takes over a record from another process.
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

// Message returns the form of r for another process.
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

// Copy returns the whole ledger for another process, in messages of at most
// batch records.
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

// Load takes over one message of Copy.
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

// Fork returns the ledger for the process that takes it over: keys that run
// elsewhere count as started with an unknown outcome.
func (l *Ledger) AbandonRunning() *Ledger {
	for _, r := range l.records {
		r.end()
	}
	return l
}

// keyMark ends the prefix that a look-up gives for keys.
const keyPrefixEnd = "~"

// SplitKey returns the data centre and the token in a key's prefix
// "dc.token~" or "dc~"; both are empty without a prefix.
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
