package operator

import (
	"fmt"
	"io"
	"strings"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/version/snapshot"
	"github.com/integrii/flaggy"
)

// explainCmd shows which dispatcher a request would be sent to, and why. A place
// is a data centre in which the service runs.
type explainCmd struct {
	service, method, path, shift, client, dc string
}

func (c *explainCmd) define() *flaggy.Subcommand {
	c.method, c.path = "GET", "/"
	s := newSubcommand("explain", "Shows where a request would be sent under the current document and status, and why.",
		"fescuectl --config ctl.yaml explain --service rota --method POST --path /swaps --shift coast --data-centre kochi-1")
	s.String(&c.service, "", "service", "Service of the request.")
	s.String(&c.method, "", "method", "HTTP method.")
	s.String(&c.path, "", "path", "Path of the request at the service.")
	s.String(&c.shift, "", "shift", "Shift of the request.")
	s.String(&c.client, "", "client", "Address of the caller; only the entries map it to a data centre.")
	s.String(&c.dc, "", "data-centre", "Data centre that the caller reaches.")
	return s
}

func (c *explainCmd) run(e *env) error {
	if c.service == "" || c.dc == "" {
		return exitErrorf(ExitUsage, "set --service and --data-centre")
	}
	cl, err := e.connect()
	if err != nil {
		return err
	}
	doc, err := cl.sections("")
	if err != nil {
		return err
	}
	st, err := callWithFailover(cl, fescuepb.OperatorClient.Status, &fescuepb.StatusRequest{})
	if err != nil {
		return err
	}
	ex, err := c.explain(doc, st)
	if err != nil {
		return err
	}
	e.print(ex, ex.write)
	return nil
}

// explanation is the JSON output of explain.
type explanation struct {
	Version    uint64      `json:"version"`
	Service    string      `json:"service"`
	Team       string      `json:"team,omitempty"`
	Route      string      `json:"route,omitempty"`
	Class      string      `json:"class,omitempty"`
	Safe       bool        `json:"safe"`
	Once       bool        `json:"once"`
	Shift      string      `json:"shift,omitempty"`
	Cap        int         `json:"cap,omitempty"`
	Rejected   string      `json:"rejected,omitempty"` // why the request would be rejected
	Places     []placeView `json:"places"`             // in order of preference
	Dispatcher string      `json:"dispatcher,omitempty"`
	DataCentre string      `json:"data_centre,omitempty"`
	Notes      []string    `json:"notes,omitempty"`
}

// placeView is the JSON representation of a data centre in which the service
// runs.
type placeView struct {
	DataCentre string   `json:"data_centre"`
	Distance   string   `json:"distance"`
	Drained    bool     `json:"drained"`
	Entries    []string `json:"entries"`            // live entries in the order of preference as dispatchers
	Unusable   []string `json:"unusable,omitempty"` // entries that cannot dispatch, with the reason
	Verdict    string   `json:"verdict"`
}

// usable reports whether requests of the service can be dispatched here.
func (p placeView) usable() bool { return !p.Drained && len(p.Entries) > 0 }

// explain evaluates the request against the document and the status.
func (c *explainCmd) explain(doc *fescuepb.GetReply, st *fescuepb.StatusReply) (*explanation, error) {
	var members []*fescuepb.Member
	alive := map[string]bool{}
	for _, i := range st.Instances {
		members = append(members, i.Member)
		alive[i.Member.GetInstance()] = i.Alive
	}
	snap, err := snapshot.Build(doc.Version, doc.Sections, members, nil)
	if err != nil {
		return nil, err
	}
	ex := &explanation{Version: doc.Version, Service: c.service, Shift: c.shift}
	ex.Rejected = c.match(snap, ex)
	if ex.Rejected == "" {
		c.listPlaces(snap, alive, ex)
	}
	c.addNotes(snap, st, ex)
	return ex, nil
}

// match looks up the service, the route and the shift of the request and records
// them in ex. It returns why the request would be rejected, or "".
func (c *explainCmd) match(snap *snapshot.Snapshot, ex *explanation) string {
	svc := snap.Services[c.service]
	if svc == nil {
		return fmt.Sprintf("service %q is in no section", c.service)
	}
	ex.Team = svc.Team
	route := svc.Route(c.method, c.path)
	if route == nil {
		return fmt.Sprintf("no route of %q matches %s %s", c.service, c.method, c.path)
	}
	ex.Route, ex.Class, ex.Safe, ex.Once = route.Prefix, string(route.Class), route.Safe, route.AtMostOnce
	if snap.Region(c.dc) == "" {
		return fmt.Sprintf("data centre %q is not in the document", c.dc)
	}
	if c.shift == "" {
		return "a request must name its shift"
	}
	sh, ok := snap.Shifts[c.shift]
	if !ok {
		return fmt.Sprintf("shift %q is in no section", c.shift)
	}
	ex.Cap = sh.Cap
	if sh.Cap == 0 {
		return fmt.Sprintf("the cap of shift %q is 0", c.shift)
	}
	return ""
}

