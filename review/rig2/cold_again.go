package main

import (
	"sync"
	"time"
)

const (
	oldBackends  = 10
	newBackends  = 3                       // share .3
	newGap       = 250 * time.Millisecond  // between the starts of new backends, .5 s for all
	againAfter   = 2450 * time.Millisecond // from its start until a new backend becomes cold again
	againClients = 320
)

// coldAgain: new backends start, cold, and become cold once more before that is over.
func coldAgain(s *system, trouble bool) (bool, error) {
	s.service["shop"] = &service{name: "shop", slots: 8}
	s.zones = map[string]string{"z1": "r1", "z2": "r1", "z3": "r1"}
	for _, z := range []string{"z1", "z2", "z3"} {
		s.addMachine("core", z)
	}
	s.addMachine("front", "z1")
	for range oldBackends {
		if _, err := s.addBackend("shop", "z1", 50*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := s.startAll([]route{{"r-shop", "shop.example", "/", "unsafe", "shop", 8000}}); err != nil {
		return false, err
	}
	var all sync.WaitGroup
	sent := s.press(s.fronts[0], againClients, time.Now().Add(14*time.Second), &all)
	time.Sleep(4 * time.Second)
	var cold []*backend
	for i := range newBackends {
		if i > 0 {
			time.Sleep(newGap)
		}
		started := time.Now()
		state := &coldState{}
		state.start(started)
		if trouble {
			state.start(started.Add(againAfter))
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
