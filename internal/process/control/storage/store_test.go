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

// The default run is short and reproducible. The flags -rapid.checks and
// -rapid.seed override it.
func init() {
	flag.Set("rapid.checks", "2000")
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

const testDir = "data"

var discardLog = logging.Discard()

func bootstrapState() raft.State {
	return raft.Bootstrap([]*pb.Peer{{Id: "a#0", Addr: "a", Voter: true}})
}

func entry(index, term uint64) *pb.LogEntry {
	return &pb.LogEntry{Index: index, Term: term, Data: fmt.Appendf(nil, "value %d of term %d", index, term)}
}

func ready(term uint64, entries ...*pb.LogEntry) raft.Ready {
	return raft.Ready{HardState: &raft.HardState{Term: term, Vote: "a#0", Commit: 1}, Entries: entries}
}

// newStore returns an open store to which entries 2 to last were saved one by
// one, after the bootstrap entry.
func newStore(t *testing.T, fsys *memFS, last uint64) *Store {
	t.Helper()
	if err := Create(fsys, testDir, "a#0", bootstrapState(), discardLog); err != nil {
		t.Fatal(err)
	}
	s, _, err := Open(fsys, testDir, discardLog)
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

// Guards against a replica that fails to start after a torn write, and against a
// replica that starts although a saved record is damaged.
func TestDamagedLog(t *testing.T) {
	const vote, last = 33, 58 // sizes of the last two records in bytes
	cases := []struct {
		name        string
		damage      func(data []byte) []byte
		wantEntries int // 0 if Open must fail
	}{
		{"intact", func(d []byte) []byte { return d }, 5},
		{"last record truncated", func(d []byte) []byte { return d[:len(d)-3] }, 4},
		{"last record truncated in the header", func(d []byte) []byte { return d[:len(d)-last+9] }, 4},
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
		f := fsys.files[filepath.Join(testDir, segmentName(1))]
		size := len(f.data)
		if _, _, n, ok := decodeFrame(f.data[size-last:]); !ok || n != last {
			t.Fatal("the size of the last record differs from the constant last")
		}
		if _, _, n, ok := decodeFrame(f.data[size-last-vote:]); !ok || n != vote {
			t.Fatal("the size of the vote record differs from the constant vote")
		}
		f.data = c.damage(f.data)
		var out bytes.Buffer
		_, st, err := Open(fsys, testDir, logging.New(&out, "info", "test", "a"))
		if c.wantEntries == 0 {
			if errkind.Of(err) != errkind.CorruptLog || !strings.Contains(err.Error(), "move the data directory data away") {
				t.Errorf("%s: error %v", c.name, err)
			}
			continue
		}
		if err != nil || len(st.Entries) != c.wantEntries {
			t.Errorf("%s: %d entries, want %d; error %v", c.name, len(st.Entries), c.wantEntries, err)
		}
		if logged := strings.Contains(out.String(), "incomplete record"); logged != (c.name != "intact") {
			t.Errorf("%s: logged %q", c.name, out.String())
		}
	}
}

// Guards against a save that reports success although the disk is full, and
// against a log that cannot be read after space is freed.
func TestFullDisk(t *testing.T) {
	fsys := newMemFS()
	s := newStore(t, fsys, 3)
	fsys.freeSpace = 40
	if err := s.Save(ready(2, entry(4, 2))); errkind.Of(err) != errkind.StorageFailed {
		t.Fatalf("save on a full disk: %v", err)
	}
	fsys.freeSpace = 1 << 20
	if err := s.Save(ready(2, entry(4, 2))); errkind.Of(err) != errkind.StorageFailed {
		t.Fatalf("save after a failure: %v", err)
	}
	_, st, err := Open(fsys, testDir, discardLog)
	if err != nil || len(st.Entries) != 3 {
		t.Fatalf("after the restart %d entries, want 3; error %v", len(st.Entries), err)
	}
}

// Guards against the loss of saved state, and against a data directory that cannot
// be opened, after a crash between any two disk operations.
func TestCrashAnywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fsys := newMemFS()
		w := &storeModel{t: t, fsys: fsys}
		for range rapid.IntRange(1, 6).Draw(t, "crashes") {
			fsys.stepsUntilCrash = rapid.IntRange(0, 40).Draw(t, "steps")
			for w.store != nil || w.open() {
				if !w.save(rapid.IntRange(0, 9).Draw(t, "save")) {
					break
				}
			}
			fsys.tornBytes = rapid.IntRange(0, 300).Draw(t, "torn")
			fsys = fsys.afterCrash()
			w.fsys, w.store = fsys, nil
		}
		if !w.open() {
			t.Fatalf("the store does not open on a working disk: %v", w.err)
		}
	})
}

