package kit

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// NewAttemptID returns the identifier of a client attempt.
func NewAttemptID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Answer is what a client got for an attempt.
type Answer struct {
	Status int // 0 without an answer
	Header http.Header
	Body   []byte
	Err    error
}

// Do sends one request on a connection of its own and reads its answer.
func Do(addr, method, host, target, key, id string, deadline time.Duration, body []byte) Answer {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return Answer{Err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline + 500*time.Millisecond))
	if err := WriteRequest(c, method, host, target, key, id, deadline, body); err != nil {
		return Answer{Err: err}
	}
	return ReadAnswer(bufio.NewReader(c), method)
}

// WriteRequest writes a request as the users' pages show it. key is that of the object
// that the request is about.
func WriteRequest(w io.Writer, method, host, target, key, id string, deadline time.Duration, body []byte) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nCookie: X-Affinity-Key=%s\r\nX-Deadline-Ms: %d\r\n", method, target, host, id, key, deadline.Milliseconds())
	if method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(w, head+"\r\n"); err != nil {
		return err
	}
	_, err := w.Write(body)
	return err
}

// ReadAnswer reads an answer.
func ReadAnswer(r *bufio.Reader, method string) Answer {
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, Err: err}
}
