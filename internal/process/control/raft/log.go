package raft

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	pb "github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// log is the replicated log above a compacted prefix. Invariants:
// offset <= delivered <= committed <= last and stable <= last.
type log struct {
	offset     uint64 // last index removed by compaction
	offsetTerm uint64
	entries    []*pb.LogEntry // entries[i] has index offset+1+i
	stable     uint64         // last index that is durable
	committed  uint64
	delivered  uint64 // last index returned by Committed

	snapshot        *Snapshot       // latest snapshot; sent to followers that need entries up to offset
	pendingSnapshot *Snapshot       // not yet returned by Committed; must be restored before further entries are applied
	configs         []indexedConfig // ascending by index; the last one is in force
}

// indexedConfig is a configuration and the index of the entry that set it. A
// configuration is in force as soon as its entry is appended to the log, before
// the entry is committed.
type indexedConfig struct {
	index  uint64
	config *pb.ConfigState
}

func newLog(st State) *log {
	l := &log{
		offset:     st.Offset,
		offsetTerm: st.OffsetTerm,
		entries:    st.Entries,
		delivered:  st.Offset,
	}
	base := st.Offset
	if st.Snapshot != nil {
		base = st.Snapshot.Meta.Index
		l.snapshot = st.Snapshot
		l.pendingSnapshot = st.Snapshot
		l.delivered = base
		l.configs = []indexedConfig{{base, st.Snapshot.Meta.Config}}
	}
	for _, e := range st.Entries {
		if e.Index > base {
			l.recordConfig(e)
		}
	}
	l.stable = l.last()
	l.committed = min(max(st.HardState.Commit, base), l.last())
	return l
}

func (l *log) last() uint64 { return l.offset + uint64(len(l.entries)) }

// term returns the term of the entry at index i. ok is false if the log does
// not hold the term of that index.
func (l *log) term(i uint64) (term uint64, ok bool) {
	switch {
	case i == l.offset:
		return l.offsetTerm, true
	case i < l.offset || i > l.last():
		return 0, false
	}
	return l.entries[i-l.offset-1].Term, true
}

func (l *log) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// upToDate reports whether a log whose last entry has the given index and term
// is at least as up to date as this log.
func (l *log) upToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.last()
}

// slice returns entries from index lo up to at most hi, both included. It stops
// at maxEntries entries or maxBytes bytes of data, but returns at least one entry
// if lo <= hi, even if it is larger.
func (l *log) slice(lo, hi uint64, maxEntries, maxBytes int) []*pb.LogEntry {
	if lo > hi {
		return nil
	}
	all := l.entries[lo-l.offset-1 : hi-l.offset]
	size, n := 0, 0
	for n < len(all) && n < maxEntries {
		size += len(all[n].Data)
		if n > 0 && size > maxBytes {
			break
		}
		n++
	}
	return all[:n:n]
}

// append adds entries. Their indexes must continue the log without a gap;
// otherwise it panics.
func (l *log) append(entries ...*pb.LogEntry) {
	for _, e := range entries {
		if e.Index != l.last()+1 {
			panic(fmt.Sprintf("raft: entry %d appended after %d", e.Index, l.last()))
		}
		l.entries = append(l.entries, e)
		l.recordConfig(e)
	}
}

// merge adds the entries that follow index prev if the log holds an entry at
// prev with term prevTerm; otherwise ok is false. It removes a conflicting
// suffix of the log, and returns the last index that is now known to match the
// log of the sender.
func (l *log) merge(prev, prevTerm uint64, entries []*pb.LogEntry) (match uint64, ok bool) {
	match = prev + uint64(len(entries))
	if prev < l.offset {
		// The compacted prefix is committed, so it matches the sender.
		skip := min(l.offset-prev, uint64(len(entries)))
		prev += skip
		entries = entries[skip:]
		if prev < l.offset {
			return l.offset, true
		}
		prevTerm = l.offsetTerm
	}
	if t, held := l.term(prev); !held || t != prevTerm {
		return 0, false
	}
	for i, e := range entries {
		if t, held := l.term(e.Index); held && t == e.Term {
			continue
		}
		l.truncateFrom(e.Index)
		l.append(entries[i:]...)
		break
	}
	return match, true
}

