package operator

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
	"github.com/fescuejunction/fescuejunction/internal/version/quarantine"
	"github.com/integrii/flaggy"
)

// statusCmd shows the instances with the version in force at each, the pending
// caps and the control replicas.
type statusCmd struct {
	region, dataCentre string // show only the instances there; "" shows all
	all                bool   // list each instance, however many there are
}

func (c *statusCmd) define() *flaggy.Subcommand {
	s := newSubcommand("status", "Shows instances, versions in force, pending caps, replicas and requests that crash targets.",
		"fescuectl --config ctl.yaml status --output json\n"+
			"  fescuectl --config ctl.yaml status --region malabar\n"+
			"  fescuectl --config ctl.yaml status --data-centre kochi-1 --all")
	s.String(&c.region, "", "region", "Show only the instances of a region.")
	s.String(&c.dataCentre, "", "data-centre", "Show only the instances of a data centre.")
	s.Bool(&c.all, "", "all", fmt.Sprintf("List each instance, also if there are more than %d.", maxListedInstances))
	return s
}

// filter keeps the instances of the region and of the data centre that were asked for. It
// returns an error if there are none, since a misspelt name would look like an empty place.
func (c *statusCmd) filter(v *statusView) error {
	if c.region == "" && c.dataCentre == "" {
		return nil
	}
	v.Instances = slices.DeleteFunc(v.Instances, func(i instanceView) bool {
		return c.region != "" && i.Region != c.region || c.dataCentre != "" && i.DataCentre != c.dataCentre
	})
	if len(v.Instances) == 0 {
		return exitErrorf(ExitUsage, "no instance is known with region %q and data centre %q", c.region, c.dataCentre)
	}
	return nil
}

// instanceView is the JSON representation of an instance.
type instanceView struct {
	Instance    string `json:"instance"`
	Region      string `json:"region"`
	DataCentre  string `json:"data_centre"`
	Role        string `json:"role"`
	Alive       bool   `json:"alive"`
	Leaving     bool   `json:"leaving"`
	Drained     bool   `json:"drained"` // the document drains the instance
	InForce     uint64 `json:"version_in_force"`
	LastHeardMs *int64 `json:"last_heard_ms"` // null if it was never heard from
	GRPCAddr    string `json:"grpc_addr"`
	CallerAddr  string `json:"caller_addr,omitempty"`
}

// replicaView is the JSON representation of a control replica.
type replicaView struct {
	ID         string `json:"id"`
	Addr       string `json:"addr"`
	Voter      bool   `json:"voter"`
	MatchIndex uint64 `json:"match_index"`
}

// statusView is the JSON output of status.
type statusView struct {
	Version        uint64         `json:"version"`
	Counter        uint64         `json:"counter"`
	Leader         string         `json:"leader"`
	Term           uint64         `json:"term"`
	Instances      []instanceView `json:"instances"`
	LeaderAnswered bool           `json:"leader_answered"` // if false, pending caps and match indexes are unknown
	Pending        []pendingCap   `json:"pending_caps"`
	Replicas       []replicaView  `json:"replicas"`
	Suspects       []suspectView  `json:"suspects"`

	listAll bool // the text output lists each instance
}

func roleName(r fescuepb.Role) string {
	switch r {
	case fescuepb.Role_ROLE_ENTRY:
		return "entry"
	case fescuepb.Role_ROLE_CONTROL:
		return "control"
	}
	return "unknown"
}

func newStatusView(st *fescuepb.StatusReply) statusView {
	v := statusView{Version: st.Version, Counter: st.Counter, Leader: st.Leader, Term: st.Term, LeaderAnswered: st.LeaderAnswered, Pending: pendingCaps(st)}
	for _, i := range st.Instances {
		m := i.Member
		v.Instances = append(v.Instances, instanceView{
			Instance: m.GetInstance(), Region: m.GetRegion(), DataCentre: m.GetDataCentre(), Role: roleName(m.GetRole()),
			Alive: i.Alive, Leaving: m.GetLeaving(), InForce: i.VersionInForce, LastHeardMs: lastHeard(i),
			GRPCAddr: m.GetGrpcAddr(), CallerAddr: m.GetCallerAddr(),
		})
	}
	for _, r := range st.Replicas {
		v.Replicas = append(v.Replicas, replicaView{ID: r.Id, Addr: r.Addr, Voter: r.Voter, MatchIndex: r.MatchIndex})
	}
	for _, s := range st.Suspects {
		v.Suspects = append(v.Suspects, suspectView{s.Id, s.Crashes, quarantine.Quarantined(s), s.Trials, s.TrialDue, s.ExplainedBy})
	}
	return v
}

