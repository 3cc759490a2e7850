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

// Remote is a Peer behind a gRPC connection.
type GRPCPeer struct {
	Dial func(addr string) (*grpc.ClientConn, error)
	Addr string
}

// Record sends one record.
func (r GRPCPeer) Record(ctx context.Context, req *fescuepb.RecordRequest) (*fescuepb.RecordReply, error) {
	conn, err := r.Dial(r.Addr)
	if err != nil {
		return nil, err
	}
	return fescuepb.NewPeersClient(conn).Record(ctx, req)
}

// Copy sends a whole ledger.
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

// Fetch asks for a whole ledger.
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

// Drop releases a backup.
func (r GRPCPeer) Drop(ctx context.Context, req *fescuepb.DropRequest) (*fescuepb.DropReply, error) {
	conn, err := r.Dial(r.Addr)
	if err != nil {
		return nil, err
	}
	return fescuepb.NewPeersClient(conn).Drop(ctx, req)
}

// Server answers the ledger calls of other entries.
type Server struct{ Service *Service }

// Record takes over one record.
func (s Server) Record(ctx context.Context, r *fescuepb.RecordRequest) (*fescuepb.RecordReply, error) {
	return s.Service.Record(ctx, r)
}

// Copy takes over a whole ledger.
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

// Fetch hands a ledger over.
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

// Drop releases this instance as a backup.
func (s Server) Drop(ctx context.Context, r *fescuepb.DropRequest) (*fescuepb.DropReply, error) {
	return s.Service.Drop(ctx, r)
}

// refuseTimeout bounds a connection attempt that looks for a refusal.
const refusalProbeTimeout = 300 * time.Millisecond

// AddressRefuses reports whether a member's address refuses connections.
func AddressRefuses(m *fescuepb.Member) bool {
	conn, err := net.DialTimeout("tcp", m.GrpcAddr, refusalProbeTimeout)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
