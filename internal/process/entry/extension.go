package entry

import "github.com/fescuejunction/fescuejunction/internal/request/dialect"

// Extension replaces interfaces of an entry by those of another platform.
type Extension struct {
	// Dialect is how callers and targets write the heads of requests and
	// answers; nil for the product's own.
	Dialect dialect.Dialect
}

func (e Extension) withDefaults() Extension {
	if e.Dialect == nil {
		e.Dialect = dialect.Native{}
	}
	return e
}
