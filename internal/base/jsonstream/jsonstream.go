// Package jsonstream reads a JSON text value by value, so that one value that
// encoding/json refuses does not cost the others.
package jsonstream

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"unicode/utf8"

	"github.com/fescuejunction/fescuejunction/internal/errkind"
)

const (
	// MaxValueBytes bounds the text of a value that is kept. Entries of lists of
	// instances take some hundred bytes.
	MaxValueBytes = 16 << 10
	// MaxValueDepth bounds the nesting of a value that is kept. Entries of such lists are
	// flat.
	MaxValueDepth = 64
	// MaxItems bounds the elements and members of a text that the caller reads one by
	// one, and so the memory for what it keeps of them. It is five times the 10,000
	// instances of the design scale.
	MaxItems = 50_000
)

// Reader splits a JSON text into its values. It counts brackets and does not
// recurse, so a value may be nested to any depth, and it keeps at most MaxValueBytes
// of a value. Its errors have kind BadRequest if the text cannot be split, ends early
// or has more than MaxItems, and Timeout if it cannot be read.
type Reader struct {
	in    io.ByteScanner
	buf   []byte // text of the last value
	items int    // read so far
}

// New returns a reader of the text of r.
func New(r io.Reader) *Reader { return &Reader{in: bufio.NewReader(r)} }

// RawValue is the text of a value. It is valid until the next value or key is read.
type RawValue struct {
	Text  []byte // the first MaxValueBytes
	Whole bool   // Text is the whole value, and not nested deeper than MaxValueDepth
}

// Null reports whether the value is null.
func (r RawValue) Null() bool { return string(bytes.TrimSpace(r.Text)) == "null" }

// Object reads an object and calls member after each key, to read its value. A key
// that cannot be decoded is passed as "".
func (p *Reader) Object(member func(key string) error) error {
	return p.readItems('{', '}', func() error {
		key, err := p.key()
		if err != nil {
			return err
		}
		return member(key)
	})
}

// Array reads an array and calls element for each element, to read it.
func (p *Reader) Array(element func() error) error { return p.readItems('[', ']', element) }

// readItems reads what stands between two brackets, separated by commas.
func (p *Reader) readItems(open, end byte, item func() error) error {
	if err := p.expect(open); err != nil {
		return err
	}
	c, err := p.Peek()
	if err != nil {
		return err
	}
	if c == end {
		return p.expect(end)
	}
	for {
		if p.items++; p.items > MaxItems {
			return errkind.New(errkind.BadRequest, "the JSON text has more than %d items", MaxItems)
		}
		if err := item(); err != nil {
			return err
		}
		if c, err = p.Peek(); err != nil {
			return err
		}
		if c == end {
			return p.expect(end)
		}
		if err := p.expect(','); err != nil {
			return err
		}
	}
}

// key reads the key of a member and the colon behind it.
func (p *Reader) key() (string, error) {
	if c, err := p.Peek(); err != nil || c != '"' {
		return "", p.orUnexpected(err, c)
	}
	raw, err := p.scan(func(c byte) bool { return c == ':' || endsValue(c) })
	if err != nil {
		return "", err
	}
	return decodeKey(raw), p.expect(':')
}

// decodeKey returns the name that a key stands for, or "" if it cannot be decoded.
func decodeKey(raw RawValue) string {
	if text := raw.Text; raw.Whole && isPlainString(text) { // the usual case; decoding it costs more
		return string(text[1 : len(text)-1])
	}
	var key string
	if !raw.Whole || json.Unmarshal(raw.Text, &key) != nil {
		return ""
	}
	return key
}

// isPlainString reports whether text is a string that stands for its own characters.
func isPlainString(text []byte) bool {
	return len(text) >= 2 && text[0] == '"' && bytes.IndexByte(text[1:], '"') == len(text)-2 && bytes.IndexByte(text, '\\') < 0 && utf8.Valid(text)
}

// Value reads a value up to the comma or bracket behind it.
func (p *Reader) Value() (RawValue, error) {
	return p.scan(endsValue)
}

func endsValue(c byte) bool { return c == ',' || c == ']' || c == '}' }

// Null reads a null. Some encoders write it for a list that is empty.
func (p *Reader) Null() error {
	raw, err := p.Value()
	if err == nil && !raw.Null() {
		return p.orUnexpected(nil, 'n')
	}
	return err
}

// scan reads up to the first byte that ends a value outside of strings and brackets,
// and does not read that byte.
func (p *Reader) scan(ends func(c byte) bool) (RawValue, error) {
	out := RawValue{Whole: true, Text: p.buf[:0]}
	defer func() { p.buf = out.Text }()
	depth, inString, escaped := 0, false, false
	for {
		c, err := p.in.ReadByte()
		switch {
		case err != nil:
			return out, readError(err)
		case escaped:
			escaped = false
		case inString:
			escaped, inString = c == '\\', c != '"'
		case depth == 0 && ends(c):
			return out, p.in.UnreadByte()
		case c == '"':
			inString = true
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			depth--
		}
		out.Whole = out.Whole && depth <= MaxValueDepth && len(out.Text) < MaxValueBytes
		if len(out.Text) < MaxValueBytes {
			out.Text = append(out.Text, c)
		}
	}
}

// Peek returns the next byte that is no white space and does not read it.
func (p *Reader) Peek() (byte, error) {
	for {
		c, err := p.in.ReadByte()
		if err != nil {
			return 0, readError(err)
		}
		if c != ' ' && c != '\t' && c != '\n' && c != '\r' {
			return c, p.in.UnreadByte()
		}
	}
}

// expect reads a byte that must be the next one that is no white space.
func (p *Reader) expect(want byte) error {
	c, err := p.Peek()
	if err != nil || c != want {
		return p.orUnexpected(err, c)
	}
	_, err = p.in.ReadByte()
	return err
}

// End returns an error unless only white space is left.
func (p *Reader) End() error {
	c, err := p.in.ReadByte()
	for err == nil && (c == ' ' || c == '\t' || c == '\n' || c == '\r') {
		c, err = p.in.ReadByte()
	}
	if err == io.EOF {
		return nil
	}
	return p.orUnexpected(err, c)
}

func (p *Reader) orUnexpected(err error, c byte) error {
	if err != nil {
		return err
	}
	return errkind.New(errkind.BadRequest, "unexpected %q in a JSON text", c)
}

func readError(err error) error {
	if err == io.EOF {
		return errkind.New(errkind.BadRequest, "the JSON text ends early or is too long")
	}
	return errkind.Wrap(errkind.Timeout, err, "read a JSON text")
}
