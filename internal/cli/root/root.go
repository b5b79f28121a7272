// Package root dispatches the command line to a command and turns its error into an
// exit code.
package root

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"citronrock.example/citronrock/internal/cli/check"
	"citronrock.example/citronrock/internal/cli/deps"
	"citronrock.example/citronrock/internal/cli/diff"
	"citronrock.example/citronrock/internal/cli/engine"
	"citronrock.example/citronrock/internal/cli/expl"
	"citronrock.example/citronrock/internal/cli/flags"
	"citronrock.example/citronrock/internal/cli/inst"
	"citronrock.example/citronrock/internal/cli/load"
	"citronrock.example/citronrock/internal/cli/replay"
	"citronrock.example/citronrock/internal/cli/reqs"
	"citronrock.example/citronrock/internal/cli/show"
	"citronrock.example/citronrock/internal/cli/status"
	"citronrock.example/citronrock/internal/cli/vers"
	"citronrock.example/citronrock/internal/cli/webui"
)

// command is a command of the command line, such as "config check". parse parses its
// arguments and returns the function that runs it.
type command struct {
	name, summary string
	parse         func(f *deps.Factory, args []string) (func(context.Context) error, error)
}

// verb adapts the New and Run functions of a command's package.
func verb[O any](parse func(*deps.Factory, []string) (O, error), run func(context.Context, O) error) func(*deps.Factory, []string) (func(context.Context) error, error) {
	return func(f *deps.Factory, args []string) (func(context.Context) error, error) {
		o, err := parse(f, args)
		if err != nil {
			return nil, err
		}
		return func(ctx context.Context) error { return run(ctx, o) }, nil
	}
}

// withoutContext adapts a Run function that takes no context.
func withoutContext[O any](run func(O) error) func(context.Context, O) error {
	return func(_ context.Context, o O) error { return run(o) }
}

func commands() []command {
	return []command{
		{"config check", "check a document before it is published", verb(check.New, withoutContext(check.Run))},
		{"config diff", "show what a document would change", verb(diff.New, diff.Run)},
		{"config show", "show the published document", verb(show.New, show.Run)},
		{"status", "show the state of daemons", verb(status.New, status.Run)},
		{"instances", "list the instances as daemons see them", verb(inst.New, inst.Run)},
		{"engines", "list the engines with their load", verb(engine.New, engine.Run)},
		{"requests", "list the requests in flight", verb(reqs.New, reqs.Run)},
		{"console", "edit a document in a browser", verb(webui.New, webui.Run)},
		{"load", "send load to daemons and check the answers", verb(load.New, load.Run)},
		{"explain", "show what happened to one request, from logs", verb(expl.New, withoutContext(expl.Run))},
		{"replay", "replay a recorded trace through the decision core", verb(replay.New, withoutContext(replay.Run))},
		{"version", "show the version of this program", verb(vers.New, withoutContext(vers.Run))},
	}
}

// Main runs the command line, without the program's name in args, and prints the error,
// if any, to f.Err. It returns the exit code: deps.ExitOK, also after help was printed,
// deps.ExitFailed when the command failed, deps.ExitUsage for wrong arguments.
func Main(ctx context.Context, f *deps.Factory, args []string) int {
	err := run(ctx, f, args)
	var usageErr *deps.UsageError
	switch {
	case err == nil, errors.Is(err, flags.ErrHelp):
		return deps.ExitOK
	case errors.As(err, &usageErr):
		fmt.Fprintln(f.Err, err)
		return deps.ExitUsage
	}
	fmt.Fprintln(f.Err, err)
	return deps.ExitFailed
}

func run(ctx context.Context, f *deps.Factory, args []string) error {
	all := commands()
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "--help" {
		fmt.Fprint(f.Out, usageText(all))
		return flags.ErrHelp
	}
	for _, c := range all {
		words := strings.Fields(c.name)
		if len(args) < len(words) || strings.Join(args[:len(words)], " ") != c.name {
			continue
		}
		runCommand, err := c.parse(f, args[len(words):])
		if err != nil {
			return err
		}
		return runCommand(ctx)
	}
	return unknownCommand(all, args)
}

func unknownCommand(all []command, args []string) error {
	var names []string
	called := args[0]
	for _, c := range all {
		group, _, grouped := strings.Cut(c.name, " ")
		if grouped && group == args[0] {
			called = strings.Join(args[:min(2, len(args))], " ")
		}
		names = append(names, c.name)
	}
	problem := fmt.Sprintf("unknown command %q", called)
	if nearest := flags.Nearest(called, names); nearest != "" {
		problem += fmt.Sprintf("; did you mean %q?", nearest)
	} else {
		problem += "; the commands are: " + strings.Join(names, ", ")
	}
	return &deps.UsageError{Usage: "citronrock COMMAND [ARGUMENTS]", Problem: problem}
}

func usageText(all []command) string {
	var b strings.Builder
	b.WriteString("Inspect citronrock daemons and edit their configuration document.\n\n")
	b.WriteString("No command changes the configuration of a running daemon; only publishing a document does.\n\n")
	b.WriteString("usage: citronrock COMMAND [ARGUMENTS]\n\ncommands:\n")
	for _, c := range all {
		fmt.Fprintf(&b, "  %-14s %s\n", c.name, c.summary)
	}
	b.WriteString("\nexit codes: 0 success, 1 the command failed or found a problem, 2 wrong usage\n")
	b.WriteString("\nexamples:\n  citronrock config check fleet.toml\n  citronrock status --daemon 127.0.0.1:7201\n  citronrock status --help\n")
	return b.String()
}
