package controlmain

import (
	"context"
	"maps"
	"os"
	"slices"
	"sort"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/process/control"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
	"github.com/sirupsen/logrus"
)

const initialRetryInterval = 500 * time.Millisecond

// loadInitial loads the section files of initial_document if the state has no
// section yet. It retries until it succeeds, ctx ends or the document is invalid.
// All replicas may do this at the same time, because a section is created only if
// it does not exist, and never replaced.
func loadInitial(ctx context.Context, s *Settings, srv *control.Server, log *logrus.Entry) error {
	sections, err := readSections(s.InitialDocument)
	if err != nil || len(sections) == 0 {
		return err
	}
	for {
		err := srv.LoadInitial(ctx, sections)
		if err == nil || ctx.Err() != nil {
			return nil
		}
		if errkind.Of(err) == errkind.InvalidDocument {
			return err
		}
		log.WithError(err).Info("cannot load the initial document yet; retrying")
		select {
		case <-time.After(initialRetryInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// loadRegions creates the section of the platform team with the regions of the
// settings, unless the section exists. It retries until it succeeds, ctx ends or
// the section is invalid.
func (p *process) loadRegions(ctx context.Context) error {
	if len(p.settings.DataCentres) == 0 {
		return nil
	}
	yaml, err := document.Encode(&document.Section{Team: document.PlatformTeam, Regions: regionsOf(p.settings.DataCentres)})
	if err != nil {
		return errkind.Wrap(errkind.InvalidSettings, err, "data_centres")
	}
	for {
		err := p.server.CreateSection(ctx, document.PlatformTeam, yaml)
		if err == nil || ctx.Err() != nil {
			return nil
		}
		if errkind.Of(err) == errkind.InvalidDocument {
			return err
		}
		p.log.WithError(err).Info("cannot create the platform section with the regions yet; retrying")
		select {
		case <-time.After(initialRetryInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// regionsOf groups data centres by region, in order of the names of the data
// centres.
func regionsOf(dcs map[string]string) []document.Region {
	var out []document.Region
	for _, dc := range slices.Sorted(maps.Keys(dcs)) {
		region := dcs[dc]
		i := slices.IndexFunc(out, func(r document.Region) bool { return r.Name == region })
		if i < 0 {
			i, out = len(out), append(out, document.Region{Name: region})
		}
		out[i].DataCentres = append(out[i].DataCentres, dc)
	}
	return out
}

// readSections reads and parses the section files. The platform section is the
// first of the result, because the others refer to it. The error has kind
// InvalidSettings for a file that cannot be read, or InvalidDocument.
func readSections(files []string) ([]control.InitialSection, error) {
	var out []control.InitialSection
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, errkind.Wrap(errkind.InvalidSettings, err, "initial_document")
		}
		src, problems := document.Parse(file, data)
		if len(problems) > 0 {
			return nil, errkind.New(errkind.InvalidDocument, "initial_document: %s", problems[0])
		}
		out = append(out, control.InitialSection{Team: src.Section.Team, YAML: data})
	}
	sort.SliceStable(out, func(i, j int) bool {
		return out[i].Team == document.PlatformTeam && out[j].Team != document.PlatformTeam
	})
	return out, nil
}
