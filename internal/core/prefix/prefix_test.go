package prefix

import (
	"slices"
	"testing"

	"citronrock.example/citronrock/internal/wire/engine"
)

func stored(seq, inc uint64, hashes ...uint64) *engine.CacheEvent {
	return &engine.CacheEvent{Sequence: seq, Incarnation: inc, Stored: hashes}
}

// Guards against routing by a prefix that the engine no longer holds, after a gap in
// its events or a restart.
func TestApply(t *testing.T) {
	prompt := []uint64{1, 2, 3}
	tests := map[string]struct {
		events []*engine.CacheEvent
		want   int
	}{
		"in order":        {[]*engine.CacheEvent{stored(1, 1, 1, 2), stored(2, 1, 3)}, 3},
		"hole in prompt":  {[]*engine.CacheEvent{stored(1, 1, 1, 3)}, 1},
		"gap drops":       {[]*engine.CacheEvent{stored(1, 1, 1, 2), stored(3, 1, 9)}, 0},
		"gap keeps new":   {[]*engine.CacheEvent{stored(1, 1, 9), stored(3, 1, 1)}, 1},
		"restart drops":   {[]*engine.CacheEvent{stored(1, 1, 1, 2), stored(2, 2, 9)}, 0},
		"old incarnation": {[]*engine.CacheEvent{stored(1, 2, 1), stored(2, 1, 2)}, 1},
		"repeat":          {[]*engine.CacheEvent{stored(2, 1, 1), stored(2, 1, 2)}, 1},
		"removed": {[]*engine.CacheEvent{stored(1, 1, 1, 2),
			{Sequence: 2, Incarnation: 1, Removed: []uint64{2}}}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			x := New(10)
			for _, e := range test.events {
				x.Apply(0, e)
			}
			depth := make([]int, 2)
			x.Match(prompt, depth)
			if !slices.Equal(depth, []int{test.want, 0}) {
				t.Errorf("depth is %v, want %d and 0", depth, test.want)
			}
		})
	}
}

// Guards against unbounded growth when an engine reports stored prefixes but never
// removed ones.
func TestSizeIsBounded(t *testing.T) {
	x := New(100)
	for i := range uint64(10000) {
		x.Apply(int(i%3), stored(i/3+1, 1, i))
	}
	if x.Len() > 300 {
		t.Errorf("%d entries, want at most 100 an engine", x.Len())
	}
	depth := make([]int, 3)
	x.Match([]uint64{9999}, depth)
	if depth[9999%3] != 1 {
		t.Error("the newest entry is gone")
	}
}
