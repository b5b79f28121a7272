// Package flags parses the flags and arguments of one command and prints its help.
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

// ErrHelp reports that help was requested and printed. Callers exit with success.
var ErrHelp = errors.New("help requested")

// Set holds the flags and positional arguments of a command.
type Set struct {
	usage       string
	description string
	parser      *flaggy.Parser
	flagLines   []string
	takesValue  map[string]bool // by flag name; false for flags without a value
	maxArgs     int
	minArgs     int
}

// New returns an empty set. usage is the usage line; text is the help, which consists
// of a sentence, a paragraph and examples.
func New(usage, text string) *Set {
	p := flaggy.NewParser("citronrock")
	p.ShowHelpOnUnexpected = false
	p.ShowHelpWithHFlag = false
	p.ShowVersionWithVersionFlag = false
	p.ShowCompletion = false
	return &Set{usage: usage, description: text, parser: p, takesValue: map[string]bool{}}
}

func (s *Set) register(name, value, help string) {
	s.takesValue[name] = value != ""
	s.flagLines = append(s.flagLines, fmt.Sprintf("  --%-18s %s", strings.TrimSpace(name+" "+value), help))
}

// String adds a flag whose value is stored in v. value names the value in the help.
func (s *Set) String(v *string, name, value, help string) {
	s.parser.String(v, "", name, help)
	s.register(name, value, help)
}

// Bool adds a flag without a value, which sets v to true.
func (s *Set) Bool(v *bool, name, help string) {
	s.parser.Bool(v, "", name, help)
	s.register(name, "", help)
}

// Int adds a flag that takes an integer.
func (s *Set) Int(v *int, name, value, help string) {
	s.parser.Int(v, "", name, help)
	s.register(name, value, help)
}

// Float adds a flag that takes a decimal number.
func (s *Set) Float(v *float64, name, value, help string) {
	s.parser.Float64(v, "", name, help)
	s.register(name, value, help)
}

// Duration adds a flag that takes a duration such as 15s.
func (s *Set) Duration(v *time.Duration, name, value, help string) {
	s.parser.Duration(v, "", name, help)
	s.register(name, value, help)
}

// Positional adds the next positional argument. Required ones must be added first.
func (s *Set) Positional(v *string, name string, required bool) {
	s.maxArgs++
	if required {
		s.minArgs++
	}
	s.parser.AddPositionalValue(v, name, s.maxArgs, false, "")
}

// Parse parses args into the variables of the set. For -h or --help it prints the help
// to out and returns ErrHelp; for wrong arguments it returns a *deps.UsageError.
func (s *Set) Parse(args []string, out io.Writer) error {
	count := 0
	for i := 0; i < len(args); i++ {
		arg := args[i]
		if arg == "-h" || arg == "--help" {
			s.help(out)
			return ErrHelp
		}
		if !strings.HasPrefix(arg, "-") || arg == "-" {
			count++
			continue
		}
		name, _, assigned := strings.Cut(strings.TrimLeft(arg, "-"), "=")
		takesValue, known := s.takesValue[name]
		if !known {
			return s.usageError(fmt.Sprintf("unknown flag %q%s", arg, s.suggest(name)))
		}
		if takesValue && !assigned {
			i++
			if i == len(args) {
				return s.usageError(fmt.Sprintf("flag --%s needs a value", name))
			}
		}
	}
	if count < s.minArgs || count > s.maxArgs {
		return s.usageError(fmt.Sprintf("%d arguments given, %d to %d expected", count, s.minArgs, s.maxArgs))
	}
	if err := s.parser.ParseArgs(args); err != nil {
		return s.usageError(err.Error())
	}
	return nil
}

func (s *Set) usageError(problem string) error {
	return &deps.UsageError{Usage: s.usage, Problem: problem}
}

func (s *Set) suggest(name string) string {
	names := make([]string, 0, len(s.takesValue))
	for n := range s.takesValue {
		names = append(names, n)
	}
	if nearest := Nearest(name, names); nearest != "" {
		return "; did you mean --" + nearest + "?"
	}
	return ""
}

func (s *Set) help(out io.Writer) {
	fmt.Fprintf(out, "%s\n\nusage: %s\n", strings.TrimSpace(s.description), s.usage)
	if len(s.flagLines) > 0 {
		fmt.Fprintf(out, "\nflags:\n%s\n", strings.Join(s.flagLines, "\n"))
	}
}

// Nearest returns the name with the smallest Levenshtein distance to word, or "" when
// all are more than two edits away. Of equally close names it returns the first in
// alphabetical order.
func Nearest(word string, names []string) string {
	best, bestDistance := "", 3
	for _, n := range names {
		if d := distance(word, n); d < bestDistance || d == bestDistance && n < best {
			best, bestDistance = n, d
		}
	}
	if bestDistance > 2 {
		return ""
	}
	return best
}

// distance returns the Levenshtein distance, in bytes.
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
