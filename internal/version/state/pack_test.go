package state

import (
	"bytes"
	"testing"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"google.golang.org/protobuf/proto"
)

// Guards against a replica whose disk or memory is filled by changes of one weight in a
// large section: 100 of them with 1,400 routes were 36 MB each in the log, in the
// history and in the state image.
func TestLargeRevisionsTakeLittleSpace(t *testing.T) {
	m, sec := New(), largeSection(200)
	const revisions = 20
	var yaml []byte
	logBytes := 0
	for i := range uint64(revisions) {
		r := largeChange(t, sec, i)
		yaml = r.Yaml
		data, err := EncodeChange(r, "operator", 0)
		if err != nil {
			t.Fatal(err)
		}
		logBytes += len(data)
		applyLarge(t, m, r)
	}
	image, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if most := revisions * len(yaml) / 4; logBytes > most || len(image) > most {
		t.Errorf("%d bytes in the log and %d in the image for %d revisions of %d bytes", logBytes, len(image), revisions, len(yaml))
	}
}

// Guards against revisions that operators can no longer read, a change that is not
// recognised when it is sent again, and a restored replica that differs, once the log
// and the history hold compressed YAML.
func TestPackedRevisionsAreRead(t *testing.T) {
	m, sec := New(), largeSection(100)
	first, second := largeChange(t, sec, 0), largeChange(t, sec, 1)
	applyLarge(t, m, first)
	applyLarge(t, m, second)
	image, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(image); err != nil {
		t.Fatal(err)
	}
	for _, m := range []*Machine{m, restored} {
		if h := m.History(largeTeam, 0); len(h) != 2 || !bytes.Equal(h[0].Yaml, second.Yaml) || !bytes.Equal(h[1].Yaml, first.Yaml) {
			t.Errorf("history %.200v", h)
		}
		if _, s := m.Sections(largeTeam); len(s) != 1 || !bytes.Equal(s[0].Yaml, second.Yaml) {
			t.Errorf("sections %.200v", s)
		}
		if reply, err := m.Check(first); err != nil || !reply.GetRepeatedChange() {
			t.Errorf("sent again: %v, %v", reply, err)
		}
	}
	if again, _ := restored.Snapshot(); !bytes.Equal(image, again) {
		t.Error("the restored state differs")
	}
}

// Guards against a log of an earlier version, with YAML that is not compressed, that
// gives another content, and against entries that no correct replica writes.
func TestUnpackedAndOddYAMLInTheLog(t *testing.T) {
	sec := largeSection(100)
	r := largeChange(t, sec, 0)
	packed, plain := New(), New()
	applyLarge(t, packed, r)
	applyCommand(t, plain, 1, &fescuepb.Command{Body: &fescuepb.Command_Apply{Apply: &fescuepb.ApplyCommand{Author: "operator", Request: r}}})
	if a, b := packed.Since(0), plain.Since(0); len(b.Sections) != 1 || !proto.Equal(a, b) {
		t.Errorf("got %.200v, want %.200v", b, a)
	}
	large, err := pack(bytes.Repeat([]byte("# comment\n"), MaxSectionBytes/10+1))
	if err != nil {
		t.Fatal(err)
	}
	for name, yaml := range map[string][]byte{"truncated": {packedMark, 0x01}, "too large": large} {
		cmd := changeCmd(largeTeam, 1, name, string(yaml))
		if res := applyCommand(t, packed, 2, cmd); errkind.Kind(res.ErrorKind) != errkind.BadRequest {
			t.Errorf("%s: %v", name, res)
		}
	}
}
