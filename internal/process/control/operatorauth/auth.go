package operatorauth

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/base/filewatch"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"github.com/fescuejunction/fescuejunction/internal/version/document"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/metadata"
)

// TeamMetadataKey is the gRPC metadata key under which a client sends its team on
// plaintext loopback links.
const TeamMetadataKey = "fescue-team"

const (
	authorizationKey = "authorization"
	bearerPrefix     = "Bearer "
)

// Authenticator determines the team of an operator's call from the key that the call
// carries. It is safe for concurrent use.
type Authenticator struct {
	file string
	log  *logrus.Entry

	mu    sync.Mutex
	watch *filewatch.Watcher
	keys  []storedKey
}

// New returns an authenticator for the keys file, which it reads again after each
// change. The error has kind InvalidSettings.
func New(file string, log *logrus.Entry) (*Authenticator, error) {
	watch := filewatch.New(file)
	keys, err := loadKeys(file)
	if err != nil {
		return nil, err
	}
	return &Authenticator{file: file, log: log, watch: watch, keys: keys}, nil
}

// Team returns the team whose key the call carries. The error has kind
// Unauthenticated.
func (a *Authenticator) Team(ctx context.Context) (string, error) {
	values := metadata.ValueFromIncomingContext(ctx, authorizationKey)
	if len(values) != 1 || !strings.HasPrefix(values[0], bearerPrefix) {
		return "", errkind.New(errkind.Unauthenticated, "exactly one metadata value \"%s: Bearer <key>\" is required", authorizationKey)
	}
	team, ok := teamOfKey(a.currentKeys(), strings.TrimPrefix(values[0], bearerPrefix))
	if !ok {
		return "", errkind.New(errkind.Unauthenticated, "the key does not belong to any team")
	}
	return team, nil
}

// currentKeys returns the keys in the file. If the file has changed and is invalid,
// it returns the earlier keys, so that an error in the file does not lock out all
// operators.
func (a *Authenticator) currentKeys() []storedKey {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.watch.Changed(time.Now()) {
		return a.keys
	}
	keys, err := loadKeys(a.file)
	if err != nil {
		a.log.WithError(err).Error("changed keys file is invalid; keeping the earlier keys")
		return a.keys
	}
	a.log.WithField("keys", len(keys)).Info("operator keys reloaded")
	a.keys = keys
	return keys
}

// CheckSectionOwner returns an error of kind Forbidden unless team may change the
// section of team owner. Each team may change only its own section.
func CheckSectionOwner(team, owner string) error {
	if team != owner {
		return errkind.New(errkind.Forbidden, "team %q may not change the section of team %q", team, owner)
	}
	return nil
}

// CheckPlatformTeam returns an error of kind Forbidden unless team is the platform
// team. It guards operations that only that team may perform, such as replacing the
// client-block table.
func CheckPlatformTeam(team string) error {
	if team != document.PlatformTeam {
		return errkind.New(errkind.Forbidden, "only team %q may perform this operation, not team %q", document.PlatformTeam, team)
	}
	return nil
}

// CallCredentials attaches the key of a team to each call of a client. It implements
// credentials.PerRPCCredentials.
type CallCredentials struct {
	Key string
	// Team is sent instead of the key if Key is empty and Plaintext is set. Control
	// accepts it on loopback links if it has no keys file.
	Team string
	// Plaintext allows sending the key on links without TLS, which are limited to
	// loopback addresses.
	Plaintext bool
}

// GetRequestMetadata returns the metadata with the key or the team.
func (p CallCredentials) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	if p.Key == "" && p.Plaintext {
		return map[string]string{TeamMetadataKey: p.Team}, nil
	}
	return map[string]string{authorizationKey: bearerPrefix + p.Key}, nil
}

// RequireTransportSecurity reports whether gRPC must refuse to send the key
// without TLS.
func (p CallCredentials) RequireTransportSecurity() bool { return !p.Plaintext }

// String returns a fixed text, so that the key does not appear in logs and error
// messages.
func (p CallCredentials) String() string { return "operator key" }

// GoString returns the same text as String for the format %#v.
func (p CallCredentials) GoString() string { return p.String() }
