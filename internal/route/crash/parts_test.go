package crash_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// Bounds of the contract: requests with a part that has crashed toleratedCrashes engines
// and that reach engines later than the contact window.
const (
	toleratedCrashes = 5
	toleratedLater   = 3
)

// Guards against engines that crash one after the other under requests which share a part
// of their prompts and are otherwise different, and against refusing sound requests that
// share the other parts: crashes were counted by the whole content of a request only.
func TestPartsThatCrashEngines(t *testing.T) {
	soundChain := func(random *rand.Rand, _ int) []string {
		return []string{some(random, "first", 3), some(random, "middle", 40)}
	}
	cases := map[string]struct {
		bad   []string
		body  string
		loads []load
	}{
		"middle part": {bad: []string{"bad"}, loads: []load{
			{3, func(random *rand.Rand, _ int) []string { return []string{some(random, "first", 3), "bad"} }, ""}}},
		"middle part before others": {bad: []string{"bad"}, loads: []load{
			{3, func(random *rand.Rand, n int) []string {
				return []string{some(random, "first", 3), "bad", some(random, "middle", 40)}
			}, ""}}},
		"first part": {bad: []string{"bad"}, loads: []load{
			{3, func(random *rand.Rand, n int) []string { return []string{"bad", some(random, "middle", 40)} }, ""}}},
		"shared by two chains": {bad: []string{"bad"}, loads: []load{
			{2, func(random *rand.Rand, n int) []string { return []string{"first0", "bad", fmt.Sprint("own", n)} }, ""},
			{2, func(random *rand.Rand, n int) []string { return []string{"first1", "a", "b", "bad"} }, ""}}},
		"two parts at once": {bad: []string{"bad", "worse"}, loads: []load{
			{2, func(random *rand.Rand, n int) []string { return []string{"first0", "bad"} }, ""},
			{2, func(random *rand.Rand, n int) []string {
				return []string{"first0", "worse", some(random, "middle", 40)}
			}, ""}}},
		"beside a request that crashes by its content": {bad: []string{"bad"}, body: "content", loads: []load{
			{2, func(random *rand.Rand, n int) []string { return []string{"first0", "bad"} }, ""},
			{1, func(random *rand.Rand, n int) []string { return []string{"first0", "middle1"} }, "content"}}},
	}
	sizes := map[string]struct {
		daemons, engines int
		loss             float64
		seeds            uint64
	}{
		"7 daemons":                       {7, 9, 0, 4},
		"7 daemons, lost datagrams":       {7, 9, 0.1, 4},
		"72 daemons, lost datagrams":      {72, 60, 0.1, 2},
		"295 daemons, a third is lost":    {295, 60, 0.33, 1},
		"295 daemons, few runs at engine": {295, 200, 0, 1},
	}
	for name, c := range cases {
		for size, s := range sizes {
			t.Run(size+"/"+name, func(t *testing.T) {
				t.Parallel()
				for seed := range s.seeds {
					synctest.Test(t, func(t *testing.T) {
						f := newFleet(s.daemons, s.engines, s.loss, seed)
						defer f.close()
						sound := load{rate: 15, parts: soundChain}
						f.run(5*time.Second, sound)
						for _, part := range c.bad {
							f.bad[part] = true
						}
						f.badBody = c.body
						f.run(8*time.Second, append(c.loads, sound)...)
						clear(f.sound)
						// A daemon is started again, and one thaws that had missed everything.
						f.daemons[1].guard.Close()
						f.daemons[1].start()
						f.daemons[2].offUntil, f.daemons[2].startedAt = time.Now().Add(3*time.Second), time.Now().Add(3*time.Second)
						f.run(20*time.Second, append(c.loads, sound)...)
						f.check(t, c.bad)
					})
				}
			})
		}
	}
}

// check compares what reached engines, and which sound requests were refused, with the
// contract.
func (f *fleet) check(t *testing.T, bad []string) {
	t.Helper()
	sent, refused := 0, 0
	for _, n := range f.sound {
		sent, refused = sent+n.sent, refused+n.refused
	}
	t.Logf("%d engines crashed, %v under the parts, %v requests later; %d of %d sound requests refused", f.engineDeaths, len(f.crashes[bad[0]]), f.later, refused, sent)
	for _, part := range bad {
		if f.later[part] > toleratedLater {
			t.Errorf("%d requests with part %s reached engines after %d crashes and %v, allowed %d; %d engines crashed", f.later[part], part,
				toleratedCrashes, contactWindow, toleratedLater, f.engineDeaths)
		}
	}
	for first, n := range f.sound {
		if n.sent >= 20 && n.refused*20 > n.sent {
			t.Errorf("%d of %d sound requests with first part %s were refused", n.refused, n.sent, first)
		}
	}
}
