package front

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/joomcode/errorx"
)

// maxUnpacked bounds the uncompressed size, in bytes, of a configuration that another
// daemon sends.
const maxUnpacked = 64 << 20

var (
	errorNamespace = errorx.NewNamespace("front")
	// errPacked is the type of errors about a compressed configuration from another
	// daemon.
	errPacked = errorNamespace.NewType("packed")
)

// pack compresses a configuration: it is sent to every daemon of a large zone, and its
// routes are similar to each other.
func pack(written []byte) []byte {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	// Writing to memory does not fail.
	_, _ = w.Write(written)
	_ = w.Close()
	return packed.Bytes()
}

func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errPacked.Wrap(err, "not gzip data")
	}
	written, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	if err != nil {
		return nil, errPacked.Wrap(err, "decompressing")
	}
	if len(written) > maxUnpacked {
		return nil, errPacked.New("decompressed configuration exceeds %d bytes", maxUnpacked)
	}
	return written, nil
}
