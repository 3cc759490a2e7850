package operator

import (
	"context"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"github.com/fescuejunction/fescuejunction/internal/connection/peer"
	"github.com/fescuejunction/fescuejunction/internal/process/control/operatorauth"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	// tryTimeout is how long one server has to answer before the next is asked.
	tryTimeout = 3 * time.Second
	// roundPause is the pause after every server has failed, for example
	// while a new leader is elected.
	roundPause = 200 * time.Millisecond
)

// client calls the first control instance that answers.
type client struct {
	servers []string
	links   *peer.Links
	creds   operatorauth.PerCall
	timeout time.Duration
	next    int // position of the server that answered last
}

func newClient(c Config, log *logrus.Entry) (*client, error) {
	if len(c.Servers) == 0 {
		return nil, fail(ExitUsage, "set the control instances with --server host:port or servers in the settings")
	}
	key, err := c.key()
	if err != nil {
		return nil, err
	}
	links, err := peer.NewLinks(c.TLS, log)
	if err != nil {
		return nil, fail(ExitUsage, "%w", err)
	}
	return &client{
		servers: c.Servers,
		links:   links,
		creds:   operatorauth.PerCall{Key: key, Team: c.Team, Plaintext: c.TLS.Plaintext()},
		timeout: c.Timeout.AsDuration(),
	}, nil
}

func (c *client) close() { c.links.Close() }

// call asks the servers in turn until one answers or the time is up. Calls
// must be safe to repeat; Apply is, by its change identifier.
func call[Req, Rep any](c *client, method func(fescuepb.OperatorClient, context.Context, Req, ...grpc.CallOption) (Rep, error), req Req) (Rep, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	var last error
	for {
		for range c.servers {
			reply, err := try(ctx, c, method, req)
			if err == nil || !worthRetry(err) {
				return reply, err
			}
			if last == nil || ctx.Err() == nil {
				last = err // not the end of the time itself
			}
			c.next = (c.next + 1) % len(c.servers)
		}
		select {
		case <-time.After(roundPause):
		case <-ctx.Done():
			var none Rep
			return none, fail(ExitUnreachable, "no server of %q answered within %s: %w", c.servers, c.timeout, last)
		}
	}
}

func try[Req, Rep any](ctx context.Context, c *client, method func(fescuepb.OperatorClient, context.Context, Req, ...grpc.CallOption) (Rep, error), req Req) (Rep, error) {
	conn, err := c.links.Dial(c.servers[c.next])
	if err != nil {
		var none Rep
		return none, fail(ExitUsage, "%w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	return method(fescuepb.NewOperatorClient(conn), ctx, req, grpc.PerRPCCredentials(c.creds))
}

// worthRetry reports whether another server, or the same one later, may
// answer.
func worthRetry(err error) bool {
	s, ok := status.FromError(err)
	return ok && (s.Code() == codes.Unavailable || s.Code() == codes.DeadlineExceeded)
}

// sections returns the version and every section that exists, or only the
// team's if team is set.
func (c *client) sections(team string) (*fescuepb.GetReply, error) {
	reply, err := call(c, fescuepb.OperatorClient.Get, &fescuepb.GetRequest{Team: team})
	if err != nil {
		return nil, err
	}
	kept := reply.Sections[:0]
	for _, s := range reply.Sections {
		if !s.Deleted {
			kept = append(kept, s)
		}
	}
	reply.Sections = kept
	return reply, nil
}

// section returns the team's section, or one with revision 0 if there is
// none. A deleted section keeps its revision.
func (c *client) section(team string) (*fescuepb.Section, error) {
	reply, err := call(c, fescuepb.OperatorClient.Get, &fescuepb.GetRequest{Team: team})
	if status.Code(err) == codes.NotFound {
		return &fescuepb.Section{Team: team}, nil
	}
	if err != nil {
		return nil, err
	}
	for _, s := range reply.Sections {
		if s.Team == team {
			return s, nil
		}
	}
	return &fescuepb.Section{Team: team}, nil
}
