package raft

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	pb "github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// log is the replicated log above a compacted prefix. Invariants:
// offset <= handed <= committed <= last and stable <= last.
type log struct {
	offset     uint64 // last index removed by compaction
	offsetTerm uint64
	entries    []*pb.LogEntry // entries[i] has index offset+1+i
	stable     uint64         // last index saved
	committed  uint64
	handed     uint64 // last index handed out for application

	snapshot      *Snapshot  // latest snapshot, sent to followers behind offset
	applySnapshot *Snapshot  // must be restored before further entries are applied
	configs       []configAt // ascending; the last one is in force
}

// configAt is a configuration and the index of the entry that set it. A
// configuration is in force from the moment its entry is in the log.
type configAt struct {
	index  uint64
	config *pb.ConfigState
}

func newLog(st State) *log {
	l := &log{
		offset:     st.Offset,
		offsetTerm: st.OffsetTerm,
		entries:    st.Entries,
		handed:     st.Offset,
	}
	floor := st.Offset
	if st.Snapshot != nil {
		floor = st.Snapshot.Meta.Index
		l.snapshot = st.Snapshot
		l.applySnapshot = st.Snapshot
		l.handed = floor
		l.configs = []configAt{{floor, st.Snapshot.Meta.Config}}
	}
	for _, e := range st.Entries {
		if e.Index > floor {
			l.noteConfig(e)
		}
	}
	l.stable = l.last()
	l.committed = min(max(st.HardState.Commit, floor), l.last())
	return l
}

func (l *log) last() uint64 { return l.offset + uint64(len(l.entries)) }

// term returns the term of index i; ok is false outside the log.
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

// upToDate reports whether a log that ends at index and term holds at least
// what this log holds.
func (l *log) upToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.last()
}

// from returns entries starting at index lo within the given limits, at
// least one if there is any.
func (l *log) from(lo, hi uint64, maxEntries, maxBytes int) []*pb.LogEntry {
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

// append adds entries that follow the last one.
func (l *log) append(entries ...*pb.LogEntry) {
	for _, e := range entries {
		if e.Index != l.last()+1 {
			panic(fmt.Sprintf("raft: entry %d appended after %d", e.Index, l.last()))
		}
		l.entries = append(l.entries, e)
		l.noteConfig(e)
	}
}

// merge adds entries that follow prev, if the log holds prev with prevTerm.
// It removes a suffix that conflicts and returns the last index that is now
// known to match the sender.
func (l *log) merge(prev, prevTerm uint64, entries []*pb.LogEntry) (match uint64, ok bool) {
	match = prev + uint64(len(entries))
	if prev < l.offset {
		// The compacted prefix is committed, so it matches.
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

// truncateFrom removes the entries from index on.
func (l *log) truncateFrom(index uint64) {
	if index > l.last() {
		return
	}
	if index <= l.committed {
		panic(fmt.Sprintf("raft: entry %d conflicts although %d is committed", index, l.committed))
	}
	keep := index - l.offset - 1
	// The capacity is cut, because slices handed out share the array.
	l.entries = l.entries[:keep:keep]
	l.stable = min(l.stable, index-1)
	for n := len(l.configs); n > 0 && l.configs[n-1].index >= index; n-- {
		l.configs = l.configs[: n-1 : n-1]
	}
}

// conflict returns the highest index at or below index whose term is at most
// term, for quick backtracking, and its term.
func (l *log) conflict(index, term uint64) (uint64, uint64) {
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

// restore replaces the whole log by a snapshot.
func (l *log) restore(s *Snapshot) {
	*l = log{
		offset:        s.Meta.Index,
		offsetTerm:    s.Meta.Term,
		stable:        s.Meta.Index,
		committed:     s.Meta.Index,
		handed:        s.Meta.Index,
		snapshot:      s,
		applySnapshot: s,
		configs:       []configAt{{s.Meta.Index, s.Meta.Config}},
	}
}

// compact records a snapshot of the state applied up to index and drops the
// entries more than trailing below it.
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
	// The rest is copied, so that the dropped entries can be collected.
	l.entries = append([]*pb.LogEntry(nil), l.entries[offset-l.offset:]...)
	l.offset, l.offsetTerm = offset, offsetTerm
	return l.snapshot
}

func (l *log) noteConfig(e *pb.LogEntry) {
	if e.Type != pb.EntryType_ENTRY_CONFIG {
		return
	}
	c := &pb.ConfigState{}
	if err := proto.Unmarshal(e.Data, c); err != nil {
		panic(fmt.Sprintf("raft: configuration entry %d cannot be decoded: %v", e.Index, err))
	}
	l.configs = append(l.configs, configAt{e.Index, c})
}

// configFor returns the configuration as of index.
func (l *log) configFor(index uint64) *pb.ConfigState {
	for i := len(l.configs) - 1; i >= 0; i-- {
		if l.configs[i].index <= index {
			return l.configs[i].config
		}
	}
	return &pb.ConfigState{}
}

// config returns the configuration in force and the index that set it.
func (l *log) config() (*pb.ConfigState, uint64) {
	if len(l.configs) == 0 {
		return &pb.ConfigState{}, 0
	}
	c := l.configs[len(l.configs)-1]
	return c.config, c.index
}
