package fleet

import (
	"sync"
	"testing"
)

// Guards against daemons that can't start because a second fleet, which starts at the same
// time, is given a port that they were given but don't listen on yet.
func TestFleetsShareNoPort(t *testing.T) {
	const fleets, each = 8, 300
	var all [fleets]ports
	var group sync.WaitGroup
	for i := range all {
		group.Go(func() {
			for range each {
				if _, err := all[i].next(); err != nil {
					t.Error(err)
				}
			}
		})
	}
	group.Wait()
	owner := map[uint16]int{}
	for i := range all {
		for _, p := range all[i].assigned {
			if first, taken := owner[p]; taken {
				t.Errorf("port %d is assigned to fleets %d and %d", p, first, i)
			}
			owner[p] = i
		}
	}
	if len(owner) != fleets*each {
		t.Errorf("%d ports assigned, want %d", len(owner), fleets*each)
	}
	for i := range all {
		all[i].release()
	}
	if n := len(reserved.assigned); n != 0 {
		t.Errorf("%d ports stay assigned after the release", n)
	}
}
