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

// TeamKey is the metadata key with the team on plaintext loopback links.
const TeamMetadataKey = "fescue-team"

const (
	authorizationKey = "authorization"
	bearerPrefix     = "Bearer "
)

// Authenticator finds the team of an operator's call. It is safe for
// concurrent use.
type Authenticator struct {
	file string
	log  *logrus.Entry

	mu    sync.Mutex
	watch *filewatch.Watch
	keys  []storedKey
}

// New reads the keys file. The error has kind InvalidSettings.
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
		return "", errkind.New(errkind.Unauthenticated, "send the metadata %s: Bearer <key>, once", authorizationKey)
	}
	team, ok := teamOfKey(a.currentKeys(), strings.TrimPrefix(values[0], bearerPrefix))
	if !ok {
		return "", errkind.New(errkind.Unauthenticated, "the key belongs to no team")
	}
	return team, nil
}

// current returns the keys of the file. A file that is not usable leaves the
// earlier keys in use.
func (a *Authenticator) currentKeys() []storedKey {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.watch.Changed(time.Now()) {
		return a.keys
	}
	keys, err := loadKeys(a.file)
	if err != nil {
		a.log.WithError(err).Error("changed keys file is not usable, keeping the earlier keys")
		return a.keys
	}
	a.log.WithField("keys", len(keys)).Info("operator keys reloaded")
	a.keys = keys
	return keys
}

// MayEdit returns an error of kind Forbidden unless the team may change the
// section of owner. Only the team itself may.
func CheckSectionOwner(team, owner string) error {
	if team != owner {
		return errkind.New(errkind.Forbidden, "team %q may not change the section of team %q", team, owner)
	}
	return nil
}

// MayPutBlocks returns an error of kind Forbidden unless the team may replace
// the client-block table.
func CheckPlatformTeam(team string) error {
	if team != document.PlatformTeam {
		return errkind.New(errkind.Forbidden, "only team %q may do this, not team %q", document.PlatformTeam, team)
	}
	return nil
}

// PerCall attaches a key to the calls of a client. It implements
// credentials.PerRPCCredentials.
type CallCredentials struct {
	Key string
	// Team is sent instead of a key if there is none, on plaintext links only.
	// Control accepts it on loopback if it has no keys file.
	Team string
	// Plaintext allows the key on links without TLS, which are limited to
	// loopback addresses.
	Plaintext bool
}

// GetRequestMetadata returns the metadata with the key.
func (p CallCredentials) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	if p.Key == "" && p.Plaintext {
		return map[string]string{TeamMetadataKey: p.Team}, nil
	}
	return map[string]string{authorizationKey: bearerPrefix + p.Key}, nil
}

// RequireTransportSecurity reports whether gRPC must refuse to send the key
// without TLS.
func (p CallCredentials) RequireTransportSecurity() bool { return !p.Plaintext }

// String keeps the key out of logs and error messages.
func (p CallCredentials) String() string { return "operator key" }

// GoString keeps the key out of logs and error messages.
func (p CallCredentials) GoString() string { return p.String() }
