// Package answer generates the answers of a stand-in target and checks them at
// the caller. The content and the default length follow from the request
// identifier and the request URI, so that an answer that is truncated or
// belongs to another request is recognised.
package answer

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	magic       = "fescue-lab"
	minLength   = 256  // shortest default length of an answer, in bytes
	lengthRange = 2048 // range of the default lengths above minLength, in bytes
	alphabet    = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/"
)

// Body returns the answer to the request with the given identifier and URI.
// A size of zero or less chooses the default length; the answer is at least
// as long as its first line.
func Body(requestID, uri string, size int) []byte {
	seed := seedOf(requestID, uri)
	if size <= 0 {
		size = minLength + int(seed%lengthRange)
	}
	size = max(size, len(firstLine(requestID, uri, size)))
	head := firstLine(requestID, uri, size)
	out := make([]byte, size)
	fill(out[copy(out, head):], seed)
	return out
}

// firstLine returns the first line of an answer. The size has a fixed width,
// so that the length of the line does not depend on it. A checksum of the
// identifier and the URI reveals a changed identifier even if nothing follows
// the line.
func firstLine(requestID, uri string, size int) string {
	return fmt.Sprintf("%s %010d %016x %s %s\n", magic, size, seedOf(requestID, uri), strconv.Quote(requestID), strconv.Quote(uri))
}

// Check reports whether body is the whole answer to a request for uri. It
// returns the request identifier for which the answer was made.
func Check(body []byte, uri string) (string, error) {
	line, _, found := bytes.Cut(body, []byte("\n"))
	if !found {
		return "", fmt.Errorf("answer of %d bytes has no first line", len(body))
	}
	var size int
	var sum uint64
	var id, own string
	if _, err := fmt.Sscanf(string(line), magic+" %d %x %q %q", &size, &sum, &id, &own); err != nil {
		return "", fmt.Errorf("first line of the answer: %w", err)
	}
	if own != uri {
		return id, fmt.Errorf("answer is for %q, not for %q: %w", own, uri, ErrCrossed)
	}
	if len(body) < size {
		return id, fmt.Errorf("answer has %d of %d bytes: %w", len(body), size, ErrTruncated)
	}
	if !bytes.Equal(body, Body(id, uri, size)) {
		return id, fmt.Errorf("answer of %d bytes: %w", len(body), ErrContent)
	}
	return id, nil
}

func seedOf(requestID, uri string) uint64 {
	return xxhash.Sum64String(requestID + "\x00" + uri)
}

func fill(out []byte, seed uint64) {
	src := rand.NewPCG(seed, 0)
	var word uint64
	for i := range out {
		if i%10 == 0 { // ten characters of 6 bits from each 64-bit word
			word = src.Uint64()
		}
		out[i] = alphabet[word&63]
		word >>= 6
	}
}
