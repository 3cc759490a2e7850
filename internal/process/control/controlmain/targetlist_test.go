package controlmain

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// fakeList is a list of targets with pages of one target.
type fakeList struct {
	delay   time.Duration // of each page
	targets map[string]int
	failing string // data centre whose second page cannot be read
	stalled bool   // pages of failing are never answered

	mu    sync.Mutex
	calls int
}

func (l *fakeList) Page(ctx context.Context, dc, token string) (*TargetPage, error) {
	l.mu.Lock()
	l.calls++
	l.mu.Unlock()
	time.Sleep(l.delay)
	var all []*fescuepb.Target
	for _, name := range []string{"a", "b", "c"} {
		for i := range l.targets[name] {
			if dc == "" || dc == name {
				all = append(all, &fescuepb.Target{Id: fmt.Sprintf("%s%d", name, i), DataCentre: name})
			}
		}
	}
	first := 0
	_, _ = fmt.Sscan(token, &first) // the first page has no token
	if l.stalled && dc == l.failing {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if first == 1 && l.failing != "" && (dc == "" || dc == l.failing) {
		return nil, errkind.New(errkind.Timeout, "page of the test fails")
	}
	page := &TargetPage{Targets: all[first : first+1]}
	if first+1 < len(all) {
		page.Next = fmt.Sprint(first + 1)
	}
	return page, nil
}

var listedNames = []string{"a", "b", "c"}

// Guards against skipped pages, and against a list that takes the longer the more pages
// it has, although its data centres can be read in parallel.
func TestLongListIsReadByDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeList{delay: 100 * time.Millisecond, targets: map[string]int{"a": 4, "b": 3, "c": 5}}
		r := newListReader(l, 0, logging.Discard())
		for reading, want := range []time.Duration{1200 * time.Millisecond, 500 * time.Millisecond, 500 * time.Millisecond} {
			start := time.Now()
			list, err := r.read(t.Context(), listedNames)
			if err != nil || len(list.targets) != 12 || time.Since(start) != want {
				t.Errorf("reading %d: %d targets after %v, %v", reading, len(list.targets), time.Since(start), err)
			}
		}
		l.delay = 5 * time.Millisecond
		for range 2 {
			l.calls = 0
			if list, err := r.read(t.Context(), listedNames); err != nil || len(list.targets) != 12 {
				t.Errorf("%v, %v", list, err)
			}
		}
		if r.byDataCentre {
			t.Error("a list that can be read fast as a whole is still read by data centre")
		}
	})
}

// Guards against a data centre that cannot be read and hides the others, and against
// targets of an incomplete reading that count as all targets.
func TestListReadInPart(t *testing.T) {
	for name, l := range map[string]*fakeList{
		"error":     {failing: "b"},
		"no answer": {failing: "b", stalled: true},
	} {
		synctest.Test(t, func(t *testing.T) {
			l.delay, l.targets = 100*time.Millisecond, map[string]int{"a": 2, "b": 3, "c": 2}
			r := newListReader(l, 0, logging.Discard())
			if list, err := r.read(t.Context(), listedNames); !l.stalled && (err == nil || list.covers("a")) {
				t.Errorf("%s: a list without its second page counts as read", name)
			}
			r.byDataCentre = true
			start := time.Now()
			list, err := r.read(t.Context(), listedNames)
			if err == nil || list.covers("b") || !list.covers("a") || !list.covers("c") || len(list.targets) != 4 {
				t.Errorf("%s: %v covered, %d targets, %v", name, list.dataCentres, len(list.targets), err)
			}
			if took := time.Since(start); took > 2*pageTimeout {
				t.Errorf("%s: reading took %v", name, took)
			}
		})
	}
}

// Guards against more calls in a second than the platform permits.
func TestListStaysWithinRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond = 20
		l := &fakeList{targets: map[string]int{"a": 30, "b": 30, "c": 30}}
		r := newListReader(l, perSecond, logging.Discard())
		r.byDataCentre = true
		start := time.Now()
		if _, err := r.read(t.Context(), listedNames); err != nil {
			t.Error(err)
		}
		if most := perSecond * (time.Since(start).Seconds() + 1); float64(l.calls) > most || l.calls != 90 {
			t.Errorf("%d calls in %v", l.calls, time.Since(start))
		}
	})
}

// unreadList is a list in which one data centre has something else in place of its
// targets.
type unreadList struct{}

