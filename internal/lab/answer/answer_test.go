package answer

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a check that passes a truncated, crossed or changed answer.
func TestCheckFindsWrongAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := rapid.String().Draw(t, "id")
		uri := "/" + rapid.StringMatching(`[a-z0-9?=&"]{0,30}`).Draw(t, "uri")
		body := Body(id, uri, rapid.IntRange(0, 3000).Draw(t, "size"))
		if got, err := Check(body, uri); err != nil || got != id {
			t.Fatalf("Check of a whole answer = %q, %v", got, err)
		}
		if _, err := Check(body, uri+"x"); !errors.Is(err, ErrCrossed) {
			t.Fatalf("crossed answer: %v", err)
		}
		cut := rapid.IntRange(0, len(body)-1).Draw(t, "cut")
		if _, err := Check(body[:cut], uri); err == nil {
			t.Fatalf("answer cut to %d of %d bytes passed", cut, len(body))
		}
		body[cut] ^= 1
		if _, err := Check(body, uri); err == nil {
			t.Fatalf("answer with a changed byte %d passed", cut)
		}
	})
}
