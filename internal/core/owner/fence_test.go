package owner

import "testing"

// Guards against a token of an older instance list or takeover that fences out a
// newer one.
func TestFenceGrowsWithRevisionThenTakeover(t *testing.T) {
	const second = 1_000_000_000
	ordered := []uint64{
		Fence(0, 1*second),
		Fence(0, 2*second),
		Fence(1, 1*second),
		Fence(1, 1_800_000_000*second),
		Fence(2, 0),
	}
	for i := 1; i < len(ordered); i++ {
		if ordered[i] <= ordered[i-1] {
			t.Errorf("token %d is %d, not above %d", i, ordered[i], ordered[i-1])
		}
	}
}
