package streams

import (
	"crypto/sha256"
	"encoding/hex"
)

// maxNameBytes is the length of a stream's ID in bytes above which a hash stands for it in records.
const maxNameBytes = 2 * sha256.Size

// recordName returns the name of a stream in records. Callers choose the IDs, and thousands of
// records are kept.
func recordName(id string) string {
	if len(id) <= maxNameBytes {
		return id
	}
	sum := sha256.Sum256([]byte(id))
	return hex.EncodeToString(sum[:])
}
