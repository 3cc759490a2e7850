package group

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	slotlink "github.com/fescuejunction/fescuejunction/internal/connection/slots"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
)

// regionsOfEntries returns a snapshot with entries in the regions r0, r1, ..., sizes[i] in
// the region i, which has two data centres. absent names an entry that does not run.
func regionsOfEntries(tb testing.TB, absent string, sizes ...int) *snapshot.Snapshot {
	tb.Helper()
	var members []*fescuepb.Member
	yaml := "team: platform\nregions:\n"
	for r, size := range sizes {
		yaml += fmt.Sprintf("  - {name: r%d, data_centres: [r%da, r%db]}\n", r, r, r)
		for i := range size {
			name, dc := fmt.Sprintf("r%de%d", r, i), fmt.Sprintf("r%d%c", r, 'a'+i%2)
			members = append(members, &fescuepb.Member{
				Instance: name, DataCentre: dc, Region: fmt.Sprintf("r%d", r), Role: fescuepb.Role_ROLE_ENTRY, GrpcAddr: name + ":1", Session: 1, Silent: name == absent,
			})
		}
	}
	snap, err := new(snapshot.Builder).Build(snapshot.Content{Version: 1, Sections: []*fescuepb.Section{{Team: "platform", Yaml: []byte(yaml)}}, Members: members})
	if err != nil {
		tb.Fatal(err)
	}
	return snap
}

func entryOf(snap *snapshot.Snapshot, instance, dc string) *Guarded {
	g := &Guarded{Instance: instance, DataCentre: dc, Client: &slotlink.Client{Log: logging.Discard()}, Now: time.Now, Log: logging.Discard()}
	g.SetSnapshot(snap)
	return g
}

// Guards against requests of a region short of targets that open a connection each: on the
// large site, 60 entries forward to 122 others, and a pair of them has a request in 11 s.
// Forwards stay evenly spread, and an absent entry costs nothing.
func TestMovedRequestsFindOpenConnections(t *testing.T) {
	for _, tc := range []struct {
		name       string
		sizes      []int
		absent     string
		most       int // entries of r1 to which one of r0 forwards
		perEntry   [2]int
		considered int // entries of r1 that get forwards
	}{
		{"large site", []int{60, 61, 61}, "", 4, [2]int{3, 4}, 61},
		{"grown site", []int{21, 22, 21}, "", 4, [2]int{3, 4}, 22},
		{"small region", []int{9, 2, 2}, "", 2, [2]int{9, 9}, 2},
		{"absent entry", []int{21, 22, 21}, "r1e3", 4, [2]int{3, 8}, 21},
	} {
		t.Run(tc.name, func(t *testing.T) {
			snap := regionsOfEntries(t, tc.absent, tc.sizes...)
			sources := map[string]int{} // by entry of r1, how many entries of r0 use it
			for i := range tc.sizes[0] {
				g := entryOf(snap, fmt.Sprintf("r0e%d", i), "r0a")
				used := map[string]int{}
				for k := range 400 {
					entries := g.RegionEntries("r1", strconv.Itoa(k))
					if len(entries) != maxRegionEntries || entries[0] == entries[1] {
						t.Fatalf("entries %v, want %d different ones", entries, maxRegionEntries)
					}
					used[entries[0].Instance]++
				}
				if len(used) > tc.most {
					t.Fatalf("an entry forwards to %d entries of a region, want at most %d", len(used), tc.most)
				}
				for name, n := range used {
					sources[name]++
					if n < 400/tc.most/2 {
						t.Errorf("%d of 400 requests for %s", n, name)
					}
				}
			}
			if len(sources) != tc.considered || sources[tc.absent] > 0 {
				t.Errorf("%d entries get forwards, want %d without %q", len(sources), tc.considered, tc.absent)
			}
			for name, n := range sources {
				if n < tc.perEntry[0] || n > tc.perEntry[1] {
					t.Errorf("%d entries forward to %s, want %v", n, name, tc.perEntry)
				}
			}
		})
	}
}

// Guards against a region that is not reached because the entries which this one uses
// cannot be reached.
func TestOtherEntriesOfARegionReplaceUnreachableOnes(t *testing.T) {
	g := entryOf(regionsOfEntries(t, "", 3, 12), "r0e1", "r0b")
	seen := map[string]bool{}
	for range 6 {
		entries := g.RegionEntries("r1", "request")
		if len(entries) != maxRegionEntries {
			t.Fatalf("%d entries after %d unreachable ones", len(entries), len(seen))
		}
		for _, m := range entries {
			if seen[m.Instance] {
				t.Errorf("%s is unreachable and offered again", m.Instance)
			}
			seen[m.Instance] = true
			g.MarkUnreachable(m.Instance)
		}
	}
	if entries := g.RegionEntries("r1", "request"); len(entries) != 0 {
		t.Errorf("%v, all are unreachable", entries)
	}
}
