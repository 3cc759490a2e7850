package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	memoryMb      = 284 // limits.memoryMb of a front machine of chairrota-kl
	uploadBytes   = 17 << 20
	uploads       = 8 // at once, to each front
	uploadTime    = 60 * time.Second
	endsToBreak   = 3
	uploadPiece   = 1 << 20 // of which each client sends one in uploadGap: 80 MB a second for a front's link of 125
	uploadGap     = 100 * time.Millisecond
	memoryPolling = 2 * time.Millisecond
)

// bigBodies: many clients send bodies at once, each within maxBodyBytes. The platform ends
// a process that uses more than memoryMb.
func bigBodies(s *system, trouble bool) (bool, error) {
	s.service["pay"] = &service{name: "pay", slots: 8}
	s.addMachine("core", "z1")
	s.addMachine("front", "z1")
	s.addMachine("front", "z2")
	for _, z := range []string{"z1", "z1", "z2", "z2"} {
		if _, err := s.addBackend("pay", z, 200*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := s.startAll([]route{{"r-pay", "pay.example", "/pay/", "unsafe", "pay", 8000}}); err != nil {
		return false, err
	}
	size := uploadBytes
	if !trouble {
		size = 4000
	}
	ends := make([]int, len(s.fronts))
	end := time.Now().Add(uploadTime)
	var all sync.WaitGroup
	for i, m := range s.fronts {
		all.Go(func() {
			for time.Now().Before(end) && ends[i] < endsToBreak {
				if m.uploadRound(size, end) {
					ends[i]++
				}
				if m.stopping {
					time.Sleep(500 * time.Millisecond)
					_ = m.start(false)
				}
				for m.ready() != nil && time.Now().Before(end) {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	all.Wait()
	s.rec.logf("processes ended for their memory, by front: %v", ends)
	return slices.Min(ends) >= endsToBreak, nil
}

// uploadRound lets clients send bodies to a front, one after the other each, until its
// process ends or the time is over. It reports whether the process ended for its memory.
func (m *machine) uploadRound(size int, end time.Time) (ended bool) {
	var done atomic.Bool
	var watch, clients sync.WaitGroup
	watch.Go(func() { ended = m.limitMemory(&done) })
	for range uploads {
		clients.Go(func() {
			for time.Now().Before(end) && !m.stopping {
				cl := &client{s: m.sys, m: m}
				cl.upload("pay.example", "/pay/1", size, 8*time.Second)
				cl.close()
			}
		})
	}
	clients.Wait()
	done.Store(true)
	watch.Wait()
	return ended
}

// limitMemory ends the process of a machine, as the platform does, if it uses more than
// memoryMb before done is set. It reports whether it did.
func (m *machine) limitMemory(done *atomic.Bool) bool {
	peak := 0
	for !done.Load() {
		peak = max(peak, residentMb(m.cmd.Process.Pid))
		if peak > memoryMb {
			m.sys.rec.logf("%s uses %d MB, more than its %d MB: ended", m.name, peak, memoryMb)
			m.kill()
			return true
		}
		time.Sleep(memoryPolling)
	}
	m.sys.rec.logf("%s used %d MB at most", m.name, peak)
	return false
}

// residentMb returns the resident memory of a process, without that of files, in MB.
func residentMb(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if name, value, _ := strings.Cut(line, ":"); name == "RssAnon" {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kb / 1024
		}
	}
	return 0
}

// upload sends a request with a body of a size, in pieces, and reads its answer.
func (c *client) upload(host, path string, size int, timeout time.Duration) reply {
	out := reply{id: newID()}
	conn, err := net.DialTimeout("tcp", c.m.at(portFront), time.Second)
	if err != nil {
		out.err = err
		return out
	}
	c.conn, c.r = conn, bufio.NewReader(conn)
	_ = conn.SetDeadline(time.Now().Add(timeout))
	_, out.err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", path, host, out.id, timeout.Milliseconds(), size)
	piece := make([]byte, uploadPiece)
	for left := size; left > 0 && out.err == nil; left -= uploadPiece {
		_, out.err = conn.Write(piece[:min(left, uploadPiece)])
		time.Sleep(uploadGap)
	}
	if out.err == nil {
		out.read(c)
	}
	c.s.rec.logf("request %s: %d bytes via %s: status %d, stamp %q, error %v", out.id, size, c.m.name, out.status, out.stamp, out.err)
	return out
}
