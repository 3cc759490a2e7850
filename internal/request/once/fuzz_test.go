package once

import (
	"strings"
	"testing"
)

// Guards against a data centre or token that is not in the key's prefix, which
// would send the key to the wrong ledger.
func FuzzSplitKey(f *testing.F) {
	for _, key := range []string{"", "k", "n1~k", "n1.t~k", "a.b.t~k~l", "~", ".~", "n1.~k"} {
		f.Add(key)
	}
	f.Fuzz(func(t *testing.T, key string) {
		dc, token := SplitKey(key)
		prefix, _, marked := strings.Cut(key, keyPrefixEnd)
		if !marked && dc+token != "" {
			t.Errorf("%q has no prefix, got %q and %q", key, dc, token)
		}
		if marked && dc != prefix && dc+"."+token != prefix {
			t.Errorf("%q: got %q and %q", key, dc, token)
		}
		if strings.Contains(token, ".") || strings.Contains(dc+token, keyPrefixEnd) {
			t.Errorf("%q: got %q and %q", key, dc, token)
		}
	})
}
