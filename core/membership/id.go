package membership

import "strconv"

// IncarnationID returns the ID of one incarnation of a host: HOST#INCARNATION, with the
// incarnation in hexadecimal.
func IncarnationID(host string, incarnation uint64) string {
	return host + "#" + strconv.FormatUint(incarnation, 16)
}
