package errkind

import (
	"google.golang.org/grpc/status"
)

// Status returns err as a gRPC status error with the code of its kind. The
// message starts with the kind, so that a client can tell kinds with equal
// codes apart.
func Status(err error) error {
	if err == nil {
		return nil
	}
	k := Of(err)
	return status.Error(k.Answer().Code, string(k)+": "+err.Error())
}
