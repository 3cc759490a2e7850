package entry

import (
	"context"
	"errors"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/ring"
	"github.com/fescuejunction/fescuejunction/internal/version/quarantine"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
)

// Guards against a report for each request in flight at a crash or answered after one,
// against a crash that is reported late, and against evidence that is lost when the
// first control replica that is asked fails.
func TestSuspectReports(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	sent := make(chan *fescuepb.SuspectsChange, 10)
	failed := false
	r := &suspectReporter{
		instance: "e1", events: ring.New[quarantine.Event](4), log: logrus.NewEntry(log), dropped: tally.NoopScope.Counter("x"),
		send: func(_ context.Context, c *fescuepb.SuspectsChange) error {
			if !failed {
				failed = true
				return errors.New("no leader")
			}
			sent <- c
			return nil
		},
	}
	for _, ev := range []quarantine.Event{
		{Fingerprint: 1, Crash: "t/1"}, {Fingerprint: 2, Crash: "t/1"}, {Fingerprint: 3, Answered: true}, {Fingerprint: 4, Claim: true},
		{Fingerprint: 5, Crash: "u/1"}, // beyond the capacity
	} {
		r.report(ev)
	}
	done := make(chan struct{})
	go func() { r.run(ctx); close(done) }()
	id := func(f quarantine.Fingerprint) string { return f.String() }
	want := &fescuepb.SuspectsChange{
		Instance: "e1", Cleared: []string{id(3)}, Claims: []string{id(4)},
		Crashes: []*fescuepb.TargetCrash{{Target: "t/1", Suspects: []string{id(1), id(2)}}},
	}
	select {
	case got := <-sent:
		if !proto.Equal(got, want) {
			t.Errorf("reported %v, want %v", got, want)
		}
	case <-time.After(5 * time.Second):
		t.Error("the evidence was not reported again")
	}
	r.report(quarantine.Event{Fingerprint: 6, Answered: true})
	start := time.Now()
	time.AfterFunc(50*time.Millisecond, func() { r.report(quarantine.Event{Fingerprint: 7, Answered: true}) })
	if got := <-sent; !slices.Equal(got.Cleared, []string{id(6), id(7)}) {
		t.Errorf("cleared %v in one report, want both answers", got.Cleared)
	}
	r.report(quarantine.Event{Fingerprint: 6, Answered: true})
	r.report(quarantine.Event{Fingerprint: 8, Crash: "u/1"})
	waited := time.Now()
	if got := <-sent; len(got.Crashes) != 1 || len(got.Cleared) != 1 || time.Since(waited) >= answeredBatchDelay {
		t.Errorf("a crash waited %v behind an answer: %v", time.Since(waited), got)
	}
	if time.Since(start) < answeredBatchDelay {
		t.Error("answers were reported without waiting for further ones")
	}
	cancel()
	<-done
}

// Guards against evidence that is lost while control is away for longer, and against
// an answer or a crash that is reported in the wrong order afterwards.
func TestSuspectsAreReportedWhenControlIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		ctx, cancel := context.WithCancel(context.Background())
		back := time.Now().Add(time.Minute)
		var got []*fescuepb.SuspectsChange
		r := &suspectReporter{
			instance: "e1", events: ring.New[quarantine.Event](8), log: logrus.NewEntry(log), dropped: tally.NoopScope.Counter("x"),
			send: func(_ context.Context, c *fescuepb.SuspectsChange) error {
				if time.Now().Before(back) {
					return errors.New("no leader")
				}
				got = append(got, c)
				return nil
			},
		}
		go r.run(ctx)
		for _, ev := range []quarantine.Event{
			{Fingerprint: 1, Crash: "t/1"}, {Fingerprint: 2, Crash: "t/1"}, {Fingerprint: 1, Crash: "u/1"}, {Fingerprint: 2, Answered: true},
			{Fingerprint: 3, Answered: true}, {Fingerprint: 3, Crash: "u/1"}, {Fingerprint: 1, Crash: "u/1"},
		} {
			r.report(ev)
			time.Sleep(5 * time.Second)
		}
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
		id := func(f quarantine.Fingerprint) string { return f.String() }
		want := &fescuepb.SuspectsChange{
			Instance: "e1", Cleared: []string{id(2), id(3)},
			Crashes: []*fescuepb.TargetCrash{{Target: "t/1", Suspects: []string{id(1)}}, {Target: "u/1", Suspects: []string{id(3), id(1)}}},
		}
		if len(got) != 1 || !proto.Equal(got[0], want) {
			t.Errorf("reported %v, want %v", got, want)
		}
	})
}
