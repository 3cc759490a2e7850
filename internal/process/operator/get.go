package operator

import (
	"fmt"
	"io"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/integrii/flaggy"
)

// defaultHistoryLimit is the number of revisions that history lists by default.
const defaultHistoryLimit = 20

// sectionView is the JSON representation of a section or one of its revisions.
type sectionView struct {
	Team     string `json:"team"`
	Revision uint64 `json:"revision"`
	Author   string `json:"author"`
	ChangeID string `json:"change_id"`
	Accepted string `json:"accepted"` // RFC 3339
	Deleted  bool   `json:"deleted"`
	YAML     string `json:"yaml"`
}

func newSectionView(s *fescuepb.Section) sectionView {
	return sectionView{
		Team: s.Team, Revision: s.Revision, Author: s.Author, ChangeID: s.ChangeId,
		Accepted: time.UnixMilli(s.AcceptedUnixMs).UTC().Format(time.RFC3339),
		Deleted:  s.Deleted, YAML: string(s.Yaml),
	}
}

func newSectionViews(list []*fescuepb.Section) []sectionView {
	out := make([]sectionView, 0, len(list))
	for _, s := range list {
		out = append(out, newSectionView(s))
	}
	return out
}

// summary describes the revision on one line.
func (v sectionView) summary() string {
	state := ""
	if v.Deleted {
		state = ", deleted"
	}
	return fmt.Sprintf("team %s revision %d by %s at %s, change %s%s", v.Team, v.Revision, v.Author, v.Accepted, v.ChangeID, state)
}

// getCmd prints sections with the text that was applied.
type getCmd struct{ all bool }

func (c *getCmd) define() *flaggy.Subcommand {
	s := newSubcommand("get", "Prints the section of --team, or every section.", "fescuectl --config ctl.yaml get --team kerala > kerala.yaml")
	s.Bool(&c.all, "", "all", "Print every section even if a team is set.")
	return s
}

func (c *getCmd) run(e *env) error {
	cl, err := e.connect()
	if err != nil {
		return err
	}
	team := e.Team
	if c.all {
		team = ""
	}
	reply, err := cl.sections(team)
	if err != nil {
		return err
	}
	if team != "" && len(reply.Sections) == 0 {
		return exitErrorf(ExitInvalid, "team %q has no section", e.Team)
	}
	views := newSectionViews(reply.Sections)
	e.print(map[string]any{"version": reply.Version, "sections": views}, func(w io.Writer) {
		for _, v := range views {
			fmt.Fprintf(w, "# %s\n%s", v.summary(), v.YAML)
			if len(views) > 1 {
				fmt.Fprintln(w, "---")
			}
		}
	})
	return nil
}

// historyCmd lists the revisions of a section.
type historyCmd struct {
	limit uint32
	yaml  bool
}

func (c *historyCmd) define() *flaggy.Subcommand {
	c.limit = defaultHistoryLimit
	s := newSubcommand("history", "Lists the revisions of the section of --team.", "fescuectl --config ctl.yaml history --team kerala --limit 5")
	s.UInt32(&c.limit, "", "limit", "Number of revisions.")
	s.Bool(&c.yaml, "", "yaml", "Also print the text of each revision.")
	return s
}

func (c *historyCmd) run(e *env) error {
	if err := e.requireTeam(); err != nil {
		return err
	}
	cl, err := e.connect()
	if err != nil {
		return err
	}
	reply, err := callWithFailover(cl, fescuepb.OperatorClient.History, &fescuepb.HistoryRequest{Team: e.Team, Limit: c.limit})
	if err != nil {
		return err
	}
	views := newSectionViews(reply.Revisions)
	e.print(map[string]any{"revisions": views}, func(w io.Writer) {
		for _, v := range views {
			fmt.Fprintln(w, v.summary())
			if c.yaml {
				fmt.Fprint(w, v.YAML)
			}
		}
	})
	return nil
}
