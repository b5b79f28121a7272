package owner

import "time"

// fenceBits is the width of the incarnation in a fencing number. Seconds since
// 1970 stay below 40 bits for the next 34,000 years.
const fenceBits = 40

// Fence returns the fencing number of an owner: the revision of the instance
// list in the high 24 bits, the owner's incarnation, given in nanoseconds since
// 1970, as seconds in the low 40. It never decreases while the revision grows.
func Fence(revision, incarnation uint64) uint64 {
	seconds := incarnation / uint64(time.Second)
	return revision<<fenceBits | seconds&(1<<fenceBits-1)
}
