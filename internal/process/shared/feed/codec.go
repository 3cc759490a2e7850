package feed

import (
	"google.golang.org/grpc/encoding"
	_ "google.golang.org/grpc/encoding/proto" // registers the codec that this one wraps
	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/proto"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// frame is an update that is encoded once and sent to many followers.
type frame struct {
	version uint64
	counter uint64
	data    []byte
}

func newFrame(u *fescuepb.Update) (*frame, error) {
	data, err := proto.Marshal(u)
	if err != nil {
		return nil, err
	}
	return &frame{version: u.Version, counter: u.Counter, data: data}, nil
}

// codec is gRPC's protobuf codec that also passes frames through. The
// PreparedMsg of gRPC can't be shared: its buffers are freed after one send.
type codec struct{ encoding.CodecV2 }

// Marshal encodes v.
func (c codec) Marshal(v any) (mem.BufferSlice, error) {
	if f, ok := v.(*frame); ok {
		return mem.BufferSlice{mem.SliceBuffer(f.data)}, nil
	}
	return c.CodecV2.Marshal(v)
}

// The codec replaces the one registered under the same name, so that every
// server that offers Follow can send frames without an option of its own.
func init() { encoding.RegisterCodecV2(codec{encoding.GetCodecV2("proto")}) }
