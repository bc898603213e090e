package h1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

const (
	// maxExcess is by how many bytes the lines of sizes may exceed what chunks usually need: chunkLine
	// bytes each, and a dataShare-th of the data.
	maxExcess = 16 << 10
	chunkLine = 16
	dataShare = 2
	// maxSizeDigits is the maximum number of digits of a chunk's size.
	maxSizeDigits = 16
)

// newBody returns the body that follows the head. Its reads end with io.EOF only at the end that
// the framing gives; they return as soon as there are some bytes.
func (c *conn) newBody(h *head) io.Reader {
	switch {
	case h.noBody:
		return http.NoBody
	case h.framing == FramedByChunks:
		return &chunkedBody{reader: c.reader, reserve: c.reserveTrailer}
	case h.framing == FramedByLength:
		return &lengthBody{reader: c.reader, left: h.length}
	default:
		return c.reader
	}
}

// lengthBody is a body of a known length.
type lengthBody struct {
	reader *bufio.Reader
	left   int64
}

// Read implements io.Reader.
func (b *lengthBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	switch {
	case b.left == 0:
		return n, io.EOF
	default:
		return n, cutShort(err)
	}
}

// chunkedBody is a body in chunks (RFC 9112, section 7.1). Extensions and the trailer are checked
// and dropped.
type chunkedBody struct {
	reader *bufio.Reader
	// reserve reserves the memory of the trailer.
	reserve func(cost int64) error
	// left is what is left of the current chunk's data. begun reports that there was a chunk, last
	// that the last one was read.
	left        int64
	begun, last bool
	// excess is by how much the lines of sizes exceed what they may use; see maxExcess.
	excess int64
	err    error
}

// Read implements io.Reader. It fills p from several chunks if they have arrived.
func (b *chunkedBody) Read(p []byte) (n int, err error) {
	for n < len(p) && b.err == nil {
		switch {
		case n > 0 && !b.ready():
			return n, nil
		case b.last:
			b.err = b.readTrailer()
		case b.left == 0:
			b.err = b.beginChunk()
		default:
			var read int
			read, b.err = b.reader.Read(p[n:min(int64(len(p)), int64(n)+b.left)])
			n, b.left, b.err = n+read, b.left-int64(read), cutShort(b.err)
		}
	}
	return n, b.err
}

// ready reports whether the next data, or the next size, has arrived.
func (b *chunkedBody) ready() bool {
	if b.left > 0 {
		return b.reader.Buffered() > 0
	}
	next, _ := b.reader.Peek(b.reader.Buffered()) // what is buffered can be peeked at
	next = bytes.TrimPrefix(next, []byte("\r\n"))
	return !b.last && bytes.IndexByte(next, '\n') >= 0
}

// beginChunk reads the size of the next chunk, and the line end behind the data of the one before.
func (b *chunkedBody) beginChunk() error {
	if b.begun {
		var end [2]byte
		if _, err := io.ReadFull(b.reader, end[:]); err != nil {
			return cutShort(err)
		}
		if end != [2]byte{'\r', '\n'} {
			return errors.New("no line end behind a chunk")
		}
	}
	line, err := b.reader.ReadSlice('\n')
	if err != nil {
		return cutShort(err)
	}
	size, err := parseChunkSize(line)
	if err != nil {
		return err
	}
	b.excess = max(0, b.excess+int64(len(line))-chunkLine-size/dataShare)
	if b.excess > maxExcess {
		return errors.New("the answer consists mostly of the sizes of its chunks")
	}
	b.left, b.begun, b.last = size, true, size == 0
	return nil
}

// parseChunkSize parses a line "SIZE[;EXTENSIONS]" with its line end.
func parseChunkSize(line []byte) (int64, error) {
	text, ok := bytes.CutSuffix(line, []byte("\r\n"))
	digits, extension, _ := bytes.Cut(text, []byte(";"))
	digits = bytes.TrimRight(digits, " \t")
	size, err := strconv.ParseUint(string(digits), 16, 64)
	if !ok || err != nil || len(digits) > maxSizeDigits || size > math.MaxInt64 || !httpguts.ValidHeaderFieldValue(string(extension)) {
		return 0, fmt.Errorf("invalid size of a chunk %.64q", line)
	}
	return int64(size), nil
}

// readTrailer reads and drops the trailer. It returns io.EOF if that is valid.
func (b *chunkedBody) readTrailer() error {
	text, err := readSection(b.reader, b.reserve)
	if err != nil {
		return err
	}
	if _, err := parseFields(string(text)); err != nil {
		return err
	}
	return io.EOF
}
