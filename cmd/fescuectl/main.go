// Command fescuectl is the operators' command line tool. It validates, compares and
// applies sections of the steering document and shows the state of the system.
package main

import (
	"os"

	"github.com/fescuejunction/fescuejunction/internal/process/operator"
)

// version is overridden by the linker in releases.
var version = "dev"

func main() {
	app := operator.App{Version: version, Stdout: os.Stdout, Stderr: os.Stderr}
	os.Exit(app.Run(os.Args[1:]))
}
