package owner

import "time"

// fenceBits is the width of the takeover time in a fencing number. Seconds since
// 1970 stay below 40 bits for the next 34,000 years.
const fenceBits = 40

// Fence returns the fencing number of an owner: the revision of the instance
// list in the high 24 bits, the time of its takeover, given in nanoseconds since
// 1970, as seconds in the low 40. It grows with the revision and, at the same
// revision, with each takeover, as long as the clocks of two owners differ by
// less than the suspect time of 3 s, which lies between two takeovers.
func Fence(revision, taken uint64) uint64 {
	seconds := taken / uint64(time.Second)
	return revision<<fenceBits | seconds&(1<<fenceBits-1)
}
