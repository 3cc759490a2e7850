package platform

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

// serveRaw answers the first connection with begin and then with the repeated text
// until it is closed. It returns the URL of the list.
func serveRaw(t *testing.T, begin, repeated string) (url string) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { lis.Close() })
	block := []byte(strings.Repeat(repeated, 1+(64<<10)/len(repeated))) // net.Conn would copy a string
	go func() {
		c, err := lis.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Read(make([]byte, 4<<10))
		_, err = io.WriteString(c, begin)
		for err == nil {
			_, err = c.Write(block)
		}
	}()
	return "http://" + lis.Addr().String()
}

// peakHeap returns by how many bytes the heap grew at most while f ran. Frequent
// collections keep the garbage of the test itself out of the figure.
func peakHeap(f func()) int64 {
	defer debug.SetGCPercent(debug.SetGCPercent(10))
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	before, peak := int64(m.HeapAlloc), int64(0)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			runtime.ReadMemStats(&m)
			peak = max(peak, int64(m.HeapAlloc)-before)
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	f()
	close(stop)
	<-stopped
	return peak
}

// Guards against a list without end, or one of many short entries, that fills the memory
// of the entry.
func TestMemoryOfEndlessList(t *testing.T) {
	const (
		ok    = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
		limit = 64 << 20 // bytes; a third of the memory of an entry of 184 MB
	)
	for name, text := range map[string]struct{ begin, repeated string }{
		"empty entries":  {ok + `{"instances":[`, "{},"},
		"short entries":  {ok + `{"instances":[`, `{"id":"a","address":"127.0.0.1:1"},`},
		"no list":        {ok, "x"},
		"one long entry": {ok + `{"instances":[{"id":"`, "x"},
		"long keys":      {ok + `{`, `"x":1,`},
		"white space":    {ok, " "},
	} {
		t.Run(name, func(t *testing.T) {
			c := &Client{URL: serveRaw(t, text.begin, text.repeated), HTTP: NewHTTPClient()}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			peak := peakHeap(func() {
				if list, err := c.Fetch(ctx); errkind.Of(err) != errkind.BadRequest || ctx.Err() != nil {
					t.Errorf("%d instances, error %.200v", len(list), err)
				}
			})
			t.Logf("peak of %d MiB", peak>>20)
			if peak > limit {
				t.Errorf("%d MiB of memory, limit %d MiB", peak>>20, limit>>20)
			}
		})
	}
}

// Guards against a whole list whose entries take many times the memory of their text.
func TestMemoryOfListOfEmptyEntries(t *testing.T) {
	body := `{"instances":[` + strings.Repeat("{},", maxListBytes/3-16) + "{}]}"
	c := &Client{URL: serveRaw(t, "HTTP/1.1 200 OK\r\n"+fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n\r\n", len(body)), body), HTTP: NewHTTPClient()}
	peak := peakHeap(func() {
		if list, err := c.Fetch(t.Context()); errkind.Of(err) != errkind.BadRequest {
			t.Errorf("%d instances, error %v", len(list), err)
		}
	})
	t.Logf("peak of %d MiB", peak>>20)
	const limit = 64 << 20 // bytes; a third of the memory of an entry of 184 MB
	if peak > limit {
		t.Errorf("%d MiB of memory, limit %d MiB", peak>>20, limit>>20)
	}
}

// Guards against a head of the answer that is read up to the 10 MB that net/http allows,
// which take 160 MB of memory as parsed fields.
func TestMemoryOfEndlessListHead(t *testing.T) {
	var fields strings.Builder
	for i := range 2 << 20 {
		fmt.Fprintf(&fields, "%x:\n", i)
	}
	c := &Client{URL: serveRaw(t, "HTTP/1.1 200 OK\r\n", fields.String()), HTTP: NewHTTPClient()}
	peak := peakHeap(func() {
		if _, err := c.Fetch(t.Context()); err == nil {
			t.Error("no error")
		}
	})
	t.Logf("peak of %d MiB", peak>>20)
	const limit = 16 << 20 // bytes
	if peak > limit {
		t.Errorf("%d MiB of memory, limit %d MiB", peak>>20, limit>>20)
	}
}

// Guards against refusing a list at five times the design scale of 10,000 instances, and
// against taking a list that was cut at the limit for a whole one.
func TestLargeListIsRead(t *testing.T) {
	for n, want := range map[int]bool{49_000: true, 51_000: false} {
		body := encodeList(t, n)
		list, err := serveList(t, &body).Fetch(context.Background())
		if want && (len(list) != n || err != nil) {
			t.Errorf("%d instances of %d, error %v", len(list), n, err)
		}
		if !want && errkind.Of(err) != errkind.BadRequest {
			t.Errorf("%d instances of %d, error %v, want one of kind %s", len(list), n, err, errkind.BadRequest)
		}
	}
}