func (unreadList) Page(_ context.Context, dc, _ string) (*TargetPage, error) {
	switch dc {
	case "a":
		return &TargetPage{Unread: []string{"a"}}, nil
	case "b":
		return &TargetPage{Targets: []*fescuepb.Target{{Id: "b1", DataCentre: "b"}}}, nil
	}
	return &TargetPage{Targets: []*fescuepb.Target{{Id: "b1", DataCentre: "b"}}, Unread: []string{"a"}}, nil
}

// Guards against a data centre that loses all its targets because another writer put
// something in place of its entries.
func TestUnreadDataCentreKeepsItsTargets(t *testing.T) {
	committed := []*fescuepb.Target{{Id: "a1", DataCentre: "a"}, {Id: "b1", DataCentre: "b"}, {Id: "b2", DataCentre: "b"}}
	for _, byDataCentre := range []bool{false, true} {
		r := newListReader(unreadList{}, 0, logging.Discard())
		r.byDataCentre = byDataCentre
		list, err := r.read(t.Context(), []string{"a", "b"})
		if err != nil {
			t.Fatal(err)
		}
		if change := targetChanges(committed, list); len(change.Set) != 0 || len(change.Removed) != 1 || change.Removed[0] != "b2" {
			t.Errorf("by data centre %t: set %v, removed %v", byDataCentre, change.Set, change.Removed)
		}
	}
}

// repeatingList answers a request once more with the page before.
type repeatingList struct {
	TargetSource
	at     int // the request that gets the page before, counted from 1
	calls  int
	before *TargetPage
}

func (l *repeatingList) Page(ctx context.Context, dc, token string) (*TargetPage, error) {
	if l.calls++; l.calls == l.at {
		return l.before, nil
	}
	page, err := l.TargetSource.Page(ctx, dc, token)
	l.before = page
	return page, err
}

// Guards against a second copy of a page, late on a connection that is in use again, which is
// taken for the page that was asked for: the targets of that page would be removed.
func TestRepeatedPageRemovesNoTargets(t *testing.T) {
	list := &fakeList{targets: map[string]int{"a": 3, "b": 3}}
	for _, byDataCentre := range []bool{false, true} {
		for at := 2; at <= 6; at++ {
			r := newListReader(&repeatingList{TargetSource: list, at: at}, 0, logging.Discard())
			var got *targetList
			if byDataCentre {
				got = &targetList{dataCentres: map[string]bool{}}
				for _, dc := range []string{"a", "b"} { // one after the other, on one connection
					part := r.readPart(t.Context(), dc)
					got.targets = append(got.targets, part.targets...)
					got.dataCentres[dc] = part.err == nil
				}
			} else {
				got, _ = r.readWhole(t.Context(), nil)
			}
			listed := map[string]bool{}
			for _, target := range got.targets {
				listed[target.Id] = true
			}
			for _, dc := range []string{"a", "b"} {
				for i := range 3 {
					if id := fmt.Sprint(dc, i); got.covers(dc) && !listed[id] {
						t.Errorf("by data centre: %v, request %d repeats a page: target %s would be removed", byDataCentre, at, id)
					}
				}
			}
		}
	}
}

// endlessPages is a list whose pages never end. Each has the given number of targets and
// of data centres without targets.
type endlessPages struct {
	targets, unread int
	kept            atomic.Int64 // of all pages
}

func (l *endlessPages) Page(_ context.Context, dc, _ string) (*TargetPage, error) {
	page := &TargetPage{Next: "next", Unread: make([]string, l.unread)}
	for range l.targets {
		page.Targets = append(page.Targets, &fescuepb.Target{Id: "a", DataCentre: dc})
	}
	l.kept.Add(int64(l.targets + l.unread))
	return page, nil
}

// Guards against a list whose pages never end and that is kept in memory for 1000 pages
// of each data centre.
func TestListOfTooManyTargetsIsRefused(t *testing.T) {
	for _, byDataCentre := range []bool{false, true} {
		for _, list := range []*endlessPages{{targets: 1000}, {unread: 1000}} {
			r := newListReader(list, 0, logging.Discard())
			r.byDataCentre = byDataCentre
			for range 2 { // the second reading starts anew
				list.kept.Store(0)
				_, err := r.read(t.Context(), listedNames)
				if errkind.Of(err) != errkind.BadRequest {
					t.Errorf("by data centre: %v: error %v, want one of kind %s", byDataCentre, err, errkind.BadRequest)
				}
				if got := list.kept.Load(); got < maxListedTargets || got > maxListedTargets+10_000 {
					t.Errorf("by data centre: %v: %d entries were read, limit %d", byDataCentre, got, maxListedTargets)
				}
			}
		}
	}
}
