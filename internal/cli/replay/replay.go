// Package replay implements "citronrock replay".
package replay

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"citronrock.example/citronrock/internal/cli/deps"
	"citronrock.example/citronrock/internal/cli/flags"
	"citronrock.example/citronrock/internal/cli/table"
	"citronrock.example/citronrock/internal/core/cell"
	"citronrock.example/citronrock/internal/core/flow"
	"citronrock.example/citronrock/internal/core/node"
	"citronrock.example/citronrock/internal/trace/record"
)

const usage = "citronrock replay TRACE [--outcomes] [--json]"

const help = `Replay a recorded trace through the decision core.

Feeds the events of the trace to this program's version of the core and prints the
resulting actions or, with --outcomes, the answers to requests. The exit code is 1 when
the trace holds actions and the replay's differ, when a request ends otherwise than in
the trace's line of kind "outcome", or when a request is answered twice.

examples:
  citronrock replay trace.jsonl
  citronrock replay trace.jsonl --outcomes --json`

// Options holds the streams and the parsed arguments of the command.
type Options struct {
	deps           *deps.Factory
	file           string
	outcomes, json bool
}

// New parses the arguments of the command. Wrong arguments give a *deps.UsageError,
// and --help gives flags.ErrHelp.
func New(f *deps.Factory, args []string) (*Options, error) {
	o := &Options{deps: f}
	set := flags.New(usage, help)
	set.Bool(&o.outcomes, "outcomes", "print the answers to requests instead of the actions")
	set.Bool(&o.json, "json", "print as JSON")
	set.Positional(&o.file, "TRACE", true)
	return o, set.Parse(args, f.Out)
}

// Run replays the trace and prints the result, also when a later line can't be read. It
// fails then, and when the replay differs from the trace.
func Run(o *Options) error {
	in, err := os.Open(o.file)
	if err != nil {
		return fmt.Errorf("can't read the trace: %w; check its path and permissions", err)
	}
	defer func() { _ = in.Close() }()
	r, err := record.NewReader(in)
	if err != nil {
		return fmt.Errorf("%s: %w", o.file, err)
	}
	steps, readErr := record.Replay(r, newNode(r.Header()))
	if readErr != nil {
		readErr = fmt.Errorf("%s, after %d events: %w", o.file, len(steps), readErr)
	}
	answers := record.Answers(r.Header().Start, steps)
	differences := record.CompareOutcomes(r.Outcomes(), answers)
	if r.Header().Actions {
		more, err := record.CompareActions(steps)
		if err != nil {
			return err
		}
		differences = append(more, differences...)
	}
	return errors.Join(o.print(r.Header().Start, steps, answers, differences), readErr, o.reportDifferences(differences))
}

// newNode builds the decision core as a daemon does, so that it decides the same.
func newNode(h record.Header) *node.Node {
	owner := cell.New(h.Name, h.Incarnation)
	options := []flow.Option{flow.WithStrikes(owner.Strikes())}
	if h.Seed != 0 {
		options = append(options, flow.WithSeed(h.Seed))
	}
	return node.New(h.Name, flow.New(h.Name, h.Incarnation, options...), owner)
}

func (o *Options) reportDifferences(differences []record.Difference) error {
	for _, d := range differences {
		fmt.Fprintln(o.deps.Err, d)
	}
	if len(differences) > 0 {
		return fmt.Errorf("the replay differs from the trace in %d places", len(differences))
	}
	return nil
}

// step is one event in the JSON output, with the actions that it caused.
type step struct {
	At      time.Duration     `json:"at"`
	Event   string            `json:"event"`
	Actions []json.RawMessage `json:"actions"`
}

func (o *Options) print(start time.Time, steps []record.Step, answers []record.Answer, differences []record.Difference) error {
	if o.json {
		return o.printJSON(start, steps, answers, differences)
	}
	if o.outcomes {
		t := table.New("at", "request", "outcome", "reason", "after")
		for _, a := range answers {
			t.Add(a.At, a.Request, a.Outcome.Outcome, a.Reason, a.RetryAfter)
		}
		return t.Print(o.deps.Out, o.deps.Terminal)
	}
	t := table.New("at", "event", "action", "fields")
	for _, s := range steps {
		for _, a := range s.Actions {
			text, err := record.ActionText(a)
			if err != nil {
				return err
			}
			t.Add(s.At.Sub(start), record.EventKind(s.Event), record.ActionKind(a), text)
		}
	}
	return t.Print(o.deps.Out, o.deps.Terminal)
}

func (o *Options) printJSON(start time.Time, steps []record.Step, answers []record.Answer, differences []record.Difference) error {
	out := struct {
		Events      int                 `json:"events"`
		Steps       []step              `json:"steps,omitempty"`
		Answers     []record.Answer     `json:"answers"`
		Differences []record.Difference `json:"differences"`
	}{Events: len(steps), Answers: answers, Differences: append([]record.Difference{}, differences...)}
	if o.outcomes {
		return table.JSON(o.deps.Out, out)
	}
	for _, s := range steps {
		entry := step{At: s.At.Sub(start), Event: record.EventKind(s.Event), Actions: []json.RawMessage{}}
		for _, a := range s.Actions {
			text, err := record.ActionText(a)
			if err != nil {
				return err
			}
			entry.Actions = append(entry.Actions, json.RawMessage(text))
		}
		out.Steps = append(out.Steps, entry)
	}
	return table.JSON(o.deps.Out, out)
}
