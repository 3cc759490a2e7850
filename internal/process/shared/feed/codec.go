package feed

import (
	"bytes"
	"compress/flate"
	"io"

	"google.golang.org/grpc/encoding"
	_ "google.golang.org/grpc/encoding/proto" // registers the codec that this one wraps
	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/proto"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// minCompressedBytes is the size from which an encoded update is compressed. DEFLATE
// saves little of a shorter one.
const minCompressedBytes = 512

// MaxUpdateBytes bounds the size of a received update, also once it is decompressed.
const MaxUpdateBytes = 64 << 20

// frame is an update that is encoded once to be sent to many followers.
type frame struct {
	version uint64
	counter uint64
	isPage  bool // more pages follow
	isBeat  bool // without content, for a follower that must wait for it
	data    []byte
}

func newFrame(u *fescuepb.Update, compressed bool) (*frame, error) {
	data, err := proto.Marshal(u)
	if err == nil && compressed && len(data) >= minCompressedBytes {
		data, err = compress(data)
	}
	if err != nil {
		return nil, err
	}
	f := &frame{version: u.Version, counter: u.Counter, data: data}
	f.isBeat = u.Next != nil && proto.Equal(u.From, u.Next)
	f.isPage = u.Next != nil && !f.isBeat
	return f, nil
}

// compress returns an encoded update that holds another one in compressed form.
func compress(data []byte) ([]byte, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return proto.Marshal(&fescuepb.Update{Compressed: buf.Bytes()})
}

// Decompress returns the update that u holds in compressed form, or u itself if it
// holds none. The error has kind BadRequest.
func Decompress(u *fescuepb.Update) (*fescuepb.Update, error) {
	if u.Compressed == nil {
		return u, nil
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(u.Compressed)), MaxUpdateBytes+1))
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "decompress an update")
	}
	if len(data) > MaxUpdateBytes {
		return nil, errkind.New(errkind.BadRequest, "a decompressed update exceeds %d bytes", MaxUpdateBytes)
	}
	out := &fescuepb.Update{}
	if err := proto.Unmarshal(data, out); err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "decode a decompressed update")
	}
	return out, nil
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
