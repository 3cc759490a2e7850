package main

import (
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"go.yaml.in/yaml/v3"

	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/base/settings"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/lab/serve"
	"github.com/fescuejunction/fescuejunction/internal/lab/target"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
	"github.com/fescuejunction/fescuejunction/internal/yamlpos"
)

// targetFlags describe a single target for a run without a settings file.
type targetFlags struct {
	file      string
	spec      target.Spec
	work      time.Duration
	reportLag time.Duration
	admin     string
	journal   string
}

func targetCommand() command {
	f := &targetFlags{}
	f.spec = target.Spec{ID: "target-1", Service: "service", DataCentre: "dc", Slots: 3}
	sub := flaggy.NewSubcommand("target")
	sub.Description = "Serve one or more stand-in targets."
	sub.String(&f.file, "c", "config", "settings file with any number of targets; the other flags describe a single one")
	sub.String(&f.spec.ID, "", "id", "identifier of the target")
	sub.String(&f.spec.Listen, "", "listen", "address host:port of the target")
	sub.String(&f.spec.Service, "", "service", "service of the target")
	sub.String(&f.spec.DataCentre, "", "dc", "data centre of the target")
	sub.Int(&f.spec.Slots, "", "slots", "number of requests that may be in progress at once")
	sub.Duration(&f.work, "", "work", "median service time")
	sub.Duration(&f.reportLag, "", "report-lag", "age of the load reports")
	sub.String(&f.admin, "", "admin", "address host:port for /metrics, /healthz and /status")
	sub.String(&f.journal, "", "journal", "file to which the journal is appended")
	return command{parser: sub, run: f.run}
}

func (f *targetFlags) run() error {
	s, err := f.settings()
	if err != nil {
		return err
	}
	ctx, stop := serve.SignalContext()
	defer stop()
	return target.Run(ctx, s, logging.New(os.Stdout, s.Log.Level, "fescue-lab", "target"))
}

// settings reads the settings file, or builds the settings from the flags if no file
// is set.
func (f *targetFlags) settings() (target.Settings, error) {
	var s target.Settings
	if f.file != "" {
		err := settings.Load(f.file, &s)
		return s, err
	}
	f.spec.Work = document.Duration(f.work)
	f.spec.ReportLag = document.Duration(f.reportLag)
	s = target.Settings{Admin: f.admin, Journal: f.journal, Targets: []target.Spec{f.spec}}
	return s, checkTargetFlags(&s)
}

// checkTargetFlags checks settings that come from flags. It encodes them as YAML and
// parses the result, so that flags are subject to the same rules as a file.
func checkTargetFlags(s settings.Checker) error {
	data, err := yaml.Marshal(s)
	if err != nil {
		return errkind.Wrap(errkind.InvalidSettings, err, "flags")
	}
	f, problems := yamlpos.Parse("flags", data, s)
	if len(problems) == 0 {
		c := &settings.Check{File: f}
		s.Check(c)
		problems = c.Problems
	}
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = p.Field + ": " + p.Message
	}
	if len(lines) == 0 {
		return nil
	}
	return errkind.New(errkind.InvalidSettings, "%s", strings.Join(lines, "\n"))
}
