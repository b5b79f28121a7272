package owner

import "time"

// takeoverBits is the width of the takeover time in a fencing token. Seconds since
// 1970 fit into 40 bits for the next 34,000 years.
const takeoverBits = 40

// Fence returns the fencing token of an owner: the revision of the instance list in
// the high 24 bits, and the time of the takeover in seconds in the low 40. takenOver
// is in nanoseconds since 1970. Tokens grow with the revision and, at the same
// revision, with each takeover. The latter holds while the clocks of two owners
// differ by less than the suspicion timeout of 3 s, since takeovers are at least
// that far apart.
func Fence(revision, takenOver uint64) uint64 {
	seconds := takenOver / uint64(time.Second)
	return revision<<takeoverBits | seconds&(1<<takeoverBits-1)
}
