package storage

import (
	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// corrupt returns an error of kind CorruptLog that tells the operator what to
// do with the data directory dir.
func corrupt(dir, format string, args ...any) error {
	found := errkind.New(errkind.CorruptLog, format, args...)
	return errkind.Wrap(errkind.CorruptLog, found, "the log of this replica cannot be trusted and the replica does not start; "+
		"move the data directory %s away and start again without the bootstrap setting, "+
		"so that the replica joins under a new identity and copies the state from the leader", dir)
}

func failed(err error, format string, args ...any) error {
	return errkind.Wrap(errkind.StorageFailed, err, format, args...)
}
