package operator

import (
	"fmt"
	"strings"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// pendingCap is a lowered cap that does not hold everywhere yet: an instance has
// not acknowledged it, or requests admitted under the old cap are in flight.
type pendingCap struct {
	Shift   string   `json:"shift"`
	OldCap  uint64   `json:"old_cap"`
	NewCap  uint64   `json:"new_cap"`
	Missing []string `json:"missing"` // instances that have not acknowledged
}

// String describes the pending cap and what it waits for on one line.
func (p pendingCap) String() string {
	waitingFor := "every holder has acknowledged, requests in flight must finish"
	if len(p.Missing) > 0 {
		waitingFor = "not acknowledged by " + strings.Join(p.Missing, ", ")
	}
	return fmt.Sprintf("shift %s from %d to %d: %s", p.Shift, p.OldCap, p.NewCap, waitingFor)
}

// pendingCaps returns the pending caps of a status reply, never nil.
func pendingCaps(st *fescuepb.StatusReply) []pendingCap {
	out := []pendingCap{}
	for _, p := range st.PendingCaps {
		out = append(out, pendingCap{p.Shift, p.OldCap, p.NewCap, append([]string{}, p.Missing...)})
	}
	return out
}