// truncateFrom removes all entries at and above index. It panics if that
// includes a committed entry.
func (l *log) truncateFrom(index uint64) {
	if index > l.last() {
		return
	}
	if index <= l.committed {
		panic(fmt.Sprintf("raft: entry %d conflicts although %d is committed", index, l.committed))
	}
	keep := index - l.offset - 1
	// The capacity is limited, so that an append allocates a new array: slices
	// that were returned before share this one.
	l.entries = l.entries[:keep:keep]
	l.stable = min(l.stable, index-1)
	for n := len(l.configs); n > 0 && l.configs[n-1].index >= index; n-- {
		l.configs = l.configs[: n-1 : n-1]
	}
}

// backtrackPoint returns the highest index at or below index whose entry has at
// most the given term, and the term of that entry. With it the leader skips whole
// terms when it searches for the position at which two logs match. If the log
// holds no such entry, the result is an index below the log, with term 0.
func (l *log) backtrackPoint(index, term uint64) (uint64, uint64) {
	for i := min(index, l.last()); ; i-- {
		t, ok := l.term(i)
		if !ok || i == 0 || t <= term {
			return i, t
		}
	}
}

func (l *log) commitTo(index uint64) {
	l.committed = max(l.committed, min(index, l.last()))
}

// restore replaces the whole log by the snapshot s.
func (l *log) restore(s *Snapshot) {
	*l = log{
		offset:          s.Meta.Index,
		offsetTerm:      s.Meta.Term,
		stable:          s.Meta.Index,
		committed:       s.Meta.Index,
		delivered:       s.Meta.Index,
		snapshot:        s,
		pendingSnapshot: s,
		configs:         []indexedConfig{{s.Meta.Index, s.Meta.Config}},
	}
}

// compact records data as the snapshot of the state applied up to index, and
// removes all entries up to index-trailing.
func (l *log) compact(index uint64, data []byte, trailing uint64) *Snapshot {
	term, _ := l.term(index)
	meta := &pb.SnapshotMeta{Index: index, Term: term, Config: l.configFor(index)}
	l.snapshot = &Snapshot{Meta: meta, Data: data}
	for len(l.configs) > 1 && l.configs[1].index <= index {
		l.configs = l.configs[1:]
	}
	if index < l.offset+trailing {
		return l.snapshot
	}
	offset := index - trailing
	offsetTerm, _ := l.term(offset)
	// The remaining entries are copied, so that the memory of the removed ones
	// can be freed.
	l.entries = append([]*pb.LogEntry(nil), l.entries[offset-l.offset:]...)
	l.offset, l.offsetTerm = offset, offsetTerm
	return l.snapshot
}

func (l *log) recordConfig(e *pb.LogEntry) {
	if e.Type != pb.EntryType_ENTRY_CONFIG {
		return
	}
	c := &pb.ConfigState{}
	if err := proto.Unmarshal(e.Data, c); err != nil {
		panic(fmt.Sprintf("raft: configuration entry %d cannot be decoded: %v", e.Index, err))
	}
	l.configs = append(l.configs, indexedConfig{e.Index, c})
}

// configFor returns the configuration that was in force at index.
func (l *log) configFor(index uint64) *pb.ConfigState {
	for i := len(l.configs) - 1; i >= 0; i-- {
		if l.configs[i].index <= index {
			return l.configs[i].config
		}
	}
	return &pb.ConfigState{}
}

// config returns the configuration in force and the index of the entry that
// set it.
func (l *log) config() (*pb.ConfigState, uint64) {
	if len(l.configs) == 0 {
		return &pb.ConfigState{}, 0
	}
	c := l.configs[len(l.configs)-1]
	return c.config, c.index
}
