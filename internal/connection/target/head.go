package target

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
	"golang.org/x/net/http/httpguts"
)

// malformed returns an error of kind AnswerBroken for a response whose head or trailers
// break RFC 9110 or RFC 9112. Parsers differ in what they make of such bytes, so the body
// that this one finds may not be the body of the target.
func malformed(format string, args ...any) error {
	return errkind.New(errkind.AnswerBroken, "malformed response: "+format, args...)
}

// headCheck checks the lines of a response head, one after the other. net/http accepts
// some heads that are malformed: it reads a name that ends with a blank as another field,
// ignores the Transfer-Encoding of HTTP/1.0 and drops a Content-Length beside chunks.
type headCheck struct {
	lines    int
	http10   bool
	length   bool // there is a Content-Length
	encoding bool // there is a Transfer-Encoding
}

// add checks the next line, without its line end.
func (h *headCheck) add(line []byte) error {
	h.lines++
	if h.lines == 1 {
		h.http10 = bytes.HasPrefix(line, []byte("HTTP/1.0"))
		return checkStatusLine(line)
	}
	if line[0] == ' ' || line[0] == '\t' { // continues the value of the line before
		return checkValue(line)
	}
	name, value, found := bytes.Cut(line, []byte{':'})
	if !found || !httpguts.ValidHeaderFieldName(string(name)) {
		return malformed("%q is not the name of a field", clip(name))
	}
	h.length = h.length || bytes.EqualFold(name, []byte("Content-Length"))
	h.encoding = h.encoding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	return checkValue(value)
}

// end checks the head as a whole.
func (h *headCheck) end() error {
	switch {
	case h.encoding && h.length:
		return malformed("both Content-Length and Transfer-Encoding")
	case h.encoding && h.http10:
		return malformed("Transfer-Encoding in HTTP/1.0")
	}
	return nil
}

// Positions in a status line: "HTTP/1.1 200 OK".
const (
	statusAt = len("HTTP/1.1 ")
	reasonAt = len("HTTP/1.1 200")
)

// checkStatusLine checks the version, the status and the reason phrase. The blank before
// an empty reason may be missing, as from many servers.
func checkStatusLine(line []byte) error {
	if !bytes.HasPrefix(line, []byte("HTTP/1.1 ")) && !bytes.HasPrefix(line, []byte("HTTP/1.0 ")) || len(line) < reasonAt {
		return noStatusLine(line)
	}
	status, reason := line[statusAt:reasonAt], line[reasonAt:]
	if status[0] < '1' || status[0] > '5' || !isDigit(status[1]) || !isDigit(status[2]) {
		return malformed("%q is not a status", status)
	}
	if len(reason) > 0 && reason[0] != ' ' {
		return noStatusLine(line)
	}
	return checkValue(reason)
}

// noStatusLine returns the error for bytes that begin no response.
func noStatusLine(line []byte) error {
	return fmt.Errorf("%q is not the status line of a response", clip(line))
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

func checkValue(value []byte) error {
	if !httpguts.ValidHeaderFieldValue(string(value)) {
		return malformed("%q holds a control character", clip(value))
	}
	return nil
}

// clip shortens what an error quotes to maxHeadErrorBytes/4; %q makes up to four bytes of
// each.
func clip(text []byte) []byte { return text[:min(len(text), maxHeadErrorBytes/4)] }

// checkTrailer checks the names of trailers that a head announces, or the trailers after a
// body. Some fields cannot follow the body (RFC 9110, section 6.5.1), such as those that
// describe the framing.
func checkTrailer(trailer http.Header) error {
	for name, values := range trailer {
		if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidTrailerHeader(name) {
			return malformed("%q is not the name of a trailer", clip([]byte(name)))
		}
		for _, v := range values {
			if err := checkValue([]byte(v)); err != nil {
				return err
			}
		}
	}
	return nil
}

// replayReader reads bytes that were put back before those of a connection.
type replayReader struct {
	head    *headLimiter
	pending []byte
}

func (r *replayReader) Read(b []byte) (int, error) {
	if len(r.pending) > 0 {
		n := copy(b, r.pending)
		r.pending = r.pending[n:]
		return n, nil
	}
	return r.head.Read(b)
}

// buffered returns the number of bytes that have arrived and have not been read.
func (c *conn) buffered() int { return c.r.Buffered() + len(c.source.pending) }

// checkHead checks the next response head and leaves it unread. It returns at the first
// line that is malformed, since the rest may never come.
func (c *conn) checkHead() error {
	var head []byte
	var check headCheck
	for begin := 0; ; begin = len(head) {
		line, err := c.readLine(&head, begin)
		if err != nil {
			return err
		}
		if len(line) == 0 && begin > 0 {
			break
		}
		if err := check.add(line); err != nil {
			return err
		}
	}
	c.unread(head)
	return check.end()
}

// readLine appends a line to head, where it begins at begin, and returns it without its
// line end.
func (c *conn) readLine(head *[]byte, begin int) ([]byte, error) {
	for {
		part, err := c.r.ReadSlice('\n')
		*head = append(*head, part...)
		switch {
		case err == nil:
			line := bytes.TrimSuffix((*head)[begin:], []byte{'\n'})
			return bytes.TrimSuffix(line, []byte{'\r'}), nil
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		}
	}
}

// unread puts bytes back before those that are buffered.
func (c *conn) unread(b []byte) {
	buffered, _ := c.r.Peek(c.r.Buffered()) // cannot fail
	b = append(b, buffered...)
	c.source.pending = append(b, c.source.pending...)
	c.r.Reset(c.source)
}
