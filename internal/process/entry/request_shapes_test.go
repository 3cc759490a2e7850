package entry

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/fescuejunction/fescuejunction/internal/request/dialect"
	"pgregory.net/rapid"
)

// ownPaths are paths that an entry might take for its own, and paths that a library would
// clean or redirect.
var ownPaths = []string{
	"/lookup", "/lookup?service=" + ownService, "/lookup?service=near-0", "/lookup?", "/lookup/", "/lookup/x", "/LOOKUP", "/lookup;x",
	"//lookup", "/./lookup", "/x/../lookup", "/lookup/.", "/lookup/..", "/lookup//",
	"/healthz", "/metrics", "/status", "/ready", "/debug/pprof/", "/-/health", "/-/load", "/instances", "/favicon.ico", "/.well-known/x",
	"/" + ownService, "/" + ownService + "/", "/" + ownService + "/chairs", "/near-0", "/near-0/x", "/fescuejunction/resolve", "/fescuejunction/ready",
	"/", "//", "///", "/.", "/..", "/../", "/./", "/a/./b", "/a/../b", "/a//b", "/a/b/", "/x/.", "/x/..", "//near.example/x", "//x@y:1/z",
	"/chairs", "/chairs/", "/chairs/17", "/chairs//17", "/chairs/./17", "/chairs/../17", "/Chairs/17", "/a+b/c", "/~u", "/http://near.example/lookup", "/x://y",
	"/?", "/?x", "/x?", "/x??a=b?c", "/x?a=%zz&b=%2F", "/x?a=/../b//c", "/x?url=http://h.example/y", "/a:b", "/a@b", "/a,b", "/a&b=c", "/*", "/a;b=c/d",
	"/" + strings.Repeat("x/", 500),
}

// escapedPaths are paths that a library would decode.
var escapedPaths = []string{
	"/%6cookup", "/lookup%3Fservice=near-0", "/chairs/%2e%2e/17", "/chairs/%2E./17", "/chairs%2F17", "/chairs%2f17/handover", "/%63hairs/17", "/chairs%2F/17",
	"/chairs%252F17", "/a%20b/c", "/a%20b", "/%E0%B4%B0/x", "/%e0%b4%b0/x", "/%e0", "/%00", "/%25", "/%7Eu",
}

// unescapedPaths are paths that a library would encode.
var unescapedPaths = []string{"/\u0d30/x", "/x#f", "/a\"b", "/a|b", "/a\\b", "/a^b", "/{id}", "/[1]", "/<x>", "/`x`"}

var (
	methodsWithBody    = []string{"POST", "PUT", "PATCH", "DELETE", "PROPFIND", "QUERY"}
	methodsWithoutBody = []string{"GET", "HEAD", "OPTIONS", "TRACE", "PURGE", "get", "LOOKUP", "POST", "DELETE"}
)

// shape is a request of a caller.
type shape struct {
	method, host, path string // the path with the query
	spelling           string // of the host, with a port or in capitals; "": as the route has it
	absolute, chunked  bool   // the form of the target, the framing of the body
	body               string
}

// authority returns the host as the caller writes it.
func (s shape) authority() string { return cmp.Or(s.spelling, s.host) }

func (s shape) String() string {
	form := map[bool]string{false: "origin", true: "absolute"}[s.absolute]
	return fmt.Sprintf("%s %q of host %s in %s form, body %q, chunked %v", s.method, s.path, s.authority(), form, s.body, s.chunked)
}

// encode returns the bytes of the request.
func (s shape) encode(id string) string {
	target, host := s.path, s.authority()
	if s.absolute { // the authority in the target overrides the Host header
		target, host = "http://"+s.authority()+s.path, "other.example"
	}
	head := s.method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n" + dialect.HeaderRequestID + ": " + id + "\r\n" + dialect.HeaderShift + ": s1\r\n"
	switch {
	case s.chunked:
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(s.body), s.body)
	case s.body != "":
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(s.body), s.body)
	}
	return head + "\r\n"
}

// wantEcho returns what the target of the route with the longest prefix that begins the
// path must get.
func (s shape) wantEcho() string {
	path, _, _ := strings.Cut(s.path, "?")
	longest := 0
	for i, prefix := range routedPrefixes {
		if strings.HasPrefix(path, prefix) && len(prefix) > len(routedPrefixes[longest]) {
			longest = i
		}
	}
	return echo(serviceOf(s.host, longest), s.method, s.path, s.authority(), s.body)
}

func echo(service, method, target, host, body string) string {
	return fmt.Sprintf("%s got %s %q of host %s with body %q", service, method, target, host, body)
}

// serviceOf returns the service of the n-th prefix of a host.
func serviceOf(host string, n int) string {
	return map[string]string{nearHost: "near", farHost: "far", addressHost: "address"}[host] + "-" + strconv.Itoa(n)
}

// shapes returns all requests for a host: each path with each method, in both forms.
func shapes(host string) (out []shape) {
	for _, path := range slices.Concat(ownPaths, escapedPaths, unescapedPaths) {
		for _, absolute := range []bool{false, true} {
			for _, method := range methodsWithoutBody {
				out = append(out, shape{method: method, host: host, path: path, absolute: absolute})
			}
			for i, method := range methodsWithBody {
				out = append(out, shape{method: method, host: host, path: path, absolute: absolute, chunked: i%2 == 1, body: "chair=7"})
			}
		}
	}
	return out
}

// drawShape draws a request with a path of pieces that libraries treat specially.
func drawShape(t *rapid.T) shape {
	s := shape{host: rapid.SampledFrom([]string{nearHost, farHost, addressHost}).Draw(t, "host"), absolute: rapid.Bool().Draw(t, "absolute")}
	pieces := rapid.SliceOfN(rapid.SampledFrom([]string{
		"/", "/", "/", ".", "..", "%2e", "%2F", "%2f", "lookup", "%6cookup", ownService, "chairs", "a%20b", "%E0%B4%B0", "\u0d30", "near-0", "healthz",
		"x", ";", ":", "@", "*", "%00", "%25", "#", "\"", "\\", "://", "?", "?service=near-0", "&",
	}), 0, 8).Draw(t, "path")
	s.path = "/" + strings.Join(pieces, "")
	s.spelling = rapid.SampledFrom([]string{"", s.host + ":80", s.host + ":8641", strings.ToUpper(s.host), strings.ToUpper(s.host) + ":80"}).Draw(t, "spelling")
	s.method = rapid.OneOf(rapid.SampledFrom(methodsWithoutBody), rapid.StringMatching("[A-Za-z!#$%&'*+.^_|~-]{1,9}")).Filter(func(m string) bool { return m != "CONNECT" }).Draw(t, "method")
	if rapid.Bool().Draw(t, "with body") {
		s.method = rapid.SampledFrom(methodsWithBody).Draw(t, "method")
		s.body = rapid.StringMatching(`[a-z =&/]{1,20}`).Draw(t, "body")
		s.chunked = rapid.Bool().Draw(t, "chunked")
	}
	return s
}
