package uri

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func read(t interface{ Fatal(...any) }, method, target string) *http.Request {
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(method + " " + target + " HTTP/1.1\r\nHost: other.example\r\n\r\n")))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against a target that is rewritten, in whichever form the caller sent it.
func TestTarget(t *testing.T) {
	for _, tc := range []struct{ method, given, want string }{
		{"GET", "/a/b?c=d", "/a/b?c=d"},
		{"GET", "//a//b/./../", "//a//b/./../"},
		{"GET", "/a%2Fb%20%e0?%zz", "/a%2Fb%20%e0?%zz"},
		{"GET", "/to?url=http://x.example/y", "/to?url=http://x.example/y"},
		{"GET", "http://x.example/a%2Fb\"|<>?q=/?", "/a%2Fb\"|<>?q=/?"},
		{"GET", "HTTP://user@x.example:80//a", "//a"},
		{"GET", "http://x.example", "/"},
		{"GET", "http://x.example?q=1", "/?q=1"},
		{"OPTIONS", "*", "*"},
		{"CONNECT", "x.example:443", "x.example:443"},
		{"CONNECT", "/a", "/a"},
		{"GET", "x:y://z/a", "x:y://z/a"},
		{"GET", "x:/a", "x:/a"},
		{"GET", "http:///a", "http:///a"},
	} {
		if got := Target(read(t, tc.method, tc.given)); got != tc.want {
			t.Errorf("%s %s: target %q, want %q", tc.method, tc.given, got, tc.want)
		}
	}
}

// Guards against a form of the target that selects another route than the other form.
func TestFormsOfATargetAreEquivalent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		origin := "/" + rapid.StringMatching(`([a-z/.;:@&=+$,~_"|^{}-]|%[0-9A-Fa-f]{2}|://){0,12}(\?[a-z/%?=:]{0,8})?`).Draw(t, "target")
		if got := Target(read(t, "GET", origin)); got != origin {
			t.Fatalf("origin form %q became %q", origin, got)
		}
		if got := Target(read(t, "GET", "http://x.example:8080"+origin)); got != origin {
			t.Fatalf("absolute form of %q became %q", origin, got)
		}
	})
}

func TestHostName(t *testing.T) {
	for given, want := range map[string]string{
		"Rota.Example": "rota.example", "rota.example:8110": "rota.example", "127.0.0.1:8110": "127.0.0.1",
		"[::1]:8110": "[::1]", "[FE80::1]": "[fe80::1]", "": "",
	} {
		if got := HostName(given); got != want {
			t.Errorf("host of %q is %q, want %q", given, got, want)
		}
	}
}
