package control

import (
	"context"
	"io"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/base/ring"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/version/blocks"
	"google.golang.org/grpc"
)

const (
	maxTableBytes      = 256 << 20        // limit of a client-block table in text form; 3.4 million blocks take about 85 MB
	replicateTimeout   = 60 * time.Second // limit for a majority of the replicas to fetch a table
	minPruneAge        = time.Hour        // age from which chunks that are not part of the accepted table are removed
	fetchRetryInterval = time.Second      // wait before missing chunks are requested again
)

// PutBlocks replaces the client-block table with one that the caller streams as
// text, in lines of the form "prefix,data centre". It returns once a majority of
// the replicas has stored the table and the log entry that refers to it is
// committed.
func (o *operator) PutBlocks(stream grpc.ClientStreamingServer[fescuepb.PutBlocksRequest, fescuepb.PutBlocksReply]) error {
	if err := o.s.requirePlatformTeam(stream.Context()); err != nil {
		return rpcError(err)
	}
	reply, err := o.s.putBlocks(stream.Context(), &uploadReader{stream: stream})
	if err != nil {
		return rpcError(err)
	}
	return stream.SendAndClose(reply)
}

// uploadReader reads the messages of an upload as one text.
type uploadReader struct {
	stream grpc.ClientStreamingServer[fescuepb.PutBlocksRequest, fescuepb.PutBlocksReply]
	unread []byte // rest of the last message
	total  int    // bytes received
}

