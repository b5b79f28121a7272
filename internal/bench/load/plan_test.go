package load

import (
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"citronrock.example/citronrock/internal/stand/engine"
	"citronrock.example/citronrock/internal/wire/caller"
)

// Guards against runs that differ for the same seed, and against requests with
// equal content, whose executions could not be counted separately.
func TestPlan(t *testing.T) {
	for name, classes := range map[string][]Class{"agentschap": Agentschap(), "xenho": XeNho()} {
		t.Run(name, func(t *testing.T) {
			a, b := newWorkload(7, classes, 50), newWorkload(7, classes, 50)
			seen := map[string]bool{}
			count := map[string]int{}
			const n = 2000
			var last arrival
			for range n {
				x, y := a.next(), b.next()
				if x.at != y.at || x.prompt != y.prompt || string(x.body) != string(y.body) || x.output != y.output {
					t.Fatalf("arrival %d differs", x.seq)
				}
				content := x.prompt + string(x.body)
				if seen[content] {
					t.Fatalf("arrival %d has the same content as an earlier one", x.seq)
				}
				seen[content] = true
				count[x.class.Name]++
				if c := x.class; !c.plain() && (x.output < uint32(c.Output.Min) || engine.CountTokens(x.prompt) > uint32(c.Prompt.Max)+20) {
					t.Fatalf("arrival %d: %d tokens for %d", x.seq, engine.CountTokens(x.prompt), x.output)
				}
				last = x
			}
			if got := float64(n) / last.at.Seconds(); got < 45 || got > 55 {
				t.Errorf("rate %.1f, want about 50", got)
			}
			for _, c := range classes {
				if share := float64(count[c.Name]) / n; share < c.Weight-0.04 || share > c.Weight+0.04 {
					t.Errorf("%s has a share of %.2f, want %.2f", c.Name, share, c.Weight)
				}
			}
		})
	}
}

// Guards against incomplete, reordered or foreign streams that count as answered.
func TestTake(t *testing.T) {
	prompt := "some prompt"
	text := engine.NewText(prompt)
	chunk := func(i uint32, token, finish string) *caller.GenerateChunk {
		return &caller.GenerateChunk{Index: i, Text: token, Finish: finish}
	}
	cases := map[string]struct {
		chunks []*caller.GenerateChunk
		ok     bool
	}{
		"whole":       {[]*caller.GenerateChunk{chunk(0, text.Token(0), ""), chunk(1, text.Token(1), "length")}, true},
		"end apart":   {[]*caller.GenerateChunk{chunk(0, text.Token(0), ""), chunk(1, text.Token(1), ""), chunk(2, "", "length")}, true},
		"lost token":  {[]*caller.GenerateChunk{chunk(1, text.Token(1), "length")}, false},
		"wrong index": {[]*caller.GenerateChunk{chunk(0, text.Token(0), ""), chunk(2, text.Token(1), "length")}, false},
		"repeated":    {[]*caller.GenerateChunk{chunk(0, text.Token(0), ""), chunk(0, text.Token(0), "")}, false},
		"other's":     {[]*caller.GenerateChunk{chunk(0, engine.NewText("x").Token(0), "")}, false},
		"early end":   {[]*caller.GenerateChunk{chunk(0, text.Token(0), "length")}, false},
		"wrong end":   {[]*caller.GenerateChunk{chunk(0, text.Token(0), ""), chunk(1, text.Token(1), "stop")}, false},
		"beyond end":  {[]*caller.GenerateChunk{chunk(0, text.Token(0), ""), chunk(1, text.Token(1), ""), chunk(2, "x", "")}, false},
		"not at last": {[]*caller.GenerateChunk{chunk(0, text.Token(0), ""), chunk(1, text.Token(0), "length")}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := &request{arrival: &arrival{output: 2}, text: text, start: time.Now()}
			var err error
			last := false
			for _, m := range c.chunks {
				if last, err = r.accept(m); err != nil {
					break
				}
			}
			if (err == nil && last) != c.ok || err != nil && !errors.Is(err, errWrong) {
				t.Fatalf("last %v, error %v", last, err)
			}
		})
	}
}

