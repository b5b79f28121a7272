// Package demo runs the Agentschap's fleet under mixed traffic and checks that every
// request was answered exactly once and completely.
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

// idleTimeout bounds the time in which engines must be free after the last answer.
const idleTimeout = 10 * time.Second

// Settings are the properties of a demo.
type Settings struct {
	Bin, Work string
	Seed      uint64
	Rate      float64
	Time      time.Duration
	// Direct replaces the daemons by a round-robin router.
	Direct bool
	// Keep leaves the processes running after the load.
	Keep bool
}

// Defaults returns the settings of script/demo.
func Defaults() Settings {
	return Settings{Bin: "bin", Work: "out/demo", Seed: 1, Rate: 20, Time: 15 * time.Second}
}

// Run starts the fleet, sends the load, prints a table to w and stops the fleet.
// It returns an error unless every request was answered exactly once and completely,
// the engines have freed all memory and all processes stop gracefully.
func Run(ctx context.Context, set Settings, w io.Writer) error {
	if set.Keep && set.Direct {
		return eris.New("the direct router stops with this process, so --keep and --direct exclude each other")
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
		printUsage(f, w)
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
	if err := WaitIdle(ctx, f, idleTimeout); err != nil {
		return err
	}
	total, err := f.Total(ctx)
	if err != nil {
		return err
	}
	printWaste(w, total)
	if n, answered := result.Count(load.Answered); answered != n || result.Unsent > 0 {
		return eris.Errorf("%d of %d requests answered, %d not sent", answered, n, result.Unsent)
	}
	return checkAtMostOnce(ctx, f, result)
}

// WaitIdle waits until no engine holds memory or requests, and returns an error if
// that takes longer than limit or an engine doesn't answer.
func WaitIdle(ctx context.Context, f *fleet.Fleet, limit time.Duration) error {
	deadline := time.Now().Add(limit)
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
		if time.Now().After(deadline) {
			return eris.Errorf("%d requests still hold %d KV blocks after %s", requests, pieces, limit)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// checkAtMostOnce checks the executions of all calls that must not be executed twice.
func checkAtMostOnce(ctx context.Context, f *fleet.Fleet, result *load.Result) error {
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

// CheckRuns compares the outcomes of at-most-once calls with their numbers of
// executions, both by the hash of path and body. It returns an error for a call that ran
// twice, was answered without running, or ran and was reported as not run.
func CheckRuns(calls map[string]load.Outcome, runs map[string]int) error {
	for hash, outcome := range calls {
		n := runs[hash]
		if n > 1 || n == 0 && outcome == load.Answered || n > 0 && outcome == load.NotRun {
			return eris.Errorf("call %s ran %d times and was reported as %s", hash, n, outcome)
		}
	}
	return nil
}

func printWaste(w io.Writer, sum engine.Stats) {
	wasted := max(0, int64(sum.Computed)-int64(sum.Used))
	share := 0.0
	if sum.Computed > 0 {
		share = 100 * float64(wasted) / float64(sum.Computed)
	}
	fmt.Fprintf(w, "prefill: %d tokens computed, %d used, %d wasted (%.2f%%); %d double runs, %d preemptions\n",
		sum.Computed, sum.Used, wasted, share, sum.Duplicates, sum.Preempted)
}

// printUsage prints how to call the fleet and how to stop it.
func printUsage(f *fleet.Fleet, w io.Writer) {
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
	// Connect's streaming protocol prefixes each message with a zero byte of flags and
	// a length of four bytes.
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
