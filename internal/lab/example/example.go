// Package example writes the settings of the full-size example deployments on
// loopback: 3 regions x 2 data centres, 9 entries, 3 control replicas and four
// services with 12 targets each, at the sizes of section 1.6 of docs/design.md.
package example

import (
	"embed"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/template"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

//go:embed templates/*.tmpl
var templateFiles embed.FS

// Sizes of a deployment.
const (
	targetsPerDataCentre = 2
	firstTargetPort      = 1000 // offset of the first target from Deployment.Port
	portsPerInstance     = 10
	filePermission       = 0o644
	dirPermission        = 0o755
)

// Deployment describes one example deployment.
type Deployment struct {
	Name         string
	Team         string
	Regions      []Region
	Port         int // first port; 2,000 are reserved
	RegionDelay  int // one way between regions, milliseconds
	Services     []Service
	Shifts       []Shift
	LongDeadline string // longest admitted deadline of the long routes
}

// Region is a region with its data centres.
type Region struct {
	Name        string
	DataCentres []string
}

// Service is a service with its slots per target and its routes as lines of
// the steering document.
type Service struct {
	Name   string
	Slots  int
	Hedge  bool
	Long   bool // has a route that needs the long deadline
	Work   string
	Routes []string
}

// Shift is a shift with its cap of requests in flight worldwide.
type Shift struct {
	Name string
	Cap  int
}

// Link is the capacity from one region to another.
type Link struct{ From, To string }

// Instance is an entry, a control replica or a target.
type Instance struct {
	ID, Region, DataCentre string
	Port                   int
	Service                Service // set for a target only
}

// All returns the examples.
func All() []Deployment { return []Deployment{kerala, cascadia} }

// Links returns the links between all regions, in both directions.
func (d Deployment) Links() []Link {
	var out []Link
	for _, from := range d.Regions {
		for _, to := range d.Regions {
			if from.Name != to.Name {
				out = append(out, Link{from.Name, to.Name})
			}
		}
	}
	return out
}

// DataCentres returns the names of the data centres, separated by commas.
func (d Deployment) DataCentres() string {
	var out []string
	for _, r := range d.Regions {
		out = append(out, r.DataCentres...)
	}
	return strings.Join(out, ", ")
}

// Control returns a replica in the first data centre of each region.
func (d Deployment) Control() []Instance {
	var out []Instance
	for i, r := range d.Regions {
		out = append(out, Instance{
			ID: fmt.Sprintf("control-%d", i+1), Region: r.Name, DataCentre: r.DataCentres[0],
			Port: d.Port + portsPerInstance*(i+1),
		})
	}
	return out
}

// Entries returns two entries in the first data centre of each region and one
// in the second.
func (d Deployment) Entries() []Instance {
	var out []Instance
	for _, r := range d.Regions {
		for i, dc := range r.DataCentres {
			for n := range 2 - i {
				out = append(out, Instance{
					ID: fmt.Sprintf("%s-%c", dc, 'a'+n), Region: r.Name, DataCentre: dc,
					Port: d.Port + 100 + portsPerInstance*len(out),
				})
			}
		}
	}
	return out
}

// Targets returns the targets of every service.
func (d Deployment) Targets() []Instance {
	var out []Instance
	for _, s := range d.Services {
		for _, r := range d.Regions {
			for _, dc := range r.DataCentres {
				for n := range targetsPerDataCentre {
					out = append(out, Instance{
						ID: fmt.Sprintf("%s-%s-%d", s.Name, dc, n+1), Region: r.Name, DataCentre: dc,
						Port: d.Port + firstTargetPort + len(out), Service: s,
					})
				}
			}
		}
	}
	return out
}

// Addr returns the loopback address of a port.
func (Deployment) Addr(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// Offset returns base plus n.
func (Deployment) Offset(base, n int) int { return base + n }

// ControlAddrs returns the gRPC addresses of the control replicas.
func (d Deployment) ControlAddrs() string {
	var out []string
	for _, c := range d.Control() {
		out = append(out, fmt.Sprintf("%q", d.Addr(c.Port)))
	}
	return strings.Join(out, ", ")
}

// Peers returns the gRPC addresses of the other entries in the data centre.
func (d Deployment) Peers(of Instance) string {
	var out []string
	for _, e := range d.Entries() {
		if e.DataCentre == of.DataCentre && e.ID != of.ID {
			out = append(out, fmt.Sprintf("%q", d.Addr(e.Port+2)))
		}
	}
	return strings.Join(out, ", ")
}

// templateInput is the data of a template.
type templateInput struct {
	Deployment
	Self Instance
}

// Files returns the content of each file of the deployment by name.
func (d Deployment) Files() (map[string]string, error) {
	t, err := template.ParseFS(templateFiles, "templates/*.tmpl")
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "parse the templates of the examples")
	}
	out := map[string]string{}
	add := func(file, name string, self Instance) {
		var text strings.Builder
		if e := t.ExecuteTemplate(&text, name, templateInput{d, self}); e != nil && err == nil {
			err = errkind.Wrap(errkind.Internal, e, "make %s", file)
		}
		out[file] = text.String()
	}
	add("platform.yaml", "platform.tmpl", Instance{})
	add("targets.yaml", "targets.tmpl", Instance{})
	add("platform.section.yaml", "section-platform.tmpl", Instance{})
	add(d.Team+".section.yaml", "section-team.tmpl", Instance{})
	add("operator.yaml", "operator.tmpl", Instance{})
	for _, c := range d.Control() {
		add(c.ID+".yaml", "control.tmpl", c)
	}
	for _, e := range d.Entries() {
		add("entry-"+e.ID+".yaml", "entry.tmpl", e)
	}
	return out, err
}

// Write writes the files of every example below dir and returns their paths.
func Write(dir string) ([]string, error) {
	var paths []string
	for _, d := range All() {
		content, err := d.Files()
		if err != nil {
			return nil, err
		}
		base := filepath.Join(dir, d.Name)
		if err := os.MkdirAll(base, dirPermission); err != nil {
			return nil, errkind.Wrap(errkind.InvalidSettings, err, "make %s", base)
		}
		for name, text := range content {
			path := filepath.Join(base, name)
			if err := os.WriteFile(path, []byte(text), filePermission); err != nil {
				return nil, errkind.Wrap(errkind.InvalidSettings, err, "write %s", path)
			}
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	return paths, nil
}
