// Command fescue-control runs a replica of the control plane.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/base/settings"
	"github.com/fescuejunction/fescuejunction/internal/base/signals"
	"github.com/fescuejunction/fescuejunction/internal/process/control/controlmain"
	"github.com/integrii/flaggy"
)

var version = "dev" // overridden by the linker

func main() {
	config := "control.yaml"
	flaggy.SetName("fescue-control")
	flaggy.SetDescription("Replica of the fescuejunction control plane")
	flaggy.SetVersion(version)
	flaggy.String(&config, "c", "config", "settings file (YAML)")
	flaggy.DisableCompletion()
	flaggy.Parse()
	if err := run(config); err != nil {
		fmt.Fprintln(os.Stderr, "fescue-control:", err)
		os.Exit(1)
	}
}

func run(config string) error {
	var s controlmain.Settings
	if err := settings.Load(config, &s); err != nil {
		return err
	}
	log, flush := logging.NewAsync(os.Stdout, s.Log.Level, "fescue-control", s.Instance)
	defer flush()
	reloaded := settings.Watch[controlmain.Settings](context.Background(), config, signals.Reload(), log)
	return controlmain.Run(signals.StopContext(log), &s, reloaded, controlmain.Extension{}, log)
}
