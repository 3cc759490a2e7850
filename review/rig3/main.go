// Command rig3 runs the script cases 11 to 15 of the review. It starts the programs of the
// deploy file as separate processes on loopback addresses. Callers, targets, the operator
// and the platform are stand-ins in this process.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
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
	go w.endOnSignalOrTimeout()
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

// longestRun is how long a case may take before it is given up.
const longestRun = 118 * time.Second

// endOnSignalOrTimeout ends all processes when the case is interrupted or takes too long.
func (w *world) endOnSignalOrTimeout() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-stop:
	case <-time.After(longestRun):
	}
	w.log("the case was interrupted or took too long")
	w.close()
	os.Exit(exitNotRun)
}
