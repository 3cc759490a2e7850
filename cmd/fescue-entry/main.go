// Command fescue-entry runs an entry instance, which answers look-ups and steers
// requests to targets.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/base/settings"
	"github.com/fescuejunction/fescuejunction/internal/base/signals"
	"github.com/fescuejunction/fescuejunction/internal/process/entry"
	"github.com/integrii/flaggy"
)

var version = "dev" // overridden by the linker

func main() {
	config := "entry.yaml"
	flaggy.SetName("fescue-entry")
	flaggy.SetDescription("Entry instance of fescuejunction: answers look-ups and steers requests to targets")
	flaggy.SetVersion(version)
	flaggy.String(&config, "c", "config", "settings file (YAML)")
	flaggy.Parse()
	if err := run(config); err != nil {
		fmt.Fprintln(os.Stderr, "fescue-entry:", err)
		os.Exit(1)
	}
}

func run(config string) error {
	var s entry.Settings
	if err := settings.Load(config, &s); err != nil {
		return err
	}
	log, flush := logging.NewAsync(os.Stdout, s.Log.Level, "fescue-entry", s.Instance)
	defer flush()
	reloaded := settings.Watch[entry.Settings](context.Background(), config, signals.Reload(), log)
	return entry.Run(signals.StopContext(log), &s, reloaded, entry.Extension{}, log)
}
