package notice_test

import (
	"testing"
	"time"

	"citronrock.example/citronrock/internal/route/notice"
)

// Guards against notices that are too large to be sent: they left out nothing,
// so that daemons heard of no change at all.
func TestLogBoundsNotices(t *testing.T) {
	now := time.Unix(0, 0)
	cases := map[string]struct {
		// reads are the numbers of changes of the reads, a second apart.
		reads        []int
		base, events int
	}{
		"nothing":             {nil, 9, 0},
		"all fit":             {[]int{3, 4}, 0, 7},
		"the newest fit":      {[]int{60, 50, 40}, 1, 90},
		"the last is too big": {[]int{3, 3000}, 2, 0},
		"old ones are left":   {[]int{1, 1, 1, 1, 1, 1}, 2, 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var l notice.Log
			for i, n := range c.reads {
				l.Add(now.Add(time.Duration(i)*time.Second), uint64(i), make([]notice.Event, n))
			}
			at := uint64(len(c.reads))
			if at == 0 {
				at = 9
			}
			if n := l.Notice(at, 1); int(n.Base) != c.base || len(n.Events) != c.events || n.At != at {
				t.Errorf("base %d with %d events at %d, want base %d with %d events at %d", n.Base, len(n.Events), n.At, c.base, c.events, at)
			}
		})
	}
}
