package quarantine

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies requests that are the same.
type Fingerprint uint64

// String returns the fingerprint as 16 hexadecimal digits, as in logs and messages.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// fingerprintDigits is the length of a fingerprint in messages.
const fingerprintDigits = 16

// ParseFingerprint parses the result of Fingerprint.String.
func ParseFingerprint(s string) (Fingerprint, bool) {
	if len(s) != fingerprintDigits {
		return 0, false
	}
	n, err := strconv.ParseUint(s, 16, 64)
	return Fingerprint(n), err == nil
}

// Request holds what is the same when a request comes again. Its identifier, its
// deadline and the address of its caller differ from one attempt to the next.
type Request struct {
	Method      string
	Destination string // host or service
	Path        string // with the query
	Caller      string // identity of the caller as far as the request states it
	Object      string // that the request is about, as far as it states it
	Body        []byte
}

// Fingerprint returns the fingerprint of the request. It does not allocate.
func (r *Request) Fingerprint() Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, s := range [...]string{r.Method, r.Destination, r.Path, r.Caller, r.Object} {
		_, _ = d.WriteString(s)
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.Write(r.Body)
	return Fingerprint(d.Sum64())
}
