package dialect

import (
	"math"
	"net/http"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a target that is taken out by a value that states no pause, and
// against a fault that is not counted.
func TestParsePause(t *testing.T) {
	for text, want := range map[string]Pause{
		"2": {For: 2 * time.Second}, "0.5": {For: 500 * time.Millisecond}, "0": {}, "-0": {}, "1.": {For: time.Second}, " 3 ": {For: 3 * time.Second},
		"600": {For: MaxPause}, "600.1": {For: MaxPause, Fault: PauseTooLong}, "86400": {For: MaxPause, Fault: PauseTooLong},
		"99999999999999999999999999999999": {For: MaxPause, Fault: PauseTooLong},
		"-1":                               {Fault: PauseNegative}, "-0.001": {Fault: PauseNegative},
		"Fri, 04 Dec 2026 10:00:00 GMT": {Fault: PauseDate}, "Friday, 04-Dec-26 10:00:00 GMT": {Fault: PauseDate},
		"": {Fault: PauseNotANumber}, "soon": {Fault: PauseNotANumber}, "1e3": {Fault: PauseNotANumber}, "0x10": {Fault: PauseNotANumber},
		"inf": {Fault: PauseNotANumber}, "NaN": {Fault: PauseNotANumber}, "+2": {Fault: PauseNotANumber}, "1,5": {Fault: PauseNotANumber},
		"--1": {Fault: PauseNotANumber}, "1.2.3": {Fault: PauseNotANumber}, ".": {Fault: PauseNotANumber}, ".5": {Fault: PauseNotANumber}, "-": {Fault: PauseNotANumber},
	} {
		if got := ParsePause([]string{text}, time.Second); got != want {
			t.Errorf("%q: %+v, want %+v", text, got, want)
		}
	}
	if got := ParsePause([]string{"x", "2", "5", "-9"}, time.Second); got != (Pause{For: 5 * time.Second}) {
		t.Errorf("several values: %+v", got)
	}
	if got := ParsePause(nil, time.Second); got != (Pause{}) {
		t.Errorf("no value: %+v", got)
	}
}

// Guards against a pause that differs from the number in the header.
func TestParsePauseReadsEveryNumber(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := rapid.Int64Range(-math.MaxInt64, math.MaxInt64).Draw(t, "ms")
		want := Pause{For: time.Duration(ms) * time.Millisecond}
		switch {
		case ms < 0:
			want = Pause{Fault: PauseNegative}
		case ms > MaxPause.Milliseconds():
			want = Pause{For: MaxPause, Fault: PauseTooLong}
		}
		if got := ParsePause([]string{strconv.FormatInt(ms, 10)}, time.Millisecond); got != want {
			t.Fatalf("%d ms: %+v, want %+v", ms, got, want)
		}
	})
}

// Guards against a crash and against a pause out of bounds on any value.
func FuzzParsePause(f *testing.F) {
	for _, text := range []string{"2", "-1", "1e400", "99999999999999999999", "0.0000000001", "Fri, 04 Dec 2026 10:00:00 GMT", "nan"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		for _, unit := range []time.Duration{time.Second, time.Millisecond} {
			p := ParsePause([]string{text}, unit)
			if p.For < 0 || p.For > MaxPause || p.Fault != "" && p.For != 0 && p.For != MaxPause {
				t.Errorf("%q: %+v", text, p)
			}
		}
	})
}

// Guards against an announcement of a target that is missed, and against one that
// is read from an answer that makes none.
func TestNativeAnnouncements(t *testing.T) {
	for _, tc := range []struct {
		status int
		header http.Header
		want   Answer
	}{
		{200, http.Header{HeaderLeaving: {"true"}}, Answer{Leaving: true}},
		{500, http.Header{HeaderLeaving: {"true"}}, Answer{Leaving: true}},
		{200, http.Header{HeaderLeaving: {"false"}}, Answer{}},
		{503, http.Header{HeaderPause: {"1500"}, HeaderNotRun: {"true"}}, Answer{NotRun: true, Pause: Pause{For: 1500 * time.Millisecond}}},
		{200, http.Header{HeaderPause: {"1500"}}, Answer{}},
	} {
		if got := (Native{}).Answer(tc.status, tc.header); got != tc.want {
			t.Errorf("%d %v: %+v", tc.status, tc.header, got)
		}
	}
}
