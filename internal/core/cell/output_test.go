package cell

import "testing"

// Guards against a weight of wasted prefill that has no effect on the quantile.
func TestWasteRaisesTheReservation(t *testing.T) {
	cases := map[string]struct {
		waste     float64
		least, up uint32
	}{
		"goodput only": {0, 780, 820},
		"half":         {0.5, 870, 910},
		"waste only":   {1, 950, 1000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			o := New("me", 1).outputOf("s")
			o.setWaste(0.8, c.waste)
			for i := range uint32(32 * updateInterval) {
				o.add(1 + i*1000/(32*updateInterval))
			}
			if got := o.expect(5000); got < c.least || got > c.up {
				t.Errorf("%d output tokens expected, want %d to %d", got, c.least, c.up)
			}
		})
	}
}
