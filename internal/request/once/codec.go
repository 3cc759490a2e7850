package once

import (
	"encoding/json"
	"net/http"

	"github.com/cespare/xxhash/v2"
)

func encodeHeader(h http.Header) []byte {
	out, _ := json.Marshal(h) // cannot fail: the header holds strings only
	return out
}

func decodeHeader(data []byte) (http.Header, error) {
	h := http.Header{}
	err := json.Unmarshal(data, &h)
	return h, err
}

// keyRank returns the rank of a data centre for a key in rendezvous hashing.
func keyRank(dc, key string) uint64 { return xxhash.Sum64String(dc + "\x00" + key) }
