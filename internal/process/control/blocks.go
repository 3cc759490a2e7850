package control

import (
	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// PutBlocks replaces the client-block table.
func (o *operator) PutBlocks(stream grpc.ClientStreamingServer[fescuepb.PutBlocksRequest, fescuepb.PutBlocksReply]) error {
	if err := o.s.requirePlatform(stream.Context()); err != nil {
		return rpcError(err)
	}
	return status.Error(codes.Unimplemented, "the client-block table can not be replaced yet")
}
