package main

import (
	"os"

	"github.com/integrii/flaggy"

	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/base/settings"
	"github.com/fescuejunction/fescuejunction/internal/lab/link"
	"github.com/fescuejunction/fescuejunction/internal/lab/serve"
)

func linkCommand() command {
	var file string
	sub := flaggy.NewSubcommand("link")
	sub.Description = "Relay TCP over links with delay and limited bandwidth that can be cut, frozen or reset."
	sub.String(&file, "c", "config", "settings file")
	return command{parser: sub, run: func() error { return runLink(file) }}
}

func runLink(file string) error {
	var s link.Settings
	if err := settings.Load(file, &s); err != nil {
		return err
	}
	ctx, stop := serve.SignalContext()
	defer stop()
	return link.Run(ctx, s, logging.New(os.Stdout, s.Log.Level, "fescue-lab", "link"))
}
