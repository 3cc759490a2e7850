package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/integrii/flaggy"
)

// blocksFlags are the parameters of a randomly generated client-block table.
type blocksFlags struct {
	count int
	sites int
	seed  int
	out   string
}

func blocksCommand() command {
	f := &blocksFlags{count: 3_400_000, sites: 130, seed: 1}
	sub := flaggy.NewSubcommand("blocks")
	sub.Description = "Write a client-block table of random IPv4 blocks with prefix lengths /20 to /24."
	sub.Int(&f.count, "n", "count", "number of blocks")
	sub.Int(&f.sites, "", "sites", "number of data centres, named dc1, dc2, ...")
	sub.Int(&f.seed, "s", "seed", "seed of the random number generator")
	sub.String(&f.out, "o", "out", "file to write")
	return command{parser: sub, run: f.run}
}

// Bounds of the prefix lengths of the blocks.
const (
	shortestBlock = 20
	longestBlock  = 24
)

func (f *blocksFlags) run() error {
	if f.out == "" || f.count < 1 || f.sites < 1 {
		return errkind.New(errkind.InvalidSettings, "--out, a positive --count and a positive --sites are required")
	}
	file, err := os.Create(f.out)
	if err != nil {
		return errkind.Wrap(errkind.StorageFailed, err, "create the table")
	}
	defer file.Close()
	w := bufio.NewWriter(file)
	r := rand.New(rand.NewPCG(uint64(f.seed), 0))
	seen := make(map[netip.Prefix]bool, f.count)
	for len(seen) < f.count {
		u := r.Uint32()
		addr := netip.AddrFrom4([4]byte{byte(u >> 24), byte(u >> 16), byte(u >> 8), byte(u)})
		p, err := addr.Prefix(shortestBlock + r.IntN(longestBlock-shortestBlock+1))
		if err != nil || seen[p] {
			continue
		}
		seen[p] = true
		fmt.Fprintf(w, "%s,dc%d\n", p, 1+r.IntN(f.sites))
	}
	if err := w.Flush(); err != nil {
		return errkind.Wrap(errkind.StorageFailed, err, "write the table")
	}
	return nil
}
