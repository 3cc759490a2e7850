package storage

import (
	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// corruptLogError returns an error of kind CorruptLog. Its text names the damage
// and tells the operator how to replace the data directory dir.
func corruptLogError(dir, format string, args ...any) error {
	cause := errkind.New(errkind.CorruptLog, format, args...)
	return errkind.Wrap(errkind.CorruptLog, cause, "the log of this replica cannot be trusted and the replica does not start; "+
		"move the data directory %s away and start again without the bootstrap setting, "+
		"so that the replica joins under a new identity and copies the state from the leader", dir)
}

func storageError(err error, format string, args ...any) error {
	return errkind.Wrap(errkind.StorageFailed, err, format, args...)
}