// Guards against a replica that acknowledges a record which a failed sync or the end
// of the process left in the log unsynced and a later power loss removes: its leader
// counts the record as saved there and never sends it again. Also guards against a
// data directory that cannot be opened after the disk was full.
func TestFullDiskThenPowerLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fsys := newMemFS()
		w := &storeModel{t: t, fsys: fsys}
		for range rapid.IntRange(1, 6).Draw(t, "faults") {
			steps := rapid.IntRange(0, 40).Draw(t, "steps")
			fsys.tornBytes = rapid.IntRange(0, 300).Draw(t, "torn")
			if rapid.Bool().Draw(t, "full") {
				fsys.stepsUntilFull = steps
			} else {
				fsys.stepsUntilCrash = steps
			}
			for w.store != nil || w.open() {
				if !w.save(rapid.IntRange(0, 9).Draw(t, "save")) {
					break
				}
			}
			w.restarted = !rapid.Bool().Draw(t, "power loss")
			if w.restarted {
				fsys = fsys.afterRestart()
			} else {
				fsys = fsys.afterCrash()
			}
			w.fsys, w.store = fsys, nil
		}
		if !w.open() {
			t.Fatalf("the store does not open on a working disk: %v", w.err)
		}
	})
}

// storeModel records the state that a correct store must return.
type storeModel struct {
	t         *rapid.T
	fsys      *memFS
	store     *Store
	state     raft.State // last state whose save succeeded
	attempted raft.State // state of the last save, which a crash may have interrupted
	created   bool
	restarted bool // the last process ended without a power loss, so what it left may not be durable
	err       error
}

// open opens the store and checks that it holds the last saved state, the state
// of the interrupted save, or the state between both. It returns false if a
// simulated crash prevents it.
func (w *storeModel) open() bool {
	id, err := Identity(w.fsys, testDir)
	if err == nil && id == "" && w.created {
		w.t.Fatalf("the identity was lost")
	}
	if err == nil && id == "" {
		w.state = bootstrapState()
		w.attempted = w.state
		err = Create(w.fsys, testDir, "a#0", w.state, discardLog)
		w.created = err == nil
	}
	var st raft.State
	if err == nil {
		w.created = w.created || !w.restarted
		w.store, st, err = Open(w.fsys, testDir, discardLog)
	}
	w.created = w.created || err == nil
	if w.err = err; err != nil {
		if errkind.Of(err) == errkind.CorruptLog {
			w.t.Fatalf("a crash was reported as corruption: %v", err)
		}
		return false
	}
	if got := describeState(st); got != describeState(w.state) && got != describeState(w.attempted) && got != describeState(w.betweenSnapshotAndLog()) {
		w.t.Fatalf("recovered %s\nwant %s\nor %s\nor %s", got, describeState(w.state), describeState(w.attempted), describeState(w.betweenSnapshotAndLog()))
	}
	w.state, w.attempted = st, st
	return true
}

// betweenSnapshotAndLog returns the expected state after a crash between the save
// of a snapshot and the rewrite of the log. The hard state is the one before the
// snapshot, except that its term is at least the term of the snapshot.
func (w *storeModel) betweenSnapshotAndLog() raft.State {
	st := w.attempted
	if st.Snapshot == w.state.Snapshot {
		return w.state
	}
	st.HardState = w.state.HardState
	if meta := st.Snapshot.Meta; meta.Term > st.HardState.Term {
		st.HardState.Term, st.HardState.Vote = meta.Term, ""
	}
	return st
}

// describeState formats a state for comparison. It omits the entries that the
// snapshot covers, and the commit index, which may be older than the saved one.
func describeState(st raft.State) string {
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

// save makes one random change, selected by kind: it compacts the log, installs a
// snapshot, overwrites the last entry, or appends entries. It returns false if the
// change failed.
func (w *storeModel) save(kind int) bool {
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
	w.attempted = next
	if save() != nil {
		return false
	}
	w.state = next
	return true
}

// snapshotAt returns a state with a snapshot and an empty log.
func snapshotAt(hs raft.HardState, index, term uint64) raft.State {
	hs.Commit = index
	meta := &pb.SnapshotMeta{Index: index, Term: term, Config: &pb.ConfigState{}}
	snap := &raft.Snapshot{Meta: meta, Data: fmt.Appendf(nil, "state at %d", index)}
	return raft.State{HardState: hs, Snapshot: snap, Offset: index, OffsetTerm: term}
}
