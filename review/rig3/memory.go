package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// limitMemory ends the process of a machine when it uses more than the limit, and starts
// it again a moment later, as the platform does.
func (w *world) limitMemory(m *machine, limit int64, stop <-chan struct{}, kills, peak *atomic.Int64) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		used := anonymousBytes(m.cmd.Process.Pid)
		if used > peak.Load() {
			peak.Store(used)
		}
		if used <= limit {
			continue
		}
		w.log("%s uses %d MiB and is ended", m.name, used>>20)
		kills.Add(1)
		if err := w.endForMemory(m); err != nil {
			w.log("%v", err)
			return
		}
	}
}

// anonymousBytes returns the resident anonymous memory of a process of this rig.
func anonymousBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kib, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kib << 10
		}
	}
	return 0
}

// endForMemory ends a process and starts it again a moment later, as the platform does.
func (w *world) endForMemory(m *machine) error {
	_ = m.cmd.Process.Signal(syscall.SIGKILL)
	<-m.exited
	time.Sleep(500 * time.Millisecond)
	return w.start(m, false)
}
