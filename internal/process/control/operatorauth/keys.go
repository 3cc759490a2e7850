// Package operatorauth authenticates operators by the key of their team. Control
// replicas read a file with the hashes of the keys. Only the operators have the keys
// themselves, and keys are never logged.
package operatorauth

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"

	"github.com/fescuejunction/fescuejunction/internal/base/settings"
	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// keyBytes is the length of a key. A plain hash is enough to store a key safely,
// because a random key of this length cannot be guessed.
const keyBytes = 32

// KeyEntry is one key in the keys file. A team may have several keys, so that a key
// can be replaced without interruption.
type KeyEntry struct {
	Team      string `yaml:"team"`
	KeySHA256 string `yaml:"key_sha256"` // hexadecimal
	Comment   string `yaml:"comment,omitempty"`
}

// KeysFile is the content of the keys file.
type KeysFile struct {
	Keys []KeyEntry `yaml:"keys"`
}

// Check records a problem in c for each entry that is incomplete, has an invalid hash,
// or has the same key as an entry of another team.
func (f *KeysFile) Check(c *settings.Check) {
	owners := map[string]string{}
	for i, e := range f.Keys {
		c.Require(e.Team, "keys", i, "team")
		sum, err := hex.DecodeString(e.KeySHA256)
		if err != nil || len(sum) != sha256.Size {
			c.Add([]any{"keys", i, "key_sha256"}, "must be %d hexadecimal digits", 2*sha256.Size)
			continue
		}
		if owner, ok := owners[string(sum)]; ok && owner != e.Team {
			c.Add([]any{"keys", i, "key_sha256"}, "team %q has the same key", owner)
		}
		owners[string(sum)] = e.Team
	}
}

// NewKey generates a key for a team and returns it with its entry for the keys file.
func NewKey(team string) (key string, entry KeyEntry, err error) {
	raw := make([]byte, keyBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", KeyEntry{}, errkind.Wrap(errkind.Internal, err, "generate key")
	}
	sum := sha256.Sum256(raw)
	return base64.RawURLEncoding.EncodeToString(raw), KeyEntry{Team: team, KeySHA256: hex.EncodeToString(sum[:])}, nil
}

// storedKey is a valid entry of the keys file with its hash decoded.
type storedKey struct {
	team string
	sum  [sha256.Size]byte
}

// loadKeys reads and checks the keys file. The error has kind InvalidSettings.
func loadKeys(file string) ([]storedKey, error) {
	var f KeysFile
	if err := settings.Load(file, &f); err != nil {
		return nil, err
	}
	out := make([]storedKey, 0, len(f.Keys))
	for _, e := range f.Keys {
		k := storedKey{team: e.Team}
		if _, err := hex.Decode(k.sum[:], []byte(e.KeySHA256)); err != nil {
			return nil, errkind.New(errkind.InvalidSettings, "%s: a key hash is not hexadecimal", file)
		}
		out = append(out, k)
	}
	return out, nil
}

// teamOfKey returns the team of a key. It compares the hash of the key with every
// stored hash in constant time, so that its duration does not reveal anything about
// the stored hashes.
func teamOfKey(keys []storedKey, key string) (string, bool) {
	raw, err := base64.RawURLEncoding.DecodeString(key)
	if err != nil || len(raw) != keyBytes {
		return "", false
	}
	sum := sha256.Sum256(raw)
	found := -1
	for i := range keys {
		equal := subtle.ConstantTimeCompare(sum[:], keys[i].sum[:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return "", false
	}
	return keys[found].team, true
}
