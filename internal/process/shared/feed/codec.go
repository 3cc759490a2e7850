package feed

import (
	"google.golang.org/grpc/encoding"
	_ "google.golang.org/grpc/encoding/proto" // registers the codec that this one wraps
	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/proto"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
)

// frame is an update that is encoded once to be sent to many followers.
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

// codec extends gRPC's protobuf codec: it sends frames without encoding them
// again. grpc.PreparedMsg cannot be used for this, because its buffers are freed
// after one send.
type codec struct{ encoding.CodecV2 }

// Marshal encodes v, or returns the data of v if it is a frame.
func (c codec) Marshal(v any) (mem.BufferSlice, error) {
	if f, ok := v.(*frame); ok {
		return mem.BufferSlice{mem.SliceBuffer(f.data)}, nil
	}
	return c.CodecV2.Marshal(v)
}

// init replaces the registered protobuf codec, so that every gRPC server that
// offers the Follow service can send frames without a server option.
func init() { encoding.RegisterCodecV2(codec{encoding.GetCodecV2("proto")}) }
