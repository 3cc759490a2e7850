package main

import (
	"encoding/json"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/fescuejunction/fescuejunction/internal/base/settings"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/lab/load"
	"github.com/fescuejunction/fescuejunction/internal/lab/serve"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
)

// loadFlags override parts of the settings file.
type loadFlags struct {
	file     string
	entries  []string
	rate     float64
	workers  int
	duration time.Duration
	seed     uint64
	direct   bool
	lookups  bool
	journal  string
	json     string
}

// loadSettings are the settings after the flags have been applied.
type loadSettings struct {
	load.Settings `yaml:",inline"`
	flags         *loadFlags
}

func loadCommand() command {
	f := &loadFlags{}
	sub := flaggy.NewSubcommand("load")
	sub.Description = "Generate load and measure latency."
	sub.String(&f.file, "c", "config", "settings file with the request mix; the other flags override parts of it")
	sub.StringSlice(&f.entries, "e", "entry", "address host:port of an entry; repeatable")
	sub.Float64(&f.rate, "r", "rate", "requests per second in an open loop")
	sub.Int(&f.workers, "w", "workers", "callers in a closed loop, in place of a rate")
	sub.Duration(&f.duration, "d", "duration", "length of the run")
	sub.UInt64(&f.seed, "s", "seed", "seed of the random number generator")
	sub.Bool(&f.direct, "", "direct", "send requests directly to the targets, round robin")
	sub.Bool(&f.lookups, "", "lookups", "send only look-ups")
	sub.String(&f.journal, "", "journal", "file to which the journal is appended")
	sub.String(&f.json, "", "json", "file for the summary as JSON")
	return command{parser: sub, run: f.run}
}

func (f *loadFlags) run() error {
	s := &loadSettings{flags: f}
	if err := settings.Load(f.file, s); err != nil {
		return err
	}
	ctx, stop := serve.SignalContext()
	defer stop()
	summary, err := load.Run(ctx, s.Settings)
	if err != nil {
		return err
	}
	summary.Print(os.Stdout)
	return writeJSON(f.json, summary)
}

// Check applies the flags and then checks the settings.
func (s *loadSettings) Check(c *settings.Check) {
	f := s.flags
	if f.rate > 0 || f.workers > 0 {
		s.Rate, s.Workers = f.rate, f.workers
	}
	if f.duration > 0 {
		s.Duration = document.Duration(f.duration)
	}
	if len(f.entries) > 0 {
		s.Entries = f.entries
	}
	if f.seed != 0 {
		s.Seed = f.seed
	}
	if f.journal != "" {
		s.Journal = f.journal
	}
	if f.direct {
		s.Mode = load.Direct
	}
	if f.lookups {
		s.Mode = load.LookupsOnly
	}
	s.Settings.Check(c)
}

// writeJSON writes v as indented JSON to path. It does nothing if path is empty.
func writeJSON(path string, v any) error {
	if path == "" {
		return nil
	}
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode the summary")
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return errkind.Wrap(errkind.StorageFailed, err, "write the summary")
	}
	return nil
}
