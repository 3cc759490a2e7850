package kit

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held     = 0
	Broken   = 1
	NotRun   = 2
	maxRunS  = 115 // the longest time that a case may take
	startS   = 30  // the longest time until the fronts are ready
	seedLagS = 3
)

// Case is the setting of a case: its folder, the repository and whether the disruption
// takes place.
type Case struct {
	Root, Dir string
	Trouble   bool
	Record    *Record
	D         *Deployment
	Runs      *Runs
	Backends  []*Backend
	Operator  *Operator
	Version   uint64 // of the configuration in force
	nextIP    int
}

// Main runs a case and ends the process with its exit code. The arguments are the
// repository and the folder of the case.
func Main(zones [][2]string, frontsPerZone int, run func(c *Case) (broken bool, err error)) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: case REPOSITORY FOLDER")
		os.Exit(NotRun)
	}
	os.Exit(execute(zones, frontsPerZone, run))
}

func execute(zones [][2]string, frontsPerZone int, run func(c *Case) (bool, error)) int {
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", Runs: &Runs{}, nextIP: 10}
	var err error
	fail := func(err error) int {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		if c.Record != nil {
			c.Record.Printf("the case could not run: %v", err)
		}
		return NotRun
	}
	if c.Root, err = filepath.Abs(os.Args[1]); err != nil {
		return fail(err)
	}
	if c.Dir, err = filepath.Abs(os.Args[2]); err != nil {
		return fail(err)
	}
	if c.Record, err = NewRecord(c.Dir); err != nil {
		return fail(err)
	}
	defer c.Record.Close()
	c.Record.Printf("disruption: %v", c.Trouble)
	if c.D, err = NewDeployment(c.Root, c.Record, zones, frontsPerZone); err != nil {
		return fail(err)
	}
	defer c.D.Stop()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := run(c)
		done <- result{broken, err}
	}()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	select {
	case r := <-done:
		if r.err != nil {
			return fail(r.err)
		}
		if r.broken {
			return Broken
		}
		return Held
	case <-ctx.Done():
		return fail(fmt.Errorf("ended by a signal"))
	case <-time.After(maxRunS * time.Second):
		return fail(fmt.Errorf("not finished after %d s", maxRunS))
	}
}

// AddBackends starts backends of a service in each zone and lists them.
func (c *Case) AddBackends(service string, perZone, slots int, change func(b *Backend)) error {
	for _, core := range c.D.Cores { // one for each zone
		for k := range perZone {
			b := &Backend{
				ID: fmt.Sprintf("i-%s-%s-%d", service, core.Zone, k+1), Service: service, Zone: core.Zone, Slots: slots, Queue: 2 * slots, Runs: c.Runs,
				Addr: fmt.Sprintf("127.0.14.%d:%d", c.nextIP, c.D.Ports.Backend),
			}
			c.nextIP++
			if change != nil {
				change(b)
			}
			if err := b.Start(); err != nil {
				return err
			}
			c.D.Cloud.SetNow(b.Entry())
			c.Backends = append(c.Backends, b)
		}
	}
	return nil
}

// Start starts the system, puts the first configuration and waits until all fronts are
// ready and the backends are no longer cold.
func (c *Case) Start(resources []Resource) error {
	if err := c.D.Start(); err != nil {
		return err
	}
	c.Operator = &Operator{Record: c.Record}
	for _, m := range c.D.Cores {
		c.Operator.Addrs = append(c.Operator.Addrs, m.Addr(c.D.Ports.Control))
	}
	if err := c.Put(resources); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startS*time.Second)
	defer cancel()
	if err := c.D.WaitReady(ctx); err != nil {
		return err
	}
	time.Sleep(seedLagS * time.Second)
	c.Record.Printf("all fronts are ready")
	return nil
}

// Put puts a configuration on top of the one in force.
func (c *Case) Put(resources []Resource) error {
	ctx, cancel := context.WithTimeout(context.Background(), startS*time.Second)
	defer cancel()
	next := c.Version + 2
	if err := c.Operator.Put(ctx, c.Version, Config{Version: next, Resources: resources}); err != nil {
		return err
	}
	c.Version = next
	c.Record.Printf("configuration %d is acknowledged", next)
	return nil
}
