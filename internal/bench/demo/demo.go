// Package demo runs the Agentschap's fleet under mixed traffic and checks that
// every request was answered once and whole.
package demo

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"citronrock.example/citronrock/internal/bench/fleet"
	"citronrock.example/citronrock/internal/bench/load"
	"citronrock.example/citronrock/internal/stand/engine"
)

// settling bounds the time in which engines must be free after the last answer.
const settling = 10 * time.Second

// Settings are the properties of a demo.
type Settings struct {
	Bin, Work string
	Seed      uint64
	Rate      float64
	Time      time.Duration
	// Direct replaces the daemons by a round robin router.
	Direct bool
	// Keep leaves the processes running.
	Keep bool
}

// Defaults returns the settings of script/demo.
func Defaults() Settings {
	return Settings{Bin: "bin", Work: "out/demo", Seed: 1, Rate: 20, Time: 15 * time.Second}
}

// Run starts the fleet, sends the load, prints a table to w and stops the fleet.
// It returns an error unless every request was answered once and whole, no
// memory stays held and all processes stop gracefully.
func Run(ctx context.Context, set Settings, w io.Writer) error {
	if set.Keep && set.Direct {
		return eris.New("the direct router ends with this process; leave out --keep or --direct")
	}
	plan := fleet.Agentschap()
	fmt.Fprintf(w, "starting the platform, %d daemons, %d engines and %d servers\n",
		plan.Daemons, len(plan.Document.Engines), len(plan.Document.Servers))
	f, err := fleet.Start(ctx, func(s *fleet.Settings) {
		s.Bin, s.Work, s.Direct, s.Plan = set.Bin, set.Work, set.Direct, plan
	})
	if f == nil {
		return err
	}
	if err == nil {
		err = measure(ctx, f, set, w)
	}
	if set.Keep {
		usage(f, w)
		return err
	}
	fmt.Fprintln(w, "stopping all processes")
	if stop := f.Close(); stop != nil {
		if err == nil {
			return stop
		}
		fmt.Fprintln(w, stop)
	}
	return err
}

func measure(ctx context.Context, f *fleet.Fleet, set Settings, w io.Writer) error {
	fmt.Fprintf(w, "callers reach the fleet at %s\n", strings.Join(f.Callers(), " "))
	fmt.Fprintf(w, "sending %g requests a second for %s, seed %d\n", set.Rate, set.Time, set.Seed)
	result, err := load.Run(ctx, f.Callers(), func(s *load.Settings) {
		s.Seed, s.Rate, s.Time, s.Classes, s.Retries = set.Seed, set.Rate, set.Time, load.Agentschap(), 5
	})
	if err != nil {
		return err
	}
	if err := result.Print(w); err != nil {
		return err
	}
	for _, line := range result.Failures {
		fmt.Fprintln(w, "  "+line)
	}
	if err := WaitIdle(ctx, f, settling); err != nil {
		return err
	}
	total, err := f.Total(ctx)
	if err != nil {
		return err
	}
	waste(w, total)
	if n, answered := result.Count(load.Answered); answered != n || result.Unsent > 0 {
		return eris.Errorf("%d of %d requests answered, %d not sent", answered, n, result.Unsent)
	}
	return once(ctx, f, result)
}

// WaitIdle waits until no engine holds memory, for at most limit.
func WaitIdle(ctx context.Context, f *fleet.Fleet, limit time.Duration) error {
	over := time.Now().Add(limit)
	for {
		held, err := f.Held(ctx)
		if err != nil {
			return err
		}
		var pieces uint32
		requests := 0
		for _, h := range held {
			pieces += h.Pieces
			requests += h.Requests
		}
		if pieces == 0 && requests == 0 {
			return nil
		}
		if time.Now().After(over) {
			return eris.Errorf("%d requests still hold %d pieces after %s", requests, pieces, limit)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// once checks the runs of all calls that may not be repeated.
func once(ctx context.Context, f *fleet.Fleet, result *load.Result) error {
	for path, calls := range result.AtMostOnce {
		runs, err := f.Runs(ctx, path)
		if err != nil {
			return err
		}
		if err := CheckRuns(calls, runs); err != nil {
			return eris.Wrapf(err, "path %s", path)
		}
	}
	return nil
}

// CheckRuns checks the runs of calls that may not be repeated against what their
// callers were told. Both are by the hash of path and body.
func CheckRuns(calls map[string]load.Outcome, runs map[string]int) error {
	for sum, outcome := range calls {
		n := runs[sum]
		if n > 1 || n == 0 && outcome == load.Answered || n > 0 && outcome == load.NotRun {
			return eris.Errorf("call %s ran %d times and was reported as %s", sum, n, outcome)
		}
	}
	return nil
}

func waste(w io.Writer, sum engine.Held) {
	wasted := max(0, int64(sum.Computed)-int64(sum.Used))
	share := 0.0
	if sum.Computed > 0 {
		share = 100 * float64(wasted) / float64(sum.Computed)
	}
	fmt.Fprintf(w, "prefill: %d tokens computed, %d used, %d wasted (%.2f%%); %d double runs, %d preemptions\n",
		sum.Computed, sum.Used, wasted, share, sum.Double, sum.Preempted)
}

// usage prints how to call the fleet and how to stop it.
func usage(f *fleet.Fleet, w io.Writer) {
	callers := f.Callers()
	if len(callers) == 0 {
		fmt.Fprintln(w, "no daemon runs")
		return
	}
	base := "http://" + callers[0] + "/citronrock.caller.Router/"
	call := fmt.Sprintf(`{"head":{"tenant":"agentschap","service":"bestelbalie","deadline":"5s"},"path":"/stock","body":%q}`,
		base64.StdEncoding.EncodeToString([]byte("veter 120 cm")))
	fmt.Fprintf(w, "a call to a plain service:\n  curl -H 'Content-Type: application/json' -d '%s' %sCall\n", call, base)
	generate, _ := json.Marshal(map[string]any{
		"head":   map[string]string{"tenant": "agentschap", "service": "taalpost", "deadline": "30s"},
		"prompt": "Beste dealer", "max": 16,
	})
	n := len(generate)
	// A streaming call frames each message: a zero byte and four bytes of length.
	fmt.Fprintf(w, "a generate request:\n  printf '\\000\\000\\000\\%03o\\%03o%%s' '%s' | curl -sN -H 'Content-Type: application/connect+json' --data-binary @- %sGenerate\n",
		n>>8, n&255, generate, base)
	for _, d := range f.Daemons() {
		fmt.Fprintf(w, "%s: callers %s, status http://%s/\n", d.Name, d.Caller, d.Admin)
	}
	pids := f.Pids()
	names := make([]string, 0, len(pids))
	for name := range pids {
		names = append(names, name)
	}
	sort.Strings(names)
	fmt.Fprint(w, "to stop all:\n  kill")
	for _, name := range names {
		fmt.Fprintf(w, " %d", pids[name])
	}
	fmt.Fprintln(w)
}
