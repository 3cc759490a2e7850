package errkind

import (
	"google.golang.org/grpc/status"
)

// Status returns err as a gRPC status error with the code of its kind, or nil
// if err is nil. The message starts with the kind, so that a client can
// distinguish kinds that share a code.
func Status(err error) error {
	if err == nil {
		return nil
	}
	k := Of(err)
	return status.Error(k.Response().Code, string(k)+": "+err.Error())
}
