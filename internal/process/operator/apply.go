package operator

import (
	"crypto/rand"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/integrii/flaggy"
)

const (
	defaultWaitLimit = 10 * time.Second
	pollInterval     = 100 * time.Millisecond
	// reconnectGrace is how long --wait counts an entry without a report as missing
	// while a control replica does not report. The entry may have been connected to
	// that replica; it then reconnects to another one within 1.5 s and acknowledges
	// the version there.
	reconnectGrace = 3 * time.Second
)

// applyOptions are the flags of every command that changes a section.
type applyOptions struct {
	expectedRevision string
	changeID         string
	wait             bool
	waitLimit        time.Duration
}

func (o *applyOptions) define(s *flaggy.Subcommand) {
	o.waitLimit = defaultWaitLimit
	s.String(&o.expectedRevision, "", "expect-revision", "Revision that the change is based on; the current one if absent.")
	s.String(&o.changeID, "", "change-id", "Identifier of the change; repeat it to send a change again.")
	s.Bool(&o.wait, "", "wait", "Wait until the change is in force at all live instances.")
	s.Duration(&o.waitLimit, "", "wait-limit", "Time limit of --wait.")
}

// applyCmd replaces or deletes a section.
type applyCmd struct {
	applyOptions
	file   string
	delete bool
}

func (c *applyCmd) define() *flaggy.Subcommand {
	s := newSubcommand("apply", "Replaces the team's section with a file.",
		"fescuectl --config ctl.yaml apply kerala.yaml --expect-revision 7 --wait --wait-limit 5s")
	s.AddPositionalValue(&c.file, "file", 1, false, "File with the section.")
	s.Bool(&c.delete, "", "delete", "Delete the section of --team instead.")
	c.applyOptions.define(s)
	return s
}

func (c *applyCmd) run(e *env) error {
	if c.delete == (c.file != "") {
		return exitErrorf(ExitUsage, "give either a file or --delete")
	}
	req := &fescuepb.ApplyRequest{Team: e.Team, Delete: c.delete}
	if c.delete {
		if err := e.requireTeam(); err != nil {
			return err
		}
	} else {
		local, err := readSections([]string{c.file})
		if err != nil {
			return err
		}
		if e.Team != "" && e.Team != local[0].team() {
			return exitErrorf(ExitUsage, "%s is the section of team %q, not of %q", c.file, local[0].team(), e.Team)
		}
		req.Team, req.Yaml = local[0].team(), local[0].data
	}
	return c.applyOptions.apply(e, req, nil)
}

// applyResult is the JSON output of a command that changes a section.
type applyResult struct {
	Team     string       `json:"team"`
	Revision uint64       `json:"revision"`
	Version  uint64       `json:"version"`
	ChangeID string       `json:"change_id"`
	Repeated bool         `json:"repeated"` // the change had already been applied
	InForce  bool         `json:"in_force"` // at all live instances; false without --wait
	Waited   bool         `json:"waited"`
	Missing  []string     `json:"missing,omitempty"` // instances that do not act on the version yet
	Pending  []pendingCap `json:"pending_caps,omitempty"`
	Error    string       `json:"error,omitempty"`
	ExitCode int          `json:"exit_code"`
}

// apply sends the change and reports its result. base is the section that the
// change is based on; if it is nil, the server's current revision is used.
func (o *applyOptions) apply(e *env, req *fescuepb.ApplyRequest, base *fescuepb.Section) error {
	cl, err := e.connect()
	if err != nil {
		return err
	}
	if err := o.completeRequest(cl, req, base); err != nil {
		return err
	}
	// Printed before the call, so that the operator can repeat the change if the
	// reply is lost.
	fmt.Fprintf(e.stderr, "change id %s, expected revision %d\n", req.ChangeId, req.ExpectedRevision)
	reply, err := callWithFailover(cl, fescuepb.OperatorClient.Apply, req)
	if exitCode(err) == ExitUnreachable {
		return exitErrorf(ExitUnreachable, "%w\nthe outcome is unknown: repeat the command with --change-id %s --expect-revision %d", err, req.ChangeId, req.ExpectedRevision)
	}
	if err != nil {
		return err
	}
	if reply.Conflict != nil {
		return conflictError(req.Team, req.ExpectedRevision, reply.Conflict)
	}
	if len(reply.Problems) > 0 {
		return invalidDocumentError(serverProblems("section:"+req.Team, reply.Problems))
	}
	return o.report(e, cl, req, reply)
}

