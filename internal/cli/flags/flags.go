// Package flags parses the flags of one verb and prints its help.
package flags

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"citronrock.example/citronrock/internal/cli/deps"
)

// ErrHelp reports that help was asked for and printed.
var ErrHelp = errors.New("help was asked for")

// Set holds the flags and positional arguments of a verb.
type Set struct {
	usage  string
	text   string
	parser *flaggy.Parser
	lines  []string
	takes  map[string]bool // flag name to whether a value follows
	places int
	needed int
}

// New returns a set. Usage is the usage line, text the help: a sentence, a
// paragraph and examples.
func New(usage, text string) *Set {
	p := flaggy.NewParser("citronrock")
	p.ShowHelpOnUnexpected = false
	p.ShowHelpWithHFlag = false
	p.ShowVersionWithVersionFlag = false
	p.ShowCompletion = false
	return &Set{usage: usage, text: text, parser: p, takes: map[string]bool{}}
}

func (s *Set) add(name, value, help string) {
	s.takes[name] = value != ""
	s.lines = append(s.lines, fmt.Sprintf("  --%-18s %s", strings.TrimSpace(name+" "+value), help))
}

// String adds a flag that takes a text.
func (s *Set) String(v *string, name, value, help string) {
	s.parser.String(v, "", name, help)
	s.add(name, value, help)
}

// Bool adds a flag without a value.
func (s *Set) Bool(v *bool, name, help string) {
	s.parser.Bool(v, "", name, help)
	s.add(name, "", help)
}

// Int adds a flag that takes a number.
func (s *Set) Int(v *int, name, value, help string) {
	s.parser.Int(v, "", name, help)
	s.add(name, value, help)
}

// Float adds a flag that takes a number with a fraction.
func (s *Set) Float(v *float64, name, value, help string) {
	s.parser.Float64(v, "", name, help)
	s.add(name, value, help)
}

// Duration adds a flag that takes a time such as 15s.
func (s *Set) Duration(v *time.Duration, name, value, help string) {
	s.parser.Duration(v, "", name, help)
	s.add(name, value, help)
}

// Positional adds an argument without a name.
func (s *Set) Positional(v *string, name string, required bool) {
	s.places++
	if required {
		s.needed++
	}
	s.parser.AddPositionalValue(v, name, s.places, false, "")
}

// Parse parses args. It prints help to out and returns ErrHelp when asked for.
func (s *Set) Parse(args []string, out io.Writer) error {
	count := 0
	for i := 0; i < len(args); i++ {
		a := args[i]
		if a == "-h" || a == "--help" {
			s.help(out)
			return ErrHelp
		}
		if !strings.HasPrefix(a, "-") || a == "-" {
			count++
			continue
		}
		name, _, assigned := strings.Cut(strings.TrimLeft(a, "-"), "=")
		value, known := s.takes[name]
		if !known {
			return s.wrong(fmt.Sprintf("unknown flag %q%s", a, s.suggest(name)))
		}
		if value && !assigned {
			i++
			if i == len(args) {
				return s.wrong(fmt.Sprintf("flag --%s needs a value", name))
			}
		}
	}
	if count < s.needed || count > s.places {
		return s.wrong(fmt.Sprintf("%d arguments given, %d to %d expected", count, s.needed, s.places))
	}
	if err := s.parser.ParseArgs(args); err != nil {
		return s.wrong(err.Error())
	}
	return nil
}

func (s *Set) wrong(what string) error {
	return &deps.UsageError{Usage: s.usage, Problem: what}
}

func (s *Set) suggest(name string) string {
	names := make([]string, 0, len(s.takes))
	for n := range s.takes {
		names = append(names, n)
	}
	if near := Nearest(name, names); near != "" {
		return "; did you mean --" + near + "?"
	}
	return ""
}

func (s *Set) help(out io.Writer) {
	fmt.Fprintf(out, "%s\n\nusage: %s\n", strings.TrimSpace(s.text), s.usage)
	if len(s.lines) > 0 {
		fmt.Fprintf(out, "\nflags:\n%s\n", strings.Join(s.lines, "\n"))
	}
}

// Nearest returns the name with the fewest changed letters, or "" when none is
// within two.
func Nearest(word string, names []string) string {
	best, least := "", 3
	for _, n := range names {
		if d := distance(word, n); d < least || d == least && n < best {
			best, least = n, d
		}
	}
	if least > 2 {
		return ""
	}
	return best
}

// distance is the Levenshtein distance.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			next := min(row[j]+1, row[j-1]+1, diagonal+cost)
			diagonal, row[j] = row[j], next
		}
	}
	return row[len(b)]
}
