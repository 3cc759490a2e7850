package follow

import (
	"context"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/version/blocks"
	"github.com/sirupsen/logrus"
)

const (
	chunkTimeout = 10 * time.Second // for fetching one chunk
	// Bounds of the delay before missing chunks are requested again.
	minChunkRetry = 500 * time.Millisecond
	maxChunkRetry = 2 * time.Second
	// preferredRounds is how many times only the best kind of source is asked
	// before the others are. Relays learn of a new table at the same time as the
	// entries that follow them. Without a wait for the relays to fetch it, all
	// entries would load control.
	preferredRounds = 10
)

// chunks holds the encoded chunks of the client-block table by hash. It serves
// them to the entries that follow this one, and saves fetching the unchanged
// chunks of a new table. It is safe for concurrent use.
type chunks struct {
	mu   sync.Mutex
	data map[blocks.Hash][]byte
}

func (c *chunks) get(h blocks.Hash) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	data, ok := c.data[h]
	return data, ok
}

func (c *chunks) put(h blocks.Hash, data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.data[h] = data
}

// prune removes the chunks that are not in hashes.
func (c *chunks) prune(hashes [][]byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := make(map[blocks.Hash][]byte, len(hashes))
	for _, h := range hashes {
		kept[blocks.Hash(h)] = c.data[blocks.Hash(h)]
	}
	c.data = kept
}

// maintainBlockTable builds the client-block table that the snapshot in force
// names, and rebuilds it for each new table, until ctx ends.
func (f *Follower) maintainBlockTable(ctx context.Context) {
	built := uint64(0)
	for round := 0; ; round++ {
		wait := time.After(maxChunkRetry)
		if s := f.cfg.Store.Load(); s != nil && s.Blocks.GetVersion() > built {
			if err := f.buildBlockTable(ctx, s.Blocks, round); err != nil {
				f.cfg.Log.WithError(err).WithField("version", s.Blocks.Version).Info("client-block table incomplete; fetching will be retried")
				wait = time.After(randomBetween(minChunkRetry, maxChunkRetry))
			} else {
				built = s.Blocks.Version
				round = 0
			}
		} else {
			round = 0
		}
		select {
		case <-wait:
		case <-f.blocksChanged:
		case <-ctx.Done():
			return
		}
	}
}

// buildBlockTable fetches the missing chunks of a table and puts it in force.
func (f *Follower) buildBlockTable(ctx context.Context, t *fescuepb.BlockTable, round int) error {
	if err := f.fetchChunks(ctx, t, round); err != nil {
		return err
	}
	table := blocks.New()
	for _, h := range t.ChunkHashes {
		data, _ := f.chunks.get(blocks.Hash(h))
		if err := table.AddChunk(blocks.Hash(h), data); err != nil {
			return err
		}
	}
	f.cfg.Blocks.Store(table)
	f.chunks.prune(t.ChunkHashes)
	f.cfg.Log.WithFields(logrus.Fields{"version": t.Version, "blocks": table.Len()}).Info("client-block table in force")
	return nil
}

// fetchChunks asks the sources, in order of preference, until no chunk is missing.
// In the first preferredRounds rounds it asks only the best kind of source. It
// returns the error of the last source asked if chunks are still missing.
func (f *Follower) fetchChunks(ctx context.Context, t *fescuepb.BlockTable, round int) error {
	plan := f.sources()
	err := errkind.New(errkind.NotFound, "no source of client-block chunks is known")
	for _, s := range plan {
		if s.kind != plan[0].kind && round < preferredRounds {
			break
		}
		if err = f.fetchFrom(ctx, s.addr, t); err == nil {
			return nil
		}
	}
	return err
}

// fetchFrom fetches the missing chunks from one source and verifies their hashes.
func (f *Follower) fetchFrom(ctx context.Context, addr string, t *fescuepb.BlockTable) error {
	conn, err := f.cfg.Dial(addr)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	client := fescuepb.NewFollowClient(conn)
	for _, raw := range t.ChunkHashes {
		h := blocks.Hash(raw)
		if _, ok := f.chunks.get(h); ok {
			continue
		}
		data, err := fetchChunk(ctx, client, raw)
		if err != nil {
			return err
		}
		if err := blocks.New().AddChunk(h, data); err != nil {
			return err // corrupted in transit; another source may have it
		}
		f.chunks.put(h, data)
	}
	return nil
}

func fetchChunk(ctx context.Context, client fescuepb.FollowClient, hash []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, chunkTimeout)
	defer cancel()
	reply, err := client.BlockChunk(ctx, &fescuepb.BlockChunkRequest{Hash: hash})
	return reply.GetData(), err
}

// BlockChunk returns a chunk that this entry holds. The error has kind NotFound if
// it does not hold the chunk.
func (r *relayServer) BlockChunk(_ context.Context, req *fescuepb.BlockChunkRequest) (*fescuepb.BlockChunkReply, error) {
	if len(req.Hash) == len(blocks.Hash{}) {
		if data, ok := r.follower.chunks.get(blocks.Hash(req.Hash)); ok {
			return &fescuepb.BlockChunkReply{Data: data}, nil
		}
	}
	return nil, errkind.Status(errkind.New(errkind.NotFound, "this entry does not hold the requested chunk"))
}
