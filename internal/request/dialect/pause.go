package dialect

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxPause is the longest pause that an entry grants a target. It is the longest
// timeout that a route may have: a target that answers nothing for longer serves
// no request, and one faulty value must not take it out for good.
const MaxPause = 10 * time.Minute

// Pause is a target's statement that it wants no requests for a while.
type Pause struct {
	For   time.Duration // 0: no pause
	Fault PauseFault    // "" if the statement is absent or valid
}

// PauseFault is the reason why the statement of a pause was not taken as it is.
type PauseFault string

// The faults of the statement of a pause. After PauseTooLong the pause has the
// length MaxPause, after any other fault there is no pause.
const (
	PauseTooLong  PauseFault = "too_long"
	PauseNegative PauseFault = "negative"
	// PauseDate is a point in time. It depends on the time of day of two
	// machines, which no decision of an entry relies on.
	PauseDate       PauseFault = "date"
	PauseNotANumber PauseFault = "not_a_number"
)

// ParsePause parses the values of the header that states a pause as decimal
// numbers of units. If there are several, the longest valid one counts.
func ParsePause(values []string, unit time.Duration) Pause {
	var longest Pause
	for _, text := range values {
		p := parsePause(strings.TrimSpace(text), unit)
		if p.For > longest.For || longest == (Pause{}) {
			longest = p
		}
	}
	return longest
}

func parsePause(text string, unit time.Duration) Pause {
	digits, negative := strings.CutPrefix(text, "-")
	switch {
	case !isDecimal(digits) && isDate(text):
		return Pause{Fault: PauseDate}
	case !isDecimal(digits):
		return Pause{Fault: PauseNotANumber}
	}
	// The only possible error is a number out of range, which ParseFloat
	// returns as infinite.
	n, _ := strconv.ParseFloat(digits, 64)
	switch length := n * float64(unit); {
	case negative && n > 0:
		return Pause{Fault: PauseNegative}
	case length > float64(MaxPause):
		return Pause{For: MaxPause, Fault: PauseTooLong}
	default:
		return Pause{For: time.Duration(length)}
	}
}

// isDecimal reports whether text is a number of digits with at most one decimal
// point. strconv.ParseFloat alone would also accept "inf" and "0x1p4".
func isDecimal(text string) bool {
	whole, fraction, _ := strings.Cut(text, ".")
	return whole != "" && strings.Trim(whole+fraction, "0123456789") == ""
}

// isDate reports whether text is a date as HTTP allows it in place of seconds.
func isDate(text string) bool {
	_, err := http.ParseTime(text)
	return err == nil
}
