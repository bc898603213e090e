package burn

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// Encode returns a summary as msgpack for the log, with compact integers: most counts of a
// minute fit in one byte.
func Encode(s Summary) ([]byte, error) {
	var out bytes.Buffer
	encoder := msgpack.NewEncoder(&out)
	encoder.UseCompactInts(true)
	err := encoder.Encode(s)
	return out.Bytes(), err
}

// Decode decodes the output of Encode.
func Decode(text []byte) (s Summary, err error) {
	err = msgpack.Unmarshal(text, &s)
	return s, err
}
