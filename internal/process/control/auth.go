package control

import (
	"context"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/process/control/operatorauth"
	"google.golang.org/grpc/metadata"
)

// Authenticator tells which team sent a call.
type Authenticator interface {
	// Team returns the team, or an error of kind Unauthenticated.
	Team(ctx context.Context) (team string, err error)
}

// LoopbackTeam takes the team from the metadata key fescue-team. It proves
// nothing and is only for plaintext loopback; elsewhere it refuses.
type LoopbackTeam struct{ Plaintext bool }

// Team returns the team of the call.
func (a LoopbackTeam) Team(ctx context.Context) (string, error) {
	if !a.Plaintext {
		return "", errkind.New(errkind.Unauthenticated, "no operator keys are configured")
	}
	values := metadata.ValueFromIncomingContext(ctx, operatorauth.TeamKey)
	if len(values) != 1 || values[0] == "" {
		return "", errkind.New(errkind.Unauthenticated, "the call names no team")
	}
	return values[0], nil
}

// authorOf returns the calling team if it may change the section of team.
func (s *Server) authorizeEdit(ctx context.Context, team string) (string, error) {
	caller, err := s.cfg.Auth.Team(ctx)
	if err != nil {
		return "", err
	}
	if err := operatorauth.MayEdit(caller, team); err != nil {
		return "", err
	}
	return caller, nil
}

// requirePlatform returns an error unless the platform team calls.
func (s *Server) requirePlatformTeam(ctx context.Context) error {
	caller, err := s.cfg.Auth.Team(ctx)
	if err != nil {
		return err
	}
	return operatorauth.MayPutBlocks(caller)
}
