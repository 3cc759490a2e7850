package once

import (
	"encoding/json"
	"net/http"

	"github.com/cespare/xxhash/v2"
)

func encodeHeader(h http.Header) []byte {
	out, _ := json.Marshal(h) // strings always encode
	return out
}

func decodeHeader(data []byte) (http.Header, error) {
	h := http.Header{}
	err := json.Unmarshal(data, &h)
	return h, err
}

func keyRank(dc, key string) uint64 { return xxhash.Sum64String(dc + "\x00" + key) }
