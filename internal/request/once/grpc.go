package once

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"google.golang.org/grpc"
)

// GRPCPeer is a Peer that calls another entry over gRPC.
type GRPCPeer struct {
	Dial func(addr string) (*grpc.ClientConn, error)
	Addr string
}

// Record sends one record to the peer.
func (r GRPCPeer) Record(ctx context.Context, req *fescuepb.RecordRequest) (*fescuepb.RecordReply, error) {
	conn, err := r.Dial(r.Addr)
	if err != nil {
		return nil, err
	}
	return fescuepb.NewPeersClient(conn).Record(ctx, req)
}

// Copy streams a whole ledger to the peer.
func (r GRPCPeer) Copy(ctx context.Context, messages []*fescuepb.CopyRequest) (*fescuepb.RecordReply, error) {
	conn, err := r.Dial(r.Addr)
	if err != nil {
		return nil, err
	}
	stream, err := fescuepb.NewPeersClient(conn).Copy(ctx)
	if err != nil {
		return nil, err
	}
	for _, m := range messages {
		if err := stream.Send(m); err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
	}
	return stream.CloseAndRecv()
}

// Fetch requests a whole ledger from the peer.
func (r GRPCPeer) Fetch(ctx context.Context, req *fescuepb.FetchRequest) ([]*fescuepb.CopyRequest, error) {
	conn, err := r.Dial(r.Addr)
	if err != nil {
		return nil, err
	}
	stream, err := fescuepb.NewPeersClient(conn).Fetch(ctx, req)
	if err != nil {
		return nil, err
	}
	var out []*fescuepb.CopyRequest
	for {
		m, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, err
		}
		out = append(out, m)
	}
}

// Drop asks the peer to remove its backup.
func (r GRPCPeer) Drop(ctx context.Context, req *fescuepb.DropRequest) (*fescuepb.DropReply, error) {
	conn, err := r.Dial(r.Addr)
	if err != nil {
		return nil, err
	}
	return fescuepb.NewPeersClient(conn).Drop(ctx, req)
}

// Server implements the ledger calls of the Peers gRPC service for other entries.
type Server struct{ Service *Service }

// Record stores one record.
func (s Server) Record(ctx context.Context, r *fescuepb.RecordRequest) (*fescuepb.RecordReply, error) {
	return s.Service.Record(ctx, r)
}

// Copy receives a whole ledger and stores it as a backup.
func (s Server) Copy(stream grpc.ClientStreamingServer[fescuepb.CopyRequest, fescuepb.RecordReply]) error {
	var messages []*fescuepb.CopyRequest
	for {
		m, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		messages = append(messages, m)
	}
	reply, err := s.Service.Copy(stream.Context(), messages)
	if err != nil {
		return err
	}
	return stream.SendAndClose(reply)
}

// Fetch hands over a ledger.
func (s Server) Fetch(r *fescuepb.FetchRequest, stream grpc.ServerStreamingServer[fescuepb.CopyRequest]) error {
	messages, err := s.Service.Fetch(stream.Context(), r)
	if err != nil {
		return err
	}
	for _, m := range messages {
		if err := stream.Send(m); err != nil {
			return err
		}
	}
	return nil
}

// Drop removes the backup on this instance.
func (s Server) Drop(ctx context.Context, r *fescuepb.DropRequest) (*fescuepb.DropReply, error) {
	return s.Service.Drop(ctx, r)
}

// refusalProbeTimeout bounds the connection attempt of AddressRefuses.
const refusalProbeTimeout = 300 * time.Millisecond

// AddressRefuses reports whether a member's address refuses connections. It
// reports false if the address does not answer within refusalProbeTimeout,
// because that proves nothing.
func AddressRefuses(m *fescuepb.Member) bool {
	conn, err := net.DialTimeout("tcp", m.GrpcAddr, refusalProbeTimeout)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
