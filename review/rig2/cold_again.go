package main

import (
	"sync"
	"time"
)

const (
	newBackends = 6
	againAfter  = 2300 * time.Millisecond // from its start until a new backend becomes cold again
	againGap    = 90 * time.Millisecond   // between one new backend and the next
)

// coldAgain: new backends start, cold, and become cold once more before that is over.
func coldAgain(s *system, trouble bool) (bool, error) {
	s.service["shop"] = &service{name: "shop", slots: 8}
	s.zones = map[string]string{"z1": "r1", "z2": "r1", "z3": "r1"}
	for _, z := range []string{"z1", "z2", "z3"} {
		s.addMachine("core", z)
	}
	s.addMachine("front", "z1")
	if _, err := s.addBackend("shop", "z1", 50*time.Millisecond); err != nil {
		return false, err
	}
	if err := s.startAll([]route{{"r-shop", "shop.example", "/", "unsafe", "shop", 8000}}); err != nil {
		return false, err
	}
	var all sync.WaitGroup
	sent := s.press(s.fronts[0], coldClients, time.Now().Add(14*time.Second), &all)
	time.Sleep(4 * time.Second)
	var cold []*backend
	started := time.Now()
	for i := range newBackends {
		state := &coldState{}
		state.start(started)
		if trouble {
			state.start(started.Add(againAfter + time.Duration(i)*againGap))
		}
		b, err := s.addColdBackend("shop", "z1", 50*time.Millisecond, state)
		if err != nil {
			return false, err
		}
		cold = append(cold, b)
	}
	all.Wait()
	return s.overwhelmed(cold, sent), nil
}
