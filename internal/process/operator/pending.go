package operator

import (
	"fmt"
	"strings"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// pendingCap is a lowered cap that is not in force everywhere.
type pendingCap struct {
	Shift   string   `json:"shift"`
	OldCap  uint64   `json:"old_cap"`
	NewCap  uint64   `json:"new_cap"`
	Missing []string `json:"missing"` // instances that have not acknowledged
}

// String describes the cap on one line.
func (p pendingCap) String() string {
	waitingFor := "every holder has acknowledged, requests in flight must end"
	if len(p.Missing) > 0 {
		waitingFor = "not acknowledged by " + strings.Join(p.Missing, ", ")
	}
	return fmt.Sprintf("shift %s from %d to %d: %s", p.Shift, p.OldCap, p.NewCap, waitingFor)
}

func pendingCaps(st *fescuepb.StatusReply) []pendingCap {
	out := []pendingCap{}
	for _, p := range st.PendingCaps {
		out = append(out, pendingCap{p.Shift, p.OldCap, p.NewCap, append([]string{}, p.Missing...)})
	}
	return out
}
