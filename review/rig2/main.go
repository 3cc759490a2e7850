// Command rig2 runs the scripted cases of the second review: the programs of the deploy
// file as separate processes on loopback addresses, with stand-ins for clients, backends,
// the operator and the platform's list.
package main

import (
	"fmt"
	"os"
)

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(s *system, trouble bool) (broken bool, err error){
	"extra-bytes":  extraBytes,
	"pipeline-cut": pipelineCut,
	"stale-route":  staleRoute,
	"cold-restart": coldRestart,
	"cold-again":   coldAgain,
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, folder string) int {
	rec, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.file.Close()
	s, err := newSystem(rec, map[string]string{"z1": "r1", "z2": "r2", "z3": "r3"})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer s.close()
	broken, err := cases[name](s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitFailed
	case broken:
		rec.logf("RESULT: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	rec.logf("RESULT: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
