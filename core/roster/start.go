package roster

import (
	"encoding/base64"
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Start identifies one start of a target. A target may restart under its ID; it then
// holds nothing of its earlier state, so all state about a target is kept by its start
// and ends with it.
//
// It is short, 11 characters whatever the ID, since every message between daemons holds
// it once for each target.
type Start string

// StartOf returns the Start of the target id that started at born; see Target.Born.
func StartOf(id string, born int64) Start {
	sum := xxhash.Sum64String(id + "\x00" + strconv.FormatInt(born, 10))
	return Start(base64.RawURLEncoding.EncodeToString(binary.BigEndian.AppendUint64(nil, sum)))
}
