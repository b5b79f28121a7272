package replay_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"citronrock.example/citronrock/internal/cli/deps"
	"citronrock.example/citronrock/internal/cli/root"
)

const testdata = "../../trace/record/testdata/"

// Guards against a replay that does not print a difference from the trace or exits with
// 0 after one.
func TestReplay(t *testing.T) {
	const (
		gone    = `{"at":0,"event":"outcome","request":"r","outcome":"failed","reason":"gone"}`
		fine    = `{"at":0,"event":"outcome","request":"r","outcome":"ok"}`
		missing = `{"at":0,"event":"outcome","request":"q","outcome":"ok"}`
		acted   = `{"at":1000000,"event":"acted","actions":[{"action":"sendask","ask":{"cell":"gent","output":20,"pieces":[11,12],"print":13,"priority":5,"request":"r","slack":450,"tokens":4100}}]}`
	)
	cases := map[string]struct {
		edit     func(lines []string) []string
		args     []string
		code     int
		out, err string
	}{
		"actions":         {out: "8ms\ttick\tprefill\t{\"action\":\"prefill\",\"engine\":\"p1\""},
		"outcomes":        {args: []string{"--outcomes"}, out: "104ms\tr\tfailed\tgone\t0s\n"},
		"json":            {args: []string{"--json"}, out: `"action": "prefill"`},
		"stated":          {edit: add(gone), args: []string{"--outcomes"}, out: "failed"},
		"stated wrong":    {edit: add(fine), code: 1, err: "request r: the trace has ok, the replay failed (gone)"},
		"stated missing":  {edit: add(missing), code: 1, err: "request q: the trace has ok, the replay no answer"},
		"wrong in json":   {edit: add(fine), args: []string{"--json", "--outcomes"}, code: 1, out: `"got": "failed (gone)"`},
		"same action":     {edit: cut(acted), out: "sendask"},
		"other action":    {edit: cut(strings.Replace(acted, "4100", "4101", 1)), code: 1, err: "event 2: the trace has {"},
		"action too few":  {edit: cut(""), code: 1, err: "event 2: the trace has no action"},
		"events missing":  {edit: add(`{"at":0,"event":"lost","count":3}`), code: 1, out: "prefill", err: "larger limit"},
		"not a trace":     {edit: func([]string) []string { return []string{"{}"} }, code: 1, err: `must begin with a line of kind "start"`},
		"unknown flag":    {args: []string{"--outcome"}, code: 2, err: "did you mean --outcomes?"},
		"unreadable file": {args: []string{"none.jsonl"}, code: 2, err: "arguments given"},
	}
	text, err := os.ReadFile(testdata + "gone.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			lines := strings.Split(strings.TrimSpace(string(text)), "\n")
			if c.edit != nil {
				lines = c.edit(lines)
			}
			file := filepath.Join(t.TempDir(), "trace.jsonl")
			if err := os.WriteFile(file, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
				t.Fatal(err)
			}
			var out, errs bytes.Buffer
			f := &deps.Factory{Out: &out, Err: &errs, Getenv: func(string) string { return "" }, Now: time.Now}
			if code := root.Main(context.Background(), f, append([]string{"replay", file}, c.args...)); code != c.code {
				t.Errorf("exit code %d, want %d; %s", code, c.code, errs.String())
			}
			if !strings.Contains(out.String(), c.out) {
				t.Errorf("output %q lacks %q", out.String(), c.out)
			}
			if !strings.Contains(errs.String(), c.err) {
				t.Errorf("error output %q lacks %q", errs.String(), c.err)
			}
		})
	}
}

// add appends a line to the trace.
func add(line string) func([]string) []string {
	return func(lines []string) []string { return append(lines, line) }
}

// cut ends the trace after the arrival and, with acts set in the header, replaces the
// recorded actions of the arrival by line.
func cut(line string) func([]string) []string {
	return func(lines []string) []string {
		lines[0] = strings.Replace(lines[0], `"incarnation"`, `"acts":true,"incarnation"`, 1)
		return append(lines[:3], line)
	}
}