// Guards against a request that may have been executed and is counted as not run,
// when a later attempt is refused.
func TestJudge(t *testing.T) {
	refuse := connect.NewError(connect.CodeUnavailable, errors.New("full"))
	detail, err := connect.NewErrorDetail(&caller.Failure{Kind: caller.Failure_NOTRUN, After: durationpb.New(time.Second)})
	if err != nil {
		t.Fatal(err)
	}
	refuse.AddDetail(detail)
	broken := connect.NewError(connect.CodeUnavailable, errors.New("connection reset"))
	cases := map[string]struct {
		errs []error
		want Outcome
	}{
		"refused":             {[]error{refuse}, NotRun},
		"broken":              {[]error{broken}, Unknown},
		"broken, refused":     {[]error{broken, refuse}, Unknown},
		"refused, broken":     {[]error{refuse, broken}, Unknown},
		"broken, answered":    {[]error{broken, nil}, Answered},
		"wrong":               {[]error{wrongf("x")}, Wrong},
		"no token":            {[]error{&unsent{broken}}, NotRun},
		"broken, no token":    {[]error{broken, &unsent{broken}}, Unknown},
		"status of a backend": {[]error{errors.New("status 500")}, Failed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := &request{}
			for _, err := range c.errs {
				r.classify(err)
			}
			if r.outcome != c.want {
				t.Fatalf("%s, want %s", r.outcome, c.want)
			}
		})
	}
	if retryAfter(refuse) != time.Second || retryAfter(broken) != defaultRetryDelay {
		t.Error("the retry delay is not the Retry-After delay of the failure")
	}
}

// Guards against a worst tenth that doesn't show an outage, and against goodput that
// counts answers beyond their latency targets.
func TestGoodput(t *testing.T) {
	classes := []Class{{Name: "c", First: time.Second, Gap: 10 * time.Millisecond}}
	r := newResult(1, 10*time.Second, classes)
	rnd := rand.New(rand.NewPCG(1, 1))
	for i := range 1000 {
		e := &sample{class: &classes[0], at: time.Duration(i) * 10 * time.Millisecond, outcome: Answered,
			first: 500 * time.Millisecond, gap: 5 * time.Millisecond}
		switch {
		case i >= 300 && i < 400:
			e.outcome = NotRun
		case i >= 400 && i < 450:
			e.first += time.Second
		case i >= 500 && i < 550:
			e.gap += time.Duration(10+rnd.IntN(9)) * time.Millisecond
		}
		r.add(e)
	}
	if mean, worst := r.Goodput(); mean != 80 || worst != 0 {
		t.Fatalf("goodput %g, worst %g", mean, worst)
	}
	if n, answered := r.Count(Answered); n != 1000 || answered != 900 {
		t.Fatalf("%d of %d answered", answered, n)
	}
}

// Guards against synthesized prompts that share longer or shorter prefixes than the
// recorded ones.
func TestTracePrompts(t *testing.T) {
	text := func(print uint64, tokens uint32, pieces ...uint64) string {
		p := recorded{tokens: tokens, pieces: pieces, fingerprint: print}
		return p.prompt()
	}
	a, b := text(1, 4100, 11, 12), text(2, 4100, 11, 13)
	if engine.CountTokens(a) != 4100 || engine.CountTokens(b) != 4100 || engine.CountTokens(text(3, 7)) != 7 {
		t.Errorf("lengths %d, %d", engine.CountTokens(a), engine.CountTokens(b))
	}
	x, y := engine.BlockHashes(a), engine.BlockHashes(b)
	if len(x) != 2 || len(y) != 2 || x[0] != y[0] || x[1] == y[1] {
		t.Errorf("KV blocks %v and %v, want the first equal and the second different", x, y)
	}
	if a != text(1, 4100, 11, 12) || a == text(4, 4100, 11, 12) {
		t.Error("the text does not follow the fingerprint")
	}
}

// Guards against progress that is reported only once, or after the run has ended.
func TestProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		classes := []Class{{Name: "c"}}
		r := newResult(1, time.Minute, classes)
		var reports [][2]int
		stop := r.reportProgress(func(sent, ended int) { reports = append(reports, [2]int{sent, ended}) })
		r.sent.Add(3)
		time.Sleep(1500 * time.Millisecond)
		r.add(&sample{class: &classes[0], outcome: Answered})
		time.Sleep(time.Second)
		stop()
		time.Sleep(time.Minute)
		if want := [][2]int{{3, 0}, {3, 1}}; !slices.Equal(reports, want) {
			t.Errorf("reported %v, want %v", reports, want)
		}
	})
}
