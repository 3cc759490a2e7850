// Command fescue-lab runs stand-ins for targets, the platform's list of instances
// and network links, generates load, and checks the journals of a run.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"
)

// version is overridden by the linker.
var version = "dev"

// command is a subcommand of fescue-lab.
type command struct {
	parser *flaggy.Subcommand
	run    func() error
}

func main() {
	flaggy.SetName("fescue-lab")
	flaggy.SetDescription("Stand-ins, load generator and checks for fescuejunction.")
	flaggy.SetVersion(version)
	commands := []command{targetCommand(), platformCommand(), linkCommand(), loadCommand(), checkCommand(), compareCommand(), examplesCommand(), blocksCommand()}
	for _, c := range commands {
		flaggy.AttachSubcommand(c.parser, 1)
	}
	flaggy.Parse()
	for _, c := range commands {
		if c.parser.Used {
			exit(c.run())
		}
	}
	flaggy.ShowHelpAndExit("A subcommand is required.")
}

// exit ends the process and prints err if it is not nil.
func exit(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "fescue-lab:", err)
		os.Exit(1)
	}
	os.Exit(0)
}
