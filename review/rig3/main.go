// Command rig3 runs the script cases 11 to 15 of the review. It starts the programs of the
// deploy file as separate processes on loopback addresses. Callers, targets, the operator
// and the platform are stand-ins in this process.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	cases := map[string]func(*world) (bool, error){}
	for name, run := range allCases {
		cases[name] = run
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

func runCase(run func(*world) (bool, error), record string) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig3:", err)
		return exitNotRun
	}
	defer w.close()
	w.trouble = os.Getenv("TROUBLE") != "0"
	w.log("disruption: %v", w.trouble)
	broken, err := run(w)
	switch {
	case err != nil:
		w.log("the case could not run: %v", err)
		return exitNotRun
	case broken:
		w.log("result: the rule was broken")
		return exitBroken
	}
	w.log("result: the rule held")
	return exitHeld
}
