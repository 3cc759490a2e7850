package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	coldClients = 160
	killedFor   = 200 * time.Millisecond
	startToEnd  = 200 * time.Millisecond // from the start of the front to the end of the evacuation
)

// coldRestart: a zone is emptied and taken back, its backends are cold then, and the front
// that dispatches their service is killed shortly before and starts again.
func coldRestart(s *system, trouble bool) (bool, error) {
	s.service["shop"] = &service{name: "shop", slots: 8}
	s.zones = map[string]string{"z1": "r1", "z2": "r1", "z3": "r1"}
	for _, z := range []string{"z1", "z2", "z3"} {
		s.addMachine("core", z)
	}
	s.addMachine("front", "z2")
	var cold []*backend
	for _, z := range []string{"z1", "z1", "z2"} {
		b, err := s.addBackend("shop", z, 50*time.Millisecond)
		if err != nil {
			return false, err
		}
		if z == "z1" {
			b.cold = &coldState{}
			cold = append(cold, b)
		}
	}
	if err := s.startAll([]route{{"r-shop", "shop.example", "/", "unsafe", "shop", 8000}}); err != nil {
		return false, err
	}
	front := s.fronts[0]
	var all sync.WaitGroup
	sent := s.press(front, coldClients, time.Now().Add(18*time.Second), &all)
	time.Sleep(4 * time.Second)
	if st, _ := s.order("POST", "/fescuejunction/Evacuations.Start/z1", nil, nil, 10); st != 200 {
		return false, fmt.Errorf("evacuation: %d", st)
	}
	time.Sleep(4 * time.Second)
	if trouble {
		front.stopping = true
		front.signal(syscall.SIGKILL)
		<-front.done
		time.Sleep(killedFor)
		if err := front.start(false); err != nil {
			return false, err
		}
		time.Sleep(startToEnd)
	}
	for _, b := range cold { // they have become cold shortly before
		b.cold.start(time.Now())
	}
	if st, _ := s.order("POST", "/fescuejunction/Evacuations.End/z1", nil, nil, 10); st != 200 {
		return false, fmt.Errorf("end of the evacuation: %d", st)
	}
	all.Wait()
	return s.overwhelmed(cold, sent), nil
}
