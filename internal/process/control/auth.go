package control

import (
	"context"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/process/control/operatorauth"
	"google.golang.org/grpc/metadata"
)

// Authenticator identifies the team that sent a call.
type Authenticator interface {
	// Team returns the team of the call in ctx, or an error of kind
	// Unauthenticated.
	Team(ctx context.Context) (team string, err error)
}

// LoopbackTeam trusts the team that the caller names in the metadata key
// fescue-team. It verifies nothing and is meant for plaintext loopback
// connections only; unless Plaintext is set, it rejects every call.
type LoopbackTeam struct{ Plaintext bool }

// Team returns the team that the caller names, or an error of kind
// Unauthenticated.
func (a LoopbackTeam) Team(ctx context.Context) (string, error) {
	if !a.Plaintext {
		return "", errkind.New(errkind.Unauthenticated, "no operator keys are configured")
	}
	values := metadata.ValueFromIncomingContext(ctx, operatorauth.TeamMetadataKey)
	if len(values) != 1 || values[0] == "" {
		return "", errkind.New(errkind.Unauthenticated, "the call does not name a team")
	}
	return values[0], nil
}

// authorizeEdit returns the calling team if it may change the section of team. The
// error has kind Unauthenticated or Forbidden.
func (s *Server) authorizeEdit(ctx context.Context, team string) (string, error) {
	caller, err := s.cfg.Auth.Team(ctx)
	if err != nil {
		return "", err
	}
	if err := operatorauth.CheckSectionOwner(caller, team); err != nil {
		return "", err
	}
	return caller, nil
}

// requirePlatformTeam returns an error of kind Unauthenticated or Forbidden unless
// the platform team sent the call.
func (s *Server) requirePlatformTeam(ctx context.Context) error {
	caller, err := s.cfg.Auth.Team(ctx)
	if err != nil {
		return err
	}
	return operatorauth.CheckPlatformTeam(caller)
}
