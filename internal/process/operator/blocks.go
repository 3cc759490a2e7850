package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/integrii/flaggy"
	"google.golang.org/grpc"
)

const (
	// uploadTimeout bounds one upload. A table of 3.4 million blocks is about 70 MB.
	uploadTimeout   = 3 * time.Minute
	uploadChunkSize = 1 << 20 // bytes of table data in one message
)

// blocksCmd replaces the client-block table, which maps address prefixes of
// clients to data centres.
type blocksCmd struct{ file string }

func (c *blocksCmd) define() *flaggy.Subcommand {
	s := newSubcommand("blocks", "Replaces the client-block table (team platform only).",
		"fescuectl --config ctl.yaml blocks --file blocks.csv")
	s.String(&c.file, "f", "file", "File with lines \"prefix,data_centre\".")
	return s
}

func (c *blocksCmd) run(e *env) error {
	if c.file == "" {
		return exitErrorf(ExitUsage, "set --file")
	}
	cl, err := e.connect()
	if err != nil {
		return err
	}
	for _, server := range cl.servers {
		var reply *fescuepb.PutBlocksReply
		reply, err = c.upload(cl, server)
		if err == nil {
			e.print(map[string]any{"version": reply.Version, "blocks": reply.Blocks}, func(w io.Writer) {
				fmt.Fprintf(w, "client-block table replaced: %d blocks, version %d\n", reply.Blocks, reply.Version)
			})
			return nil
		}
		if !isRetryable(err) {
			return err
		}
	}
	return err
}

// upload streams the file to one server.
func (c *blocksCmd) upload(cl *client, server string) (*fescuepb.PutBlocksReply, error) {
	file, err := os.Open(c.file)
	if err != nil {
		return nil, exitErrorf(ExitUsage, "%v", err)
	}
	defer file.Close()
	conn, err := cl.links.Dial(server)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), uploadTimeout)
	defer cancel()
	stream, err := fescuepb.NewOperatorClient(conn).PutBlocks(ctx, grpc.PerRPCCredentials(cl.creds))
	if err != nil {
		return nil, err
	}
	buf := make([]byte, uploadChunkSize)
	for {
		n, err := file.Read(buf)
		if n > 0 && stream.Send(&fescuepb.PutBlocksRequest{Data: buf[:n]}) != nil {
			break // CloseAndRecv returns the cause
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	return stream.CloseAndRecv()
}