// completeRequest sets the expected revision and the change identifier.
func (o *applyOptions) completeRequest(cl *client, req *fescuepb.ApplyRequest, base *fescuepb.Section) error {
	req.ChangeId = o.changeID
	if req.ChangeId == "" {
		req.ChangeId = strings.ToLower(rand.Text())
	}
	if o.expectedRevision != "" {
		n, err := strconv.ParseUint(o.expectedRevision, 10, 64)
		if err != nil {
			return exitErrorf(ExitUsage, "--expect-revision %q is not a number", o.expectedRevision)
		}
		req.ExpectedRevision = n
		return nil
	}
	if base == nil {
		var err error
		if base, err = cl.section(req.Team); err != nil {
			return err
		}
	}
	req.ExpectedRevision = base.Revision
	return nil
}

// report waits for the change to be in force if --wait is set, and prints the
// result.
func (o *applyOptions) report(e *env, cl *client, req *fescuepb.ApplyRequest, reply *fescuepb.ApplyReply) error {
	out := &applyResult{Team: req.Team, Revision: reply.Revision, Version: reply.Version, ChangeID: req.ChangeId, Repeated: reply.RepeatedChange}
	var err error
	if o.wait {
		err = o.waitInForce(cl, out)
	}
	if err != nil {
		out.Error, out.ExitCode = err.Error(), exitCode(err)
	}
	if err == nil || e.flags.output == "json" {
		e.print(out, out.write)
	} else {
		out.write(e.stderr)
	}
	if err != nil && e.flags.output == "json" {
		return &exitError{code: out.ExitCode, err: errReported}
	}
	return err
}

func (r *applyResult) write(w io.Writer) {
	verb := "accepted"
	if r.Repeated {
		verb = "had been accepted before"
	}
	fmt.Fprintf(w, "section of team %q %s: revision %d, version %d\n", r.Team, verb, r.Revision, r.Version)
	if r.InForce {
		fmt.Fprintln(w, "in force at all live instances")
	}
	for _, p := range r.Pending {
		fmt.Fprintln(w, "pending cap:", p)
	}
}

// waitInForce polls the status until every live instance acts on the version of
// the change. It returns an error with ExitNotInForce after the wait limit.
func (o *applyOptions) waitInForce(cl *client, out *applyResult) error {
	out.Waited = true
	start := time.Now()
	end := start.Add(o.waitLimit)
	for {
		st, err := callWithFailover(cl, fescuepb.OperatorClient.Status, &fescuepb.StatusRequest{})
		if err != nil {
			return exitErrorf(ExitNotInForce, "accepted as version %d, but the status could not be read: %w", out.Version, err)
		}
		out.Missing, out.Pending = laggingInstances(st, out.Version), pendingCaps(st)
		if time.Since(start) < reconnectGrace {
			out.Missing = append(out.Missing, entriesWithoutReport(st)...)
		}
		if len(out.Missing) == 0 && st.Version >= out.Version {
			out.InForce = true
			return nil
		}
		if time.Now().After(end) {
			return exitErrorf(ExitNotInForce, "version %d is not in force within %s; the status is of version %d; missing: %s",
				out.Version, o.waitLimit, st.Version, strings.Join(out.Missing, ", "))
		}
		time.Sleep(pollInterval)
	}
}

// laggingInstances returns the live instances that act on an older version, sorted
// by name.
func laggingInstances(st *fescuepb.StatusReply, version uint64) []string {
	var out []string
	for _, i := range st.Instances {
		if i.Alive && i.VersionInForce < version {
			out = append(out, i.Member.GetInstance())
		}
	}
	slices.Sort(out)
	return out
}

// entriesWithoutReport returns the entries that no control replica has reports
// from, if a replica is not alive either: they may have been connected to it. If
// all replicas are alive, such entries are down, and it returns none.
func entriesWithoutReport(st *fescuepb.StatusReply) []string {
	var out []string
	replicaSilent := false
	for _, i := range st.Instances {
		switch {
		case i.Alive || i.Member.GetLeaving():
		case i.Member.GetRole() == fescuepb.Role_ROLE_CONTROL:
			replicaSilent = true
		default:
			out = append(out, i.Member.GetInstance())
		}
	}
	if !replicaSilent {
		return nil
	}
	slices.Sort(out)
	return out
}
