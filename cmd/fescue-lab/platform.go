package main

import (
	"os"

	"github.com/integrii/flaggy"

	"github.com/fescuejunction/fescuejunction/internal/base/logging"
	"github.com/fescuejunction/fescuejunction/internal/base/settings"
	"github.com/fescuejunction/fescuejunction/internal/lab/platform"
	"github.com/fescuejunction/fescuejunction/internal/lab/serve"
)

func platformCommand() command {
	var file string
	sub := flaggy.NewSubcommand("platform")
	sub.Description = "Serve the platform's list of instances."
	sub.String(&file, "c", "config", "settings file")
	return command{parser: sub, run: func() error { return runPlatform(file) }}
}

func runPlatform(file string) error {
	var s platform.Settings
	if err := settings.Load(file, &s); err != nil {
		return err
	}
	srv, err := serve.Listen(s.Listen, platform.New(s).Handler())
	if err != nil {
		return err
	}
	log := logging.New(os.Stdout, s.Log.Level, "fescue-lab", "platform")
	log.WithField("address", srv.Listener.Addr().String()).Info("ready")
	ctx, stop := serve.SignalContext()
	defer stop()
	return serve.Run(ctx, srv)
}
