package permit_test

import (
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/peer/gossip"
	"citronrock.example/citronrock/internal/room/permit"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var t0 = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

func ExampleAccount() {
	a := permit.NewAccount(t0)
	a.SetRate(t0, 4, 1)
	for _, ms := range []int{0, 250, 300, 1000} {
		v := a.Take(at(ms), 1, 0)
		fmt.Println(v.Granted, v.Hold)
	}
	// Output:
	// 0 250ms
	// 1 0s
	// 0 200ms
	// 1 0s
}

// Guards against more permits than the bound that the package documents allows in any
// span of time, however asks, idle times, shares and lower limits come.
func TestAccountBound(t *testing.T) {
	type event struct {
		at      time.Time
		granted int
	}
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(28))
	properties.Property("bound", prop.ForAll(func(rate float64, pauses, numbers, changes []int) bool {
		a, now, taken := permit.NewAccount(t0), t0, []event{}
		a.SetRate(now, rate, 1)
		for i := range min(len(pauses), len(numbers), len(changes)) {
			now = now.Add(time.Duration(pauses[i]) * time.Millisecond)
			switch changes[i] {
			case 0:
				a.SetRate(now, rate, 0.5)
			case 1:
				a.SetRate(now, rate/3, 1)
			default:
				a.SetRate(now, rate, 1)
			}
			taken = append(taken, event{at: now, granted: a.Take(now, numbers[i], 0).Granted})
		}
		for i := range taken {
			sum := 0
			for _, e := range taken[i:] {
				sum += e.granted
				if bound := rate*(e.at.Sub(taken[i].at).Seconds()+0.5) + 1; float64(sum) > bound+1e-6 {
					return false
				}
			}
		}
		return true
	}, gen.Float64Range(0.05, 200), gen.SliceOfN(60, gen.IntRange(0, 700)), gen.SliceOfN(60, gen.IntRange(0, 40)), gen.SliceOfN(60, gen.IntRange(0, 8))))
	properties.TestingRun(t)
}

// Guards against permits that nobody gets although requests ask for them, and against
// times to come back that are far from the time of the next permit.
func TestAccountIsUsed(t *testing.T) {
	for name, rate := range map[string]float64{"small": 0.25, "one": 1, "usual": 6.4, "large": 200} {
		t.Run(name, func(t *testing.T) {
			a, granted := permit.NewAccount(t0), 0
			a.SetRate(t0, rate, 1)
			const seconds = 60
			for ms := 0; ms < seconds*1000; ms++ {
				v := a.Take(at(ms), 1, 0)
				granted += v.Granted
				next := time.Duration(float64(time.Second) / rate)
				if v.Granted == 0 && (v.Hold <= 0 || v.Hold > max(3*time.Second, next) || v.Return < min(v.Hold, next) || v.Return > max(5*time.Second, next)) {
					t.Fatalf("after %d ms: %+v", ms, v)
				}
			}
			if share := float64(granted) / (rate * seconds); share < 0.9 {
				t.Errorf("%.0f%% of the limit was granted", 100*share)
			}
			if l := a.Load(at(seconds * 1000)); l.Granted != granted || l.Denied != seconds*1000-granted || l.Most > l.Allowed || math.Abs(l.Used-float64(granted)/(rate*seconds)) > 0.01 {
				t.Errorf("record %+v, granted %d", l, granted)
			}
		})
	}
}

// Guards against a limit that ends, is raised or is lowered by a response that is older
// than what is known, and against one that never ends.
func TestLearn(t *testing.T) {
	named := func(rate float64, sent, arrived int) permit.Limit {
		return permit.Limit{Rate: rate, Sent: at(sent), Arrived: at(arrived)}
	}
	none := func(sent, arrived int) permit.Limit {
		return permit.Limit{None: true, Sent: at(sent), Arrived: at(arrived)}
	}
	cases := map[string]struct {
		steps   []permit.Limit
		limited bool
		rate    float64
	}{
		"unknown":                       {nil, false, 0},
		"never named":                   {[]permit.Limit{none(0, 10)}, false, 0},
		"named":                         {[]permit.Limit{named(6, 0, 10)}, true, 6},
		"ended":                         {[]permit.Limit{named(6, 0, 10), none(600, 610)}, false, 0},
		"ended, sent before the naming": {[]permit.Limit{named(6, 0, 10), none(5, 900)}, true, 6},
		"ended, sent just after it":     {[]permit.Limit{named(6, 0, 10), none(50, 60)}, true, 6},
		"ended, still named since":      {[]permit.Limit{named(6, 0, 10), named(6, 400, 410), none(600, 610)}, true, 6},
		"named again":                   {[]permit.Limit{named(6, 0, 10), none(600, 610), named(6, 700, 710)}, true, 6},
		"old notice after the end":      {[]permit.Limit{named(6, 0, 10), none(600, 610), named(6, 0, 500)}, false, 0},
		"lowered":                       {[]permit.Limit{named(6, 0, 10), named(2, 11, 20)}, true, 2},
		"lowered, out of order":         {[]permit.Limit{named(6, 0, 10), named(2, 5, 9)}, true, 2},
		"raised":                        {[]permit.Limit{named(2, 0, 10), named(6, 600, 610)}, true, 6},
		"raised by an older response":   {[]permit.Limit{named(2, 100, 110), named(6, 50, 600)}, true, 2},
		"old and lower":                 {[]permit.Limit{named(2, 0, 10), named(6, 600, 610), named(2, 0, 599)}, true, 6},
		"zero":                          {[]permit.Limit{named(0, 0, 10)}, true, permit.MinRate},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var k permit.Known
			for _, l := range c.steps {
				k.Learn(l)
			}
			if k.Limited() != c.limited || c.limited && k.Rate() != c.rate {
				t.Errorf("limited %v, rate %v; want %v, %v", k.Limited(), k.Rate(), c.limited, c.rate)
			}
		})
	}
}

