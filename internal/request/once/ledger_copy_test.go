package once

import (
	"fmt"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/api/fescuepb"
	"google.golang.org/protobuf/proto"
)

// Guards against a ledger that is too large to be copied to a backup within copyTimeout
// over the link of an entry. The copy begins anew at each try, and no key starts meanwhile.
func TestCopyOfFullLedgerFitsLinkOfEntry(t *testing.T) {
	const link = 2e6 / 8 // bytes per second
	for _, keys := range []int{1_000, 10_000, 100_000} {
		l := NewLedger(time.Hour, true, time.Now())
		for i := range keys {
			l.Put(&fescuepb.KeyRecord{
				Key: fmt.Sprintf("dc1.0123456789ab~%026d", i), State: fescuepb.KeyState_KEY_FINISHED, Status: 200,
				Header: make([]byte, 60), Body: make([]byte, 100), RequestDigest: make([]byte, 32),
			}, time.Now())
		}
		size := 0
		for _, m := range l.Copy(time.Now(), copyBatch) {
			size += proto.Size(m)
		}
		took := time.Duration(float64(size) / link * float64(time.Second))
		t.Logf("%d keys: %d bytes, %v of the link", keys, size, took)
		if took > copyTimeout {
			t.Errorf("the copy of %d keys takes %v of a link, but may take %v", keys, took, copyTimeout)
		}
	}
}
