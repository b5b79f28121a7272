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

const help = `Tell what happened to one request, from the logs of routers.

Reads the log lines of one or more routers and prints, in order of time, the lines about
the request and those about what its routers believed: the servers that it was sent to,
the owner that was asked, the store and the configuration. Lines may have a prefix before
the JSON text. The exit code is 1 when no line names the request.

examples:
  citronrock explain 9c41d07be2a35f68 gent-1.log gent-2.log
  citronrock explain 9c41d07be2a35f68 all.log --json`

const (
	// before is how long before the request a belief may have changed that it
	// depended on.
	before = 10 * time.Second
	// after is the same after its end: a lost server may be noticed late.
	after = time.Second
	// longestLine bounds a log line in bytes.
	longestLine = 1 << 20
)

// Options are the streams and parsed arguments of the verb.
type Options struct {
	out     io.Writer
	request string
	files   []string
	json    bool
}

// New parses the arguments.
func New(f *deps.Factory, args []string) (*Options, error) {
	o := &Options{out: f.Out}
	set := flags.New(usage, help)
	set.Bool(&o.json, "json", "print the lines as they were written")
	set.Positional(&o.request, "REQUEST", true)
	// The first word is the request, the others are files.
	var words []string
	named := false
	for _, a := range args {
		switch {
		case strings.HasPrefix(a, "-") || !named:
			words = append(words, a)
			named = named || !strings.HasPrefix(a, "-")
		default:
			o.files = append(o.files, a)
		}
	}
	if err := set.Parse(words, f.Out); err != nil {
		return nil, err
	}
	if len(o.files) == 0 {
		return nil, &deps.UsageError{Usage: usage, Problem: "no log file is named"}
	}
	return o, nil
}

// line is one log line.
type line struct {
	at       time.Time
	instance string
	message  string
	fields   map[string]any
	text     string
}

// field returns a field as text, empty when it is missing.
func (l *line) field(name string) string {
	if v, ok := l.fields[name]; ok {
		return fmt.Sprint(v)
	}
	return ""
}

// Run prints the story of the request.
func Run(o *Options) error {
	var all []line
	for _, file := range o.files {
		lines, err := read(file)
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	story := Select(all, o.request)
	if len(story) == 0 {
		return eris.Errorf("no line names the request %s; name the logs of all routers of its zone", o.request)
	}
	for _, l := range story {
		if o.json {
			fmt.Fprintln(o.out, l.text)
			continue
		}
		mark := " "
		if l.field("request") == o.request {
			mark = "*"
		}
		fmt.Fprintf(o.out, "%s %s %-20s %-14s %s\n", mark, l.at.Format("15:04:05.000"), l.instance, l.message, l.rest())
	}
	return nil
}

// rest returns the fields of a line that have no column of their own.
func (l *line) rest() string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		if strings.HasPrefix(name, "@") || name == "instance" || name == "request" {
			continue
		}
		out = append(out, name+"="+l.field(name))
	}
	return strings.Join(out, " ")
}

func read(file string) ([]line, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, eris.Wrap(err, "log can't be read; name a readable file")
	}
	defer func() { _ = f.Close() }() // it was only read
	var out []line
	scan := bufio.NewScanner(f)
	scan.Buffer(nil, longestLine)
	for scan.Scan() {
		if l, ok := parse(scan.Bytes()); ok {
			out = append(out, l)
		}
	}
	return out, eris.Wrap(scan.Err(), "log can't be read")
}

// parse reads a log line. Other output among the lines is passed over.
func parse(text []byte) (line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return line{}, false
	}
	l := line{text: string(text[start:]), fields: map[string]any{}}
	numbers := json.NewDecoder(bytes.NewReader(text[start:]))
	numbers.UseNumber()
	if numbers.Decode(&l.fields) != nil {
		return line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, l.field("@timestamp"))
	if err != nil {
		return line{}, false
	}
	l.at, l.message, l.instance = at, l.field("@message"), l.field("instance")
	return l, true
}

// Select returns the lines about a request and about the beliefs that it
// depended on, in order of time.
func Select(all []line, request string) []line {
	var first, last time.Time
	instances, servers := map[string]bool{}, map[string]bool{}
	for _, l := range all {
		if l.field("request") != request {
			continue
		}
		begun := l.at
		if number, ok := l.fields["took"].(json.Number); ok {
			took, _ := number.Float64() // zero when it is no number
			begun = l.at.Add(-time.Duration(took * float64(time.Millisecond)))
		}
		if first.IsZero() || begun.Before(first) {
			first = begun
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
		if l.at.Before(first.Add(-before)) || l.at.After(last.Add(after)) || !instances[l.instance] {
			return true
		}
		return l.field("server") != "" && !servers[l.field("server")]
	})
	slices.SortStableFunc(out, func(a, b line) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.instance, b.instance))
	})
	return out
}
