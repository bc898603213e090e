package membership

import "strconv"

// IncarnationID returns the name of one incarnation of a host: HOST#INCARNATION.
func IncarnationID(host string, incarnation uint64) string {
	return host + "#" + strconv.FormatUint(incarnation, 16)
}
