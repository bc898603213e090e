package front

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/joomcode/errorx"
)

// maxUnpacked bounds a configuration that another daemon passes on.
const maxUnpacked = 64 << 20

var (
	errorNamespace = errorx.NewNamespace("front")
	// errPacked is the type of errors about what another daemon passed on.
	errPacked = errorNamespace.NewType("packed")
)

// pack compresses a configuration: it goes to every daemon of a large zone, and its
// routes are much alike.
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
		return nil, errPacked.Wrap(err, "not compressed")
	}
	written, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	if err != nil {
		return nil, errPacked.Wrap(err, "cut off")
	}
	if len(written) > maxUnpacked {
		return nil, errPacked.New("more than %d bytes", maxUnpacked)
	}
	return written, nil
}
