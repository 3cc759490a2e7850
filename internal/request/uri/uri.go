// Package uri reads the host and the target of a request. Routes are selected by these
// strings, and targets get them, exactly as the caller sent them: nothing is decoded,
// cleaned or normalised. Two spellings of a URI may be equivalent (RFC 3986, section 6.2.2),
// but only the target of a request knows which of its resources they name. A prefix
// therefore matches by simple string comparison (section 6.2.1).
package uri

import (
	"net/http"
	"strings"
)

// Target returns the target of a request in origin form (RFC 9112, section 3.2.1): the path,
// which begins with a slash, and the query. An absolute form loses scheme and authority. A
// target without a path, such as one in authority or asterisk form, is returned as it is.
func Target(r *http.Request) string {
	if r.URL.Scheme == "" || r.URL.Host == "" { // not in absolute form
		return r.RequestURI
	}
	_, rest, _ := strings.Cut(r.RequestURI, "://")
	i := strings.IndexAny(rest, "/?")
	switch {
	case i < 0:
		return "/" // an empty path is equivalent to "/" (RFC 9110, section 4.2.3)
	case rest[i] == '?':
		return "/" + rest[i:]
	}
	return rest[i:]
}

// Path returns the path of a target, without the query.
func Path(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// HostName returns the host of a Host header in lower case, without the port. An IPv6
// address keeps its brackets.
func HostName(host string) string {
	end := strings.IndexByte(host, ']') + 1 // 0 unless the host is an IPv6 address
	if i := strings.IndexByte(host[end:], ':'); i >= 0 {
		host = host[:end+i]
	}
	return strings.ToLower(host)
}
