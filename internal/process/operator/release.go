package operator

import (
	"fmt"
	"io"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/integrii/flaggy"
)

// releaseCmd ends the quarantine of a request under which targets crashed.
type releaseCmd struct{ fingerprint string }

func (c *releaseCmd) define() *flaggy.Subcommand {
	s := newSubcommand("release", "Ends the quarantine of a request under which targets crashed (team platform only).",
		"fescuectl --config platform.yaml release --fingerprint 0bd566bc6f249fb6")
	s.String(&c.fingerprint, "", "fingerprint", "Fingerprint of the request, as in status and in the logs.")
	return s
}

func (c *releaseCmd) run(e *env) error {
	if c.fingerprint == "" {
		return exitErrorf(ExitUsage, "set --fingerprint")
	}
	cl, err := e.connect()
	if err != nil {
		return err
	}
	reply, err := callWithFailover(cl, fescuepb.OperatorClient.Release, &fescuepb.ReleaseRequest{Suspect: c.fingerprint})
	if err != nil {
		return err
	}
	e.print(map[string]any{"fingerprint": c.fingerprint, "version": reply.Version}, func(w io.Writer) {
		fmt.Fprintf(w, "request %s is not quarantined any more from version %d\n", c.fingerprint, reply.Version)
	})
	return nil
}

// suspectView is the JSON representation of a request that may crash targets.
type suspectView struct {
	Fingerprint string   `json:"fingerprint"`
	Crashes     []string `json:"crashes"` // processes of targets
	Quarantined bool     `json:"quarantined"`
	Trials      uint32   `json:"trials"`
	TrialDue    bool     `json:"trial_due"`
	ExplainedBy string   `json:"explained_by,omitempty"` // suspect that was there at all these crashes and at more
}

func (s suspectView) write(w io.Writer) {
	state := "suspect"
	if s.Quarantined {
		state = "quarantined"
	}
	fmt.Fprintf(w, "%s request %s: %d targets crashed, %d trials\n", state, s.Fingerprint, len(s.Crashes), s.Trials)
}
