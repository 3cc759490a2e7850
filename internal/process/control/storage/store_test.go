package storage

import (
	"bytes"
	"flag"
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"

	pb "github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/process/control/raft"
)

// The default run is short and repeatable; -rapid.checks and -rapid.seed
// override it.
func init() {
	flag.Set("rapid.checks", "2000")
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

const dir = "data"

var discard = logging.Discard()

func firstState() raft.State {
	return raft.Bootstrap([]*pb.Peer{{Id: "a#0", Addr: "a", Voter: true}})
}

func entry(index, term uint64) *pb.LogEntry {
	return &pb.LogEntry{Index: index, Term: term, Data: fmt.Appendf(nil, "value %d of term %d", index, term)}
}

func ready(term uint64, entries ...*pb.LogEntry) raft.Ready {
	return raft.Ready{HardState: &raft.HardState{Term: term, Vote: "a#0", Commit: 1}, Entries: entries}
}

// newStore returns an open store with entries 2 to last, saved one by one.
func newStore(t *testing.T, fsys *memFS, last uint64) *Store {
	t.Helper()
	if err := Create(fsys, dir, "a#0", firstState(), discard); err != nil {
		t.Fatal(err)
	}
	s, _, err := Open(fsys, dir, discard)
	if err != nil {
		t.Fatal(err)
	}
	for i := uint64(2); i <= last; i++ {
		if err := s.Save(ready(2, entry(i, 2))); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

// Guards against a replica that does not start after a torn write, and against
// one that starts although an acknowledged record is damaged.
func TestDamagedLog(t *testing.T) {
	const vote, last = 33, 58 // sizes of the last two records in bytes
	cases := []struct {
		name   string
		damage func(data []byte) []byte
		remain int // entries; 0: the store refuses
	}{
		{"intact", func(d []byte) []byte { return d }, 5},
		{"last record cut", func(d []byte) []byte { return d[:len(d)-3] }, 4},
		{"last record cut in the header", func(d []byte) []byte { return d[:len(d)-last+9] }, 4},
		{"next record never written", func(d []byte) []byte { return append(d, make([]byte, 700)...) }, 5},
		{"last record damaged after it was saved", func(d []byte) []byte { d[len(d)-3] ^= 1; return d }, 0},
		{"middle record damaged", func(d []byte) []byte { d[len(d)-last-3] ^= 1; return d }, 0},
		{"length of a middle record damaged", func(d []byte) []byte { d[len(d)-last-vote+6] ^= 1; return d }, 0},
		{"record of a vote missing", func(d []byte) []byte { return append(d[:len(d)-last-vote], d[len(d)-last:]...) }, 0},
	}
	for _, c := range cases {
		fsys := newMemFS()
		s := newStore(t, fsys, 4)
		s.Save(ready(3))
		s.Save(ready(3, entry(5, 3)))
		f := fsys.files[filepath.Join(dir, segmentName(1))]
		size := len(f.data)
		if _, _, n, ok := decodeFrame(f.data[size-last:]); !ok || n != last {
			t.Fatal("the last record has another size")
		}
		if _, _, n, ok := decodeFrame(f.data[size-last-vote:]); !ok || n != vote {
			t.Fatal("the record of the vote has another size")
		}
		f.data = c.damage(f.data)
		var out bytes.Buffer
		_, st, err := Open(fsys, dir, logging.New(&out, "info", "test", "a"))
		if c.remain == 0 {
			if errkind.Of(err) != errkind.CorruptLog || !strings.Contains(err.Error(), "move the data directory data away") {
				t.Errorf("%s: error %v", c.name, err)
			}
			continue
		}
		if err != nil || len(st.Entries) != c.remain {
			t.Errorf("%s: %d entries, want %d; error %v", c.name, len(st.Entries), c.remain, err)
		}
		if logged := strings.Contains(out.String(), "incomplete record"); logged != (c.name != "intact") {
			t.Errorf("%s: logged %q", c.name, out.String())
		}
	}
}

// Guards against an acknowledgement of what a full disk did not store, and
// against a log that cannot be read after space is freed.
func TestFullDisk(t *testing.T) {
	fsys := newMemFS()
	s := newStore(t, fsys, 3)
	fsys.space = 40
	if err := s.Save(ready(2, entry(4, 2))); errkind.Of(err) != errkind.StorageFailed {
		t.Fatalf("save on a full disk: %v", err)
	}
	fsys.space = 1 << 20
	if err := s.Save(ready(2, entry(4, 2))); errkind.Of(err) != errkind.StorageFailed {
		t.Fatalf("save after a failure: %v", err)
	}
	_, st, err := Open(fsys, dir, discard)
	if err != nil || len(st.Entries) != 3 {
		t.Fatalf("after the restart %d entries, want 3; error %v", len(st.Entries), err)
	}
}

// Guards against state that was acknowledged and is gone after a crash between
// any two steps, and against a directory that cannot be opened after it.
func TestCrashAnywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fsys := newMemFS()
		w := &writer{t: t, fsys: fsys}
		for range rapid.IntRange(1, 6).Draw(t, "crashes") {
			fsys.steps = rapid.IntRange(0, 40).Draw(t, "steps")
			for w.store != nil || w.open() {
				if !w.save(rapid.IntRange(0, 9).Draw(t, "save")) {
					break
				}
			}
			fsys.torn = rapid.IntRange(0, 300).Draw(t, "torn")
			fsys = fsys.restart()
			w.fsys, w.store = fsys, nil
		}
		if !w.open() {
			t.Fatalf("the store does not open on a working disk: %v", w.err)
		}
	})
}

