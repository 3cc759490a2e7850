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
	// attemptTimeout bounds a call to one server; after it the next server is
	// called.
	attemptTimeout = 3 * time.Second
	// retryDelay is the delay before the servers are called again after all of
	// them have failed, for example while a new leader is elected.
	retryDelay = 200 * time.Millisecond
)

// client calls the operator API of the control replicas and fails over between
// them.
type client struct {
	servers     []string
	links       *peer.Links
	creds       operatorauth.CallCredentials
	timeout     time.Duration
	serverIndex int // index in servers of the next one to call
}

func newClient(c Config, log *logrus.Entry) (*client, error) {
	if len(c.Servers) == 0 {
		return nil, exitErrorf(ExitUsage, "set the control instances with --server host:port or servers in the settings")
	}
	key, err := c.readKey()
	if err != nil {
		return nil, err
	}
	links, err := peer.NewLinks(c.TLS, log)
	if err != nil {
		return nil, exitErrorf(ExitUsage, "%w", err)
	}
	return &client{
		servers: c.Servers,
		links:   links,
		creds:   operatorauth.CallCredentials{Key: key, Team: c.Team, Plaintext: c.TLS.Plaintext()},
		timeout: c.Timeout.AsDuration(),
	}, nil
}

func (c *client) close() { c.links.Close() }

// callWithFailover calls the servers in turn until one answers or c.timeout has
// passed. A request may reach more than one server, so it must be idempotent;
// Apply is idempotent because of its change identifier.
func callWithFailover[Req, Rep any](c *client, method func(fescuepb.OperatorClient, context.Context, Req, ...grpc.CallOption) (Rep, error), req Req) (Rep, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	var lastErr error
	for {
		for range c.servers {
			reply, err := callServer(ctx, c, method, req)
			if err == nil || !isRetryable(err) {
				return reply, err
			}
			if lastErr == nil || ctx.Err() == nil {
				lastErr = err // keeps the cause when the overall timeout interrupts an attempt
			}
			c.serverIndex = (c.serverIndex + 1) % len(c.servers)
		}
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
			var zero Rep
			return zero, exitErrorf(ExitUnreachable, "no server of %q answered within %s: %w", c.servers, c.timeout, lastErr)
		}
	}
}

// callServer makes one attempt at the server at c.serverIndex.
func callServer[Req, Rep any](ctx context.Context, c *client, method func(fescuepb.OperatorClient, context.Context, Req, ...grpc.CallOption) (Rep, error), req Req) (Rep, error) {
	conn, err := c.links.Dial(c.servers[c.serverIndex])
	if err != nil {
		var zero Rep
		return zero, exitErrorf(ExitUsage, "%w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return method(fescuepb.NewOperatorClient(conn), ctx, req, grpc.PerRPCCredentials(c.creds))
}

// isRetryable reports whether the call may succeed at another server, or at the
// same one later.
func isRetryable(err error) bool {
	s, ok := status.FromError(err)
	return ok && (s.Code() == codes.Unavailable || s.Code() == codes.DeadlineExceeded)
}

// sections returns the version of the document and its sections without the
// deleted ones. If team is set, only that team's section is returned.
func (c *client) sections(team string) (*fescuepb.GetReply, error) {
	reply, err := callWithFailover(c, fescuepb.OperatorClient.Get, &fescuepb.GetRequest{Team: team})
	if err != nil {
		return nil, err
	}
	existing := reply.Sections[:0]
	for _, s := range reply.Sections {
		if !s.Deleted {
			existing = append(existing, s)
		}
	}
	reply.Sections = existing
	return reply, nil
}

// section returns the team's section, or a section with revision 0 if the team
// has never had one. A deleted section is returned with its revision.
func (c *client) section(team string) (*fescuepb.Section, error) {
	reply, err := callWithFailover(c, fescuepb.OperatorClient.Get, &fescuepb.GetRequest{Team: team})
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
