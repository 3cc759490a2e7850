package operator

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// maxListedInstances is the number of instances up to which status lists each one. Of
// more, it shows one line for each data centre and the instances that differ.
const maxListedInstances = 40

// staleReport is the age of the last report from which an instance differs from the
// others. Instances report twice a second.
const staleReport = 3 * time.Second

// dataCentreView is the state of the instances of a data centre.
type dataCentreView struct {
	region, dataCentre string
	entries, control   counted
	oldest, newest     uint64 // versions in force at the live instances; 0 if there are none
	heard              time.Duration
}

// counted is a number of instances and how many of them are live.
type counted struct{ live, all int }

func (c *counted) add(live bool) {
	c.all++
	if live {
		c.live++
	}
}

func (c counted) String() string { return fmt.Sprintf("%d of %d", c.live, c.all) }

// dataCentres returns the data centres of the instances, ordered by region and name.
func (v statusView) dataCentres() []*dataCentreView {
	byName := map[string]*dataCentreView{}
	var out []*dataCentreView
	for _, i := range v.Instances {
		p := byName[i.DataCentre]
		if p == nil {
			p = &dataCentreView{region: i.Region, dataCentre: i.DataCentre}
			byName[i.DataCentre] = p
			out = append(out, p)
		}
		p.count(i)
	}
	slices.SortFunc(out, func(a, b *dataCentreView) int {
		return cmp.Or(cmp.Compare(a.region, b.region), cmp.Compare(a.dataCentre, b.dataCentre))
	})
	return out
}

func (p *dataCentreView) count(i instanceView) {
	if i.Role == "control" {
		p.control.add(i.Alive)
	} else {
		p.entries.add(i.Alive)
	}
	if !i.Alive {
		return
	}
	if p.oldest == 0 || i.InForce < p.oldest {
		p.oldest = i.InForce
	}
	p.newest = max(p.newest, i.InForce)
	if i.LastHeardMs != nil {
		p.heard = max(p.heard, time.Duration(*i.LastHeardMs)*time.Millisecond)
	}
}

func (p *dataCentreView) versions() string {
	if p.oldest == p.newest {
		return fmt.Sprint(p.newest)
	}
	return fmt.Sprintf("%d to %d", p.oldest, p.newest)
}

func (v statusView) writeDataCentres(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "REGION\tDATA CENTRE\tENTRIES LIVE\tCONTROL LIVE\tIN FORCE\tLAST HEARD AT MOST")
	for _, p := range v.dataCentres() {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%v ago\n", p.region, p.dataCentre, p.entries, p.control, p.versions(), p.heard)
	}
	t.Flush()
}

// differs reports whether an operator should look at an instance: it is not live, is
// behind the newest version in force, or has not reported for staleReport.
func (i instanceView) differs(newest uint64) bool {
	return i.state() != "live" || i.InForce < newest || i.LastHeardMs == nil || time.Duration(*i.LastHeardMs)*time.Millisecond > staleReport
}

// differing returns the instances that differ from the others.
func (v statusView) differing() []instanceView {
	newest := uint64(0)
	for _, i := range v.Instances {
		newest = max(newest, i.InForce)
	}
	return slices.DeleteFunc(slices.Clone(v.Instances), func(i instanceView) bool { return !i.differs(newest) })
}