// lastHeard returns the age of the last report in milliseconds, or nil if the
// instance never reported.
func lastHeard(instance *fescuepb.InstanceStatus) *int64 {
	if instance.LastHeardMs < 0 {
		return nil
	}
	return &instance.LastHeardMs
}

func (c *statusCmd) run(e *env) error {
	cl, err := e.connect()
	if err != nil {
		return err
	}
	st, err := callWithFailover(cl, fescuepb.OperatorClient.Status, &fescuepb.StatusRequest{})
	if err != nil {
		return err
	}
	doc, err := cl.sections("")
	if err != nil {
		return err
	}
	v := newStatusView(st)
	v.markDrained(doc)
	if err := c.filter(&v); err != nil {
		return err
	}
	v.listAll = c.all || len(v.Instances) <= maxListedInstances
	e.print(v, v.write)
	return nil
}

// markDrained marks the instances that the document drains.
func (v *statusView) markDrained(doc *fescuepb.GetReply) {
	drained := map[string]bool{}
	for _, s := range doc.Sections {
		src, problems := document.Parse(s.Team, s.Yaml)
		if len(problems) > 0 {
			continue // the section uses a format that only newer control replicas know
		}
		for _, d := range src.Section.Drains {
			drained[d.Instance] = true
		}
	}
	for i := range v.Instances {
		v.Instances[i].Drained = drained[v.Instances[i].Instance]
	}
}

func (v statusView) write(w io.Writer) {
	fmt.Fprintf(w, "version %d, counter %d, leader %s in term %d\n\n", v.Version, v.Counter, v.Leader, v.Term)
	listed := v.Instances
	if !v.listAll {
		v.writeDataCentres(w)
		listed = v.differing()
		fmt.Fprintf(w, "\n%d of %d instances differ from the others (--all lists each one)\n", len(listed), len(v.Instances))
	}
	if len(listed) > 0 {
		writeInstances(w, listed)
	}
	fmt.Fprintln(w)
	if !v.LeaderAnswered {
		fmt.Fprintln(w, "the leader did not answer: pending caps and replica indexes are not known")
	}
	for _, p := range v.Pending {
		fmt.Fprintln(w, "pending cap:", p)
	}
	for _, r := range v.Replicas {
		kind := "learner"
		if r.Voter {
			kind = "voter"
		}
		fmt.Fprintf(w, "replica %s at %s: %s, index %d\n", r.ID, r.Addr, kind, r.MatchIndex)
	}
	for _, s := range v.Suspects {
		s.write(w)
	}
}

func writeInstances(w io.Writer, instances []instanceView) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "INSTANCE\tROLE\tDATA CENTRE\tSTATE\tIN FORCE\tLAST HEARD")
	for _, i := range instances {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", i.Instance, i.Role, i.DataCentre, i.state(), i.inForce(), i.lastHeard())
	}
	t.Flush()
}

func (i instanceView) state() string {
	switch {
	case !i.Alive:
		return "not heard"
	case i.Leaving:
		return "leaving"
	case i.Drained:
		return "drained"
	}
	return "live"
}

func (i instanceView) inForce() string {
	if i.InForce == 0 {
		return "-"
	}
	return fmt.Sprint(i.InForce)
}

func (i instanceView) lastHeard() string {
	if i.LastHeardMs == nil {
		return "never"
	}
	return (time.Duration(*i.LastHeardMs) * time.Millisecond).String() + " ago"
}
