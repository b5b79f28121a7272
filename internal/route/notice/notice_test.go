package notice_test

import (
	"net/netip"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/peer/beat"
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

// crew is a set of live daemons.
type crew []beat.Seen

func (c crew) Alive() []beat.Seen { return c }

// Guards against a fleet whose daemons all read the store for others while they
// are young, and against one without a reader.
func TestReader(t *testing.T) {
	cases := map[string]struct {
		young, mature int
		// least and most bound the number of readers.
		least, most int
	}{
		"alone":                   {1, 0, 1, 1},
		"two":                     {0, 2, 2, 2},
		"small fleet":             {0, 6, 2, 2},
		"large fleet":             {0, 84, 3, 3},
		"large fleet that starts": {84, 0, 3, 3},
		"one survived":            {83, 1, 1, 1},
		"a few fresh daemons":     {3, 81, 3, 3},
		"small fleet that starts": {6, 0, 2, 2},
		"one of two is young":     {1, 1, 2, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var all crew
			for i := range c.young + c.mature {
				all = append(all, beat.Seen{Member: beat.Member{Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)}, Mature: i >= c.young})
			}
			readers := 0
			for _, m := range all {
				if notice.New(m.Addr, nil, all).Reader() {
					readers++
				}
			}
			if readers < c.least || readers > c.most {
				t.Errorf("%d readers, want %d to %d", readers, c.least, c.most)
			}
		})
	}
}