func (r *uploadReader) Read(p []byte) (int, error) {
	for len(r.unread) == 0 {
		req, err := r.stream.Recv()
		if err != nil {
			return 0, err // io.EOF after the last message
		}
		r.unread = req.Data
		r.total += len(r.unread)
		if r.total > maxTableBytes {
			return 0, errkind.New(errkind.BadRequest, "the table exceeds the limit of %d bytes", maxTableBytes)
		}
	}
	n := copy(p, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}

func (s *Server) putBlocks(ctx context.Context, text io.Reader) (*fescuepb.PutBlocksReply, error) {
	if s.cfg.Chunks == nil {
		return nil, errkind.New(errkind.NotFound, "this replica keeps no client-block table")
	}
	table, err := blocks.ParseText(text)
	if err != nil {
		return nil, err
	}
	chunks, err := blocks.Encode(table)
	if err != nil {
		return nil, err
	}
	if err := s.cfg.Chunks.Put(chunks); err != nil {
		return nil, err
	}
	t := &fescuepb.BlockTable{Blocks: uint64(table.Len())}
	for _, c := range chunks {
		t.ChunkHashes = append(t.ChunkHashes, c.Hash[:])
	}
	if err := s.replicateToMajority(ctx, t.ChunkHashes); err != nil {
		return nil, err
	}
	res, err := s.commit(ctx, &fescuepb.Command{Body: &fescuepb.Command_BlockTable{BlockTable: t}})
	if err != nil {
		return nil, err
	}
	s.cfg.Logger.WithFields(map[string]any{"blocks": t.Blocks, "chunks": len(chunks), "version": res.Version}).Info("client-block table replaced")
	return &fescuepb.PutBlocksReply{Version: res.Version, Blocks: t.Blocks}, nil
}

// replicateToMajority returns once a majority of the voters, this replica included,
// has stored the chunks. The error has kind NotReady.
func (s *Server) replicateToMajority(ctx context.Context, hashes [][]byte) error {
	ctx, cancel := context.WithTimeout(ctx, replicateTimeout)
	defer cancel()
	voters := s.cfg.OtherVoters()
	results := ring.New[error](len(voters))
	for _, addr := range voters {
		go func() { results.Offer(s.requestHoldChunks(ctx, addr, hashes)) }()
	}
	needed := (len(voters) + 1) / 2 // besides this replica
	var last error
	for range voters {
		if needed <= 0 {
			return nil
		}
		err, ctxErr := results.Take(ctx)
		if ctxErr != nil {
			return errkind.New(errkind.NotReady, "no majority of the replicas stored the table in time; nothing was changed")
		}
		if err == nil {
			needed--
		} else {
			last = err
		}
	}
	if needed > 0 {
		return errkind.New(errkind.NotReady, "no majority of the replicas stored the table; nothing was changed: %v", last)
	}
	return nil
}

// requestHoldChunks makes the replica at addr fetch the chunks from this one, and
// returns once it has stored them.
func (s *Server) requestHoldChunks(ctx context.Context, addr string, hashes [][]byte) error {
	conn, err := s.peers.get(addr)
	if err != nil {
		return err
	}
	_, err = fescuepb.NewControlPeersClient(conn).HoldChunks(ctx, &fescuepb.HoldChunksRequest{Hashes: hashes, Source: s.cfg.Addr})
	return err
}

// HoldChunks fetches the chunks that this replica lacks from the calling replica,
// and returns once they are stored.
func (c *controlPeers) HoldChunks(ctx context.Context, r *fescuepb.HoldChunksRequest) (*fescuepb.HoldChunksReply, error) {
	if c.s.cfg.Chunks == nil {
		return nil, rpcError(errkind.New(errkind.NotFound, "this replica keeps no client-block table"))
	}
	if err := c.s.fetchChunks(ctx, r.Hashes, r.Source); err != nil {
		return nil, rpcError(err)
	}
	return &fescuepb.HoldChunksReply{}, nil
}

// fetchChunks fetches the chunks that this replica lacks from the replica at addr
// and stores them.
func (s *Server) fetchChunks(ctx context.Context, hashes [][]byte, addr string) error {
	conn, err := s.peers.get(addr)
	if err != nil {
		return err
	}
	client := fescuepb.NewFollowClient(conn)
	for _, h := range hashes {
		if len(h) != len(blocks.Hash{}) {
			return errkind.New(errkind.BadRequest, "a chunk hash has %d bytes", len(h))
		}
		hash := blocks.Hash(h)
		if s.cfg.Chunks.Has(hash) {
			continue
		}
		reply, err := client.BlockChunk(ctx, &fescuepb.BlockChunkRequest{Hash: h})
		if err != nil {
			return err
		}
		if err := s.cfg.Chunks.Put([]blocks.Chunk{{Hash: hash, Data: reply.Data}}); err != nil {
			return err
		}
	}
	return nil
}

// BlockChunk returns the chunk of the client-block table with the given hash, or
// an error of kind NotFound.
func (f *follow) BlockChunk(_ context.Context, r *fescuepb.BlockChunkRequest) (*fescuepb.BlockChunkReply, error) {
	if f.s.cfg.Chunks == nil || len(r.Hash) != len(blocks.Hash{}) {
		return nil, rpcError(errkind.New(errkind.NotFound, "this replica does not have the chunk"))
	}
	data, err := f.s.cfg.Chunks.Get(blocks.Hash(r.Hash))
	if err != nil {
		return nil, rpcError(err)
	}
	return &fescuepb.BlockChunkReply{Data: data}, nil
}

// maintainChunks fetches the chunks of the accepted table that this replica lacks
// and removes those of older tables, until ctx ends. While chunks are missing, it
// retries every fetchRetryInterval.
func (s *Server) maintainChunks(ctx context.Context) {
	maintained := uint64(0)
	for {
		changed := s.cfg.Log.Changed()
		t := s.cfg.Machine.Blocks()
		if t != nil && t.Version != maintained {
			if s.fetchTable(ctx, t) {
				maintained = t.Version
				continue
			}
			changed = nil
		}
		select {
		case <-changed:
		case <-time.After(fetchRetryInterval):
		case <-ctx.Done():
			return
		}
	}
}

// fetchTable makes this replica store all chunks of t and removes those of older
// tables. It reports whether the table is complete.
func (s *Server) fetchTable(ctx context.Context, t *fescuepb.BlockTable) bool {
	if err := s.fetchFromAnyReplica(ctx, t.ChunkHashes); err != nil {
		s.cfg.Logger.WithError(err).WithField("version", t.Version).Warn("chunks of the client-block table are missing")
		return false
	}
	keep := map[blocks.Hash]bool{}
	for _, h := range t.ChunkHashes {
		keep[blocks.Hash(h)] = true
	}
	if err := s.cfg.Chunks.Prune(keep, minPruneAge); err != nil {
		s.cfg.Logger.WithError(err).Warn("old chunks were not removed")
	}
	return true
}

// fetchFromAnyReplica fetches the missing chunks from the other replicas, trying
// one after the other. It returns the last error if none has them all.
func (s *Server) fetchFromAnyReplica(ctx context.Context, hashes [][]byte) error {
	if s.hasAllChunks(hashes) {
		return nil
	}
	err := errkind.New(errkind.NotFound, "no other replica is known")
	for _, addr := range s.cfg.Replicas() {
		if err = s.fetchChunks(ctx, hashes, addr); err == nil {
			return nil
		}
	}
	return err
}

func (s *Server) hasAllChunks(hashes [][]byte) bool {
	for _, h := range hashes {
		if !s.cfg.Chunks.Has(blocks.Hash(h)) {
			return false
		}
	}
	return true
}
