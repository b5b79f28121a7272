// Package expl implements "citronrock explain".
package expl

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"citronrock.example/citronrock/internal/cli/deps"
	"citronrock.example/citronrock/internal/cli/flags"
	"github.com/rotisserie/eris"
)

const usage = "citronrock explain REQUEST FILE... [--json]"

const help = `Show what happened to one request, from the logs of routers.

Prints, in time order, the log lines about the request and the state changes that may
have affected it (of servers, owner, store and configuration): those of the routers that
handled it, from 10s before its start to 1s after its end, without lines about servers
that it did not use. Lines about the request are marked with *. Lines may have a prefix
before the JSON object. The exit code is 1 when no line mentions the request.

examples:
  citronrock explain 9c41d07be2a35f68 gent-1.log gent-2.log
  citronrock explain 9c41d07be2a35f68 all.log --json`

const (
	// lookback is how long before the start of the request a state change may have
	// happened that affected it.
	lookback = 10 * time.Second
	// lookahead is the same after its end: the loss of a server may be detected late.
	lookahead = time.Second
	// maxLineBytes bounds a log line. A longer one is an error.
	maxLineBytes = 1 << 20
)

// Options holds the output stream and the parsed arguments of the command.
type Options struct {
	out     io.Writer
	request string
	files   []string
	json    bool
}

// New parses the arguments of the command. Wrong arguments give a *deps.UsageError,
// and --help gives flags.ErrHelp.
func New(f *deps.Factory, args []string) (*Options, error) {
	o := &Options{out: f.Out}
	set := flags.New(usage, help)
	set.Bool(&o.json, "json", "print the lines as logged, in JSON")
	set.Positional(&o.request, "REQUEST", true)
	// The first positional argument is the request, all others are files.
	var parsed []string
	haveRequest := false
	for _, a := range args {
		switch {
		case strings.HasPrefix(a, "-") || !haveRequest:
			parsed = append(parsed, a)
			haveRequest = haveRequest || !strings.HasPrefix(a, "-")
		default:
			o.files = append(o.files, a)
		}
	}
	if err := set.Parse(parsed, f.Out); err != nil {
		return nil, err
	}
	if len(o.files) == 0 {
		return nil, &deps.UsageError{Usage: usage, Problem: "no log file given"}
	}
	return o, nil
}

// line is one log line.
type line struct {
	at       time.Time
	instance string
	message  string
	fields   map[string]any
	raw      string // from the opening brace on, without a prefix
}

// field returns a field as text, or "" when it is missing.
func (l *line) field(name string) string {
	if v, ok := l.fields[name]; ok {
		return fmt.Sprint(v)
	}
	return ""
}

// Run prints the log lines selected for the request. It fails when a file can't be
// read or no line mentions the request.
func Run(o *Options) error {
	var all []line
	for _, file := range o.files {
		lines, err := readLog(file)
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	selected := Select(all, o.request)
	if len(selected) == 0 {
		return eris.Errorf("no log line mentions request %s; pass the logs of all routers in its zone", o.request)
	}
	for _, l := range selected {
		if o.json {
			fmt.Fprintln(o.out, l.raw)
			continue
		}
		mark := " "
		if l.field("request") == o.request {
			mark = "*"
		}
		fmt.Fprintf(o.out, "%s %s %-20s %-14s %s\n", mark, l.at.Format("15:04:05.000"), l.instance, l.message, l.otherFields())
		if text := l.quota(); mark == "*" && text != "" {
			fmt.Fprintln(o.out, "  "+text)
		}
	}
	return nil
}

// quota returns a sentence about a request that was refused for the limit of its tenant,
// "" for other lines.
func (l *line) quota() string {
	if l.field("cost") == "" || l.field("tenant") == "" {
		return ""
	}
	return fmt.Sprintf("tenant %s had %s of %s units, owner %s, age %s ms", l.field("tenant"), l.field("had"), l.field("cost"),
		l.field("owner"), l.field("told"))
}

// otherFields returns the fields that have no column of their own, sorted by name.
func (l *line) otherFields() string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		if strings.HasPrefix(name, "@") || name == "instance" || name == "request" {
			continue
		}
		out = append(out, name+"="+l.field(name))
	}
	return strings.Join(out, " ")
}

func readLog(file string) ([]line, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, eris.Wrap(err, "can't open the log; check its path and permissions")
	}
	defer func() { _ = f.Close() }() // read only, so closing loses no data
	var out []line
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Bytes()); ok {
			out = append(out, l)
		}
	}
	return out, eris.Wrap(scanner.Err(), "can't read the log")
}

// parseLine parses a log line. It returns false for output that is not a log line,
// such as what a test bench prints.
func parseLine(text []byte) (line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return line{}, false
	}
	l := line{raw: string(text[start:]), fields: map[string]any{}}
	dec := json.NewDecoder(bytes.NewReader(text[start:]))
	dec.UseNumber()
	if dec.Decode(&l.fields) != nil {
		return line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, l.field("@timestamp"))
	if err != nil {
		return line{}, false
	}
	l.at, l.message, l.instance = at, l.field("@message"), l.field("instance")
	return l, true
}

// Select returns, in time order, the lines about a request and the state changes that
// may have affected it: other lines of the routers that logged it, close to it in time
// and not about a server that it did not use. It returns nil when no line mentions it.
func Select(all []line, request string) []line {
	var first, last time.Time
	instances, servers := map[string]bool{}, map[string]bool{}
	for _, l := range all {
		if l.field("request") != request {
			continue
		}
		start := l.at
		if number, ok := l.fields["took"].(json.Number); ok {
			took, _ := number.Float64() // milliseconds; 0 when it is not a number
			start = l.at.Add(-time.Duration(took * float64(time.Millisecond)))
		}
		if first.IsZero() || start.Before(first) {
			first = start
		}
		if l.at.After(last) {
			last = l.at
		}
		instances[l.instance] = true
		for _, name := range []string{"server", "decode", "prefill"} {
			if s := l.field(name); s != "" {
				servers[s] = true
			}
		}
	}
	if first.IsZero() {
		return nil
	}
	out := slices.DeleteFunc(slices.Clone(all), func(l line) bool {
		if l.field("request") != "" {
			return l.field("request") != request
		}
		if l.at.Before(first.Add(-lookback)) || l.at.After(last.Add(lookahead)) || !instances[l.instance] {
			return true
		}
		return l.field("server") != "" && !servers[l.field("server")]
	})
	slices.SortStableFunc(out, func(a, b line) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.instance, b.instance))
	})
	return out
}
