package main

import (
	"fmt"

	"github.com/integrii/flaggy"

	"github.com/fescuejunction/fescuejunction/internal/lab/example"
)

func examplesCommand() command {
	dir := "examples"
	sub := flaggy.NewSubcommand("examples")
	sub.Description = "Write the settings of the full-size examples."
	sub.String(&dir, "d", "dir", "directory for one subdirectory per example")
	return command{parser: sub, run: func() error {
		paths, err := example.Write(dir)
		for _, p := range paths {
			fmt.Println(p)
		}
		return err
	}}
}