// Guards against a notice that changes on its way, and against invalid ones.
func TestNotice(t *testing.T) {
	var k permit.Known
	k.Learn(permit.Limit{Rate: 6.4, Sent: at(0), Arrived: at(15)})
	n := k.Notice(at(100), "x", 7)
	// The receiver's clock differs, and the message took 2 ms.
	received := at(1_000_102)
	l, ok := n.Limit(received)
	if want := (permit.Limit{Rate: 6.4, Sent: received.Add(-100 * time.Millisecond), Arrived: received.Add(-85 * time.Millisecond)}); !ok || l != want {
		t.Errorf("limit %+v, %v; want %+v", l, ok, want)
	}
	for name, bad := range map[string]permit.Notice{
		"not a number": {Rate: math.NaN()}, "infinite": {Rate: math.Inf(1)}, "negative": {Rate: -1}, "from the future": {Rate: 1, Sent: -5, Arrived: -10},
		"arrived before it was sent": {Rate: 1, Sent: 5, Arrived: 10}, "too old": {Rate: 1, Sent: 2 * time.Hour},
	} {
		if _, ok := bad.Limit(t0); ok {
			t.Errorf("notice that is %s is taken", name)
		}
	}
}

// Guards against parts of a divided fleet that together grant more than 4/3 of a limit.
func TestShares(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(28))
	properties.Property("shares", prop.ForAll(func(parts []int) bool {
		all, sum := 0, 0.0
		for _, n := range parts {
			all += n
		}
		for _, n := range parts {
			sum += permit.Share(n, all-n)
		}
		return sum < 4.0/3
	}, gen.SliceOfN(4, gen.IntRange(1, 100))))
	properties.TestingRun(t)
	if permit.Share(7, 0) != 1 || permit.Share(6, 1) != 1 || permit.Share(3, 3) != 0.5 {
		t.Errorf("shares %v, %v, %v; want 1, 1, 0.5", permit.Share(7, 0), permit.Share(6, 1), permit.Share(3, 3))
	}
}

// Guards against limits that are owned by daemons that can't account for them.
func TestOwner(t *testing.T) {
	member := func(i byte, share uint32, mature, leaving bool) gossip.LiveMember {
		return gossip.LiveMember{Member: gossip.Member{Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 7000), CPUShare: share, Leaving: leaving}, Mature: mature}
	}
	all := []gossip.LiveMember{member(1, 80, true, false), member(2, 80, true, true), member(3, 80, false, false), member(4, 19, true, false), member(5, 40, true, false)}
	owners := map[netip.AddrPort]int{}
	for i := range 200 {
		owners[permit.Owner(fmt.Sprint("i-", i), all)]++
	}
	if len(owners) != 2 || owners[all[0].Addr] < 50 || owners[all[4].Addr] < 50 {
		t.Errorf("owners %v, want the two that are mature, strong and don't leave, evenly", owners)
	}
	if o := permit.Owner("x", all[2:3]); o.IsValid() {
		t.Errorf("owner %v, want none", o)
	}
}

// Guards against a limit without an owner, whose server then gets nothing, while the only
// strong daemons are leaving or have just started.
func TestOwnerBesideStrongDaemonsThatMayNotOwn(t *testing.T) {
	weak := gossip.LiveMember{Member: gossip.Member{Addr: netip.MustParseAddrPort("10.0.0.1:7000"), CPUShare: 40}, Mature: true}
	for name, strong := range map[string]gossip.LiveMember{
		"leaving":      {Member: gossip.Member{Addr: netip.MustParseAddrPort("10.0.0.2:7000"), CPUShare: 100, Leaving: true}, Mature: true},
		"just started": {Member: gossip.Member{Addr: netip.MustParseAddrPort("10.0.0.2:7000"), CPUShare: 100}},
	} {
		t.Run(name, func(t *testing.T) {
			if o := permit.Owner("x", []gossip.LiveMember{weak, strong}); o != weak.Addr {
				t.Errorf("owner %v, want %v", o, weak.Addr)
			}
		})
	}
}

// Guards against a limit that is so high that the number of saved permits is no int: all
// requests were denied.
func TestHugeLimit(t *testing.T) {
	a := permit.NewAccount(t0)
	a.SetRate(t0, 1e21, 1)
	if v := a.Take(at(1000), 7, 0); v != (permit.Verdict{Granted: 7}) {
		t.Errorf("verdict %+v, want 7 permits", v)
	}
	if l := a.Load(at(2000)); l.Granted != 7 || l.Allowed <= 0 {
		t.Errorf("record %+v", l)
	}
}