// writer is a model of what the store has acknowledged.
type writer struct {
	t     *rapid.T
	fsys  *memFS
	store *Store
	state raft.State // acknowledged, then continued in memory
	tried raft.State // the save that a crash interrupted
	made  bool
	err   error
}

// open opens the store and checks that it holds what was acknowledged, or
// that and the interrupted save.
func (w *writer) open() bool {
	id, err := Identity(w.fsys, dir)
	if err == nil && id == "" && w.made {
		w.t.Fatalf("the identity is gone")
	}
	if err == nil && id == "" {
		w.state = firstState()
		w.tried = w.state
		err = Create(w.fsys, dir, "a#0", w.state, discard)
		w.made = err == nil
	}
	var st raft.State
	if err == nil {
		w.made = true
		w.store, st, err = Open(w.fsys, dir, discard)
	}
	if w.err = err; err != nil {
		if errkind.Of(err) == errkind.CorruptLog {
			w.t.Fatalf("a crash looks like corruption: %v", err)
		}
		return false
	}
	if got := describe(st); got != describe(w.state) && got != describe(w.tried) && got != describe(w.halfway()) {
		w.t.Fatalf("recovered %s\nwant %s\nor %s\nor %s", got, describe(w.state), describe(w.tried), describe(w.halfway()))
	}
	w.state, w.tried = st, st
	return true
}

// halfway is the state after a crash between the saving of a snapshot and the
// rewriting of the log: the hard state is older than the snapshot, but not
// behind its term.
func (w *writer) halfway() raft.State {
	st := w.tried
	if st.Snapshot == w.state.Snapshot {
		return w.state
	}
	st.HardState = w.state.HardState
	if meta := st.Snapshot.Meta; meta.Term > st.HardState.Term {
		st.HardState.Term, st.HardState.Vote = meta.Term, ""
	}
	return st
}

// describe leaves out what is below the snapshot, and the commit index, which
// may lag behind.
func describe(st raft.State) string {
	out := fmt.Sprint(st.HardState.Term, st.HardState.Vote)
	floor := st.Offset
	if st.Snapshot != nil {
		floor = st.Snapshot.Meta.Index
		out += fmt.Sprint(" snapshot ", floor, st.Snapshot.Meta.Term, string(st.Snapshot.Data))
	}
	for _, e := range st.Entries {
		if e.Index > floor {
			out += fmt.Sprint(" ", e.Index, "/", e.Term)
		}
	}
	return out
}

// save makes one random change: compact, install a snapshot, overwrite the
// last entry, or append.
func (w *writer) save(kind int) bool {
	next := w.state
	next.HardState.Term++
	term, last := next.HardState.Term, next.Offset+uint64(len(next.Entries))
	save := func() error {
		return w.store.Save(raft.Ready{HardState: &next.HardState, Entries: next.Entries[len(next.Entries)-2:]})
	}
	switch {
	case kind == 0 && last > next.Offset:
		next = snapshotAt(next.HardState, last, next.Entries[len(next.Entries)-1].Term)
		save = func() error { return w.store.Compact(next) }
	case kind == 1:
		next = snapshotAt(next.HardState, last+5, term)
		save = func() error {
			return w.store.Save(raft.Ready{HardState: &next.HardState, Snapshot: next.Snapshot})
		}
	default:
		keep := len(next.Entries)
		if kind == 2 && last > max(next.Offset, next.HardState.Commit) {
			keep--
		}
		from := next.Offset + uint64(keep) + 1
		next.Entries = append(next.Entries[:keep:keep], entry(from, term), entry(from+1, term))
	}
	w.tried = next
	if save() != nil {
		return false
	}
	w.state = next
	return true
}

// snapshotAt returns a state that is only a snapshot.
func snapshotAt(hs raft.HardState, index, term uint64) raft.State {
	hs.Commit = index
	meta := &pb.SnapshotMeta{Index: index, Term: term, Config: &pb.ConfigState{}}
	snap := &raft.Snapshot{Meta: meta, Data: fmt.Appendf(nil, "state at %d", index)}
	return raft.State{HardState: hs, Snapshot: snap, Offset: index, OffsetTerm: term}
}
