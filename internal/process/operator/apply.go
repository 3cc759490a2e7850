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
	// moveTime is how long --wait counts an instance that no replica hears as
	// missing while a replica does not report: the instance may have followed
	// that replica. It moves to another one within 1.5 s and acknowledges there.
	reconnectGrace = 3 * time.Second
)

// applyOptions are the arguments of every command that changes a section.
type applyOptions struct {
	expectedRevision string
	changeID         string
	wait             bool
	waitLimit        time.Duration
}

func (o *applyOptions) define(s *flaggy.Subcommand) {
	o.waitLimit = defaultWaitLimit
	s.String(&o.expectedRevision, "", "expect-revision", "Revision that the change is based on; the present one if absent.")
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
	s := newSubcommand("apply", "Replaces the team's section by a file.",
		"fescuectl --config ctl.yaml apply kerala.yaml --expect-revision 7 --wait --wait-limit 5s")
	s.AddPositionalValue(&c.file, "file", 1, false, "File with the section.")
	s.Bool(&c.delete, "", "delete", "Delete the section of --team instead.")
	c.applyOptions.define(s)
	return s
}

func (c *applyCmd) run(e *env) error {
	if c.delete == (c.file != "") {
		return exitErrorf(ExitUsage, "name a file, or use --delete without one")
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

// outcome is the result of a change.
type applyResult struct {
	Team     string       `json:"team"`
	Revision uint64       `json:"revision"`
	Version  uint64       `json:"version"`
	ChangeID string       `json:"change_id"`
	Repeated bool         `json:"repeated"` // the change had been applied before
	InForce  bool         `json:"in_force"` // only known with --wait
	Waited   bool         `json:"waited"`
	Missing  []string     `json:"missing,omitempty"`
	Pending  []pendingCap `json:"pending_caps,omitempty"`
	Error    string       `json:"error,omitempty"`
	ExitCode int          `json:"exit_code"`
}

// apply sends the change. base is the section that the change was made from,
// or nil to use the revision at the server.
func (o *applyOptions) apply(e *env, req *fescuepb.ApplyRequest, base *fescuepb.Section) error {
	cl, err := e.connect()
	if err != nil {
		return err
	}
	if err := o.completeRequest(cl, req, base); err != nil {
		return err
	}
	// Before sending, so that the change can be repeated if the answer is lost.
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

// complete fills in the expected revision and the change identifier.
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

func (o *applyResult) write(w io.Writer) {
	verb := "accepted"
	if o.Repeated {
		verb = "had been accepted before"
	}
	fmt.Fprintf(w, "section of team %q %s: revision %d, version %d\n", o.Team, verb, o.Revision, o.Version)
	if o.InForce {
		fmt.Fprintln(w, "in force at all live instances")
	}
	for _, p := range o.Pending {
		fmt.Fprintln(w, "pending cap:", p)
	}
}

// await waits until every live instance acts on the version of the change.
func (o *applyOptions) waitInForce(cl *client, out *applyResult) error {
	out.Waited = true
	start := time.Now()
	end := start.Add(o.waitLimit)
	for {
		st, err := callWithFailover(cl, fescuepb.OperatorClient.Status, &fescuepb.StatusRequest{})
		if err != nil {
			return exitErrorf(ExitNotInForce, "accepted as version %d, but the status is not known: %w", out.Version, err)
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

// missing returns the live instances that do not act on the version yet.
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

// unheard returns the entries that no replica hears, if a replica did not
// report its acknowledgements. Otherwise they are not live.
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
