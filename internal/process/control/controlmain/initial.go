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

// loadInitial loads the section files of initial_document once, if the state
// has no section yet. Every replica may try: a section is only created, never
// replaced.
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
		log.WithError(err).Info("initial document not loaded yet")
		select {
		case <-time.After(initialRetryInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// loadRegions creates the section of the platform team with the regions of
// the settings, unless it exists.
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
		p.log.WithError(err).Info("regions not recorded yet")
		select {
		case <-time.After(initialRetryInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// regionsOf groups data centres by region, in order of their names.
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

// readSections parses the section files. The platform section comes first,
// because the others refer to it.
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
