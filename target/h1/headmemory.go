package h1

import "errors"

// errNoMemory is the error of a head for which the pool has no memory.
var errNoMemory = errors.New("no memory for the head or the trailer of the answer")

// reserveHead reserves the memory of an answer's head, in place of that of the head before.
//
// Failure guarded against: targets that send heads without end, each within its bound, to many
// requests at a time use up the memory of the process. One address holds at most half of the pool's
// memory for heads.
func (c *conn) reserveHead(cost int64) error {
	if c.heads != nil && c.heads.Resize(cost) != nil {
		return errNoMemory
	}
	c.headCost = cost
	return nil
}

// reserveTrailer reserves the memory of a trailer beside that of the head.
func (c *conn) reserveTrailer(cost int64) error {
	if c.heads != nil && c.heads.Resize(c.headCost+cost) != nil {
		return errNoMemory
	}
	return nil
}

// releaseHead releases the memory of the head and the trailer.
func (c *conn) releaseHead() {
	c.headCost = 0
	if c.heads != nil {
		c.heads.Release()
	}
}