// listPlaces lists the data centres of the service in order of preference: the
// caller's own, the others of the caller's region, then those of other regions.
func (c *explainCmd) listPlaces(snap *snapshot.Snapshot, alive map[string]bool, ex *explanation) {
	svc := snap.Services[c.service]
	callerRegion := snap.Region(c.dc)
	var sameDC, sameRegion, otherRegions []placeView
	for _, dc := range svc.DataCentres {
		p := c.newPlaceView(snap, alive, dc)
		switch {
		case dc == c.dc:
			p.Distance = "same data centre"
			sameDC = append(sameDC, p)
		case snap.Region(dc) == callerRegion:
			p.Distance = "same region"
			sameRegion = append(sameRegion, p)
		default:
			p.Distance = "region " + snap.Region(dc) + c.describeLink(snap, callerRegion, snap.Region(dc))
			otherRegions = append(otherRegions, p)
		}
	}
	ex.Places = append(append(sameDC, sameRegion...), otherRegions...)
	for i := range ex.Places {
		c.setVerdict(&ex.Places[i], ex)
	}
	if ex.Dispatcher == "" {
		ex.Rejected = "every place of the service is drained or has no live entry"
	}
}

// setVerdict sets the verdict on the place. The first usable place becomes the
// destination of the request in ex.
func (c *explainCmd) setVerdict(p *placeView, ex *explanation) {
	switch {
	case p.Drained:
		p.Verdict = "drained by the document"
	case len(p.Entries) == 0:
		p.Verdict = "no live entry can dispatch"
	case ex.Dispatcher != "":
		p.Verdict = "spillover, if earlier places reject the request"
	default:
		p.Verdict = "first choice"
		ex.Dispatcher, ex.DataCentre = p.Entries[0], p.DataCentre
	}
}

// newPlaceView classifies the entries of a data centre.
func (c *explainCmd) newPlaceView(snap *snapshot.Snapshot, alive map[string]bool, dc string) placeView {
	p := placeView{DataCentre: dc, Drained: snap.ServiceDrained(c.service, dc)}
	canDispatch := map[string]bool{}
	for _, m := range snap.DispatchOrder(c.service, dc) {
		canDispatch[m.Instance] = true
		if alive[m.Instance] {
			p.Entries = append(p.Entries, m.Instance)
		} else {
			p.Unusable = append(p.Unusable, m.Instance+" (not heard)")
		}
	}
	for _, m := range snap.Entries(dc) {
		switch {
		case canDispatch[m.Instance]:
		case m.Leaving:
			p.Unusable = append(p.Unusable, m.Instance+" (leaving)")
		default:
			p.Unusable = append(p.Unusable, m.Instance+" (drained)")
		}
	}
	return p
}

// describeLink describes the link between two regions, if the document has one.
func (c *explainCmd) describeLink(snap *snapshot.Snapshot, from, to string) string {
	for _, l := range snap.Links {
		if l.From == from && l.To == to {
			return fmt.Sprintf(", link of %d bytes/s", l.BytesPerSecond)
		}
	}
	return ", no link in the document"
}

// addNotes records the circumstances that may change the result.
func (c *explainCmd) addNotes(snap *snapshot.Snapshot, st *fescuepb.StatusReply, ex *explanation) {
	for _, p := range pendingCaps(st) {
		if p.Shift == c.shift {
			ex.Notes = append(ex.Notes, "pending cap: "+p.String())
		}
	}
	for _, d := range snap.Drains() {
		if d.Target != "" && (d.Service == "" || d.Service == c.service) {
			ex.Notes = append(ex.Notes, "drained by the document: target "+d.Target)
		}
	}
	if lagging := laggingInstances(st, snap.Version); len(lagging) > 0 {
		ex.Notes = append(ex.Notes, "not yet at this version: "+strings.Join(lagging, ", "))
	}
	if c.client != "" {
		ex.Notes = append(ex.Notes, fmt.Sprintf("client %s is assumed to reach %s; entries look up the data centre of a client in the block table", c.client, c.dc))
	}
	ex.Notes = append(ex.Notes, "an entry that already dispatches the service keeps doing so, even if it is not first in the order")
	ex.Notes = append(ex.Notes, "only the dispatchers know queues, load and free slots, which may change the choice")
}

func (ex *explanation) write(w io.Writer) {
	fmt.Fprintf(w, "version %d, service %s", ex.Version, ex.Service)
	if ex.Team != "" {
		fmt.Fprintf(w, " of team %s", ex.Team)
	}
	fmt.Fprintln(w)
	if ex.Route != "" {
		fmt.Fprintf(w, "route %s: class %s, may be hedged %t, at most once %t\n", ex.Route, ex.Class, ex.Safe, ex.Once)
	}
	if ex.Cap > 0 {
		fmt.Fprintf(w, "shift %s: cap %d requests in flight\n", ex.Shift, ex.Cap)
	}
	for i, p := range ex.Places {
		fmt.Fprintf(w, "%d. %s (%s): %s", i+1, p.DataCentre, p.Distance, p.Verdict)
		if p.usable() {
			fmt.Fprintf(w, "; entries in order: %s", strings.Join(p.Entries, ", "))
		}
		if len(p.Unusable) > 0 {
			fmt.Fprintf(w, "; not usable: %s", strings.Join(p.Unusable, ", "))
		}
		fmt.Fprintln(w)
	}
	if ex.Rejected != "" {
		fmt.Fprintln(w, "rejected:", ex.Rejected)
	} else {
		fmt.Fprintf(w, "goes to dispatcher %s in %s\n", ex.Dispatcher, ex.DataCentre)
	}
	for _, n := range ex.Notes {
		fmt.Fprintln(w, "note:", n)
	}
}
