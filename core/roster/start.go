package roster

import (
	"encoding/base64"
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Start names one start of a target. A target may start again under its ID; it then
// holds nothing of before, so whatever is believed of a target is kept under the
// name of its start and ends with it.
//
// The name is short, 11 characters whatever the ID, since it stands once for each
// target in every word between daemons.
type Start string

// StartOf names the start of the target id at the moment born; see Target.Born.
func StartOf(id string, born int64) Start {
	sum := xxhash.Sum64String(id + "\x00" + strconv.FormatInt(born, 10))
	return Start(base64.RawURLEncoding.EncodeToString(binary.BigEndian.AppendUint64(nil, sum)))
}
