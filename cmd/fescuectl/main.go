// Command fescuectl is the tool of operators: it validates, compares and
// applies sections of the steering document and shows how the system acts.
package main

import (
	"os"

	"github.com/fescuejunction/fescuejunction/internal/process/operator"
)

// version is set by the linker for releases.
var version = "dev"

func main() {
	app := operator.App{Version: version, Stdout: os.Stdout, Stderr: os.Stderr}
	os.Exit(app.Run(os.Args[1:]))
}
