package entry

import "github.com/fescuejunction/fescuejunction/internal/request/dialect"

// Extension replaces parts of an entry with implementations for another platform.
type Extension struct {
	// Dialect is the format in which callers and targets write the headers of
	// requests and responses. If it is nil, dialect.Native is used.
	Dialect dialect.Dialect
}

// withDefaults returns the extension with defaults for the unset fields.
func (e Extension) withDefaults() Extension {
	if e.Dialect == nil {
		e.Dialect = dialect.Native{}
	}
	return e
}
