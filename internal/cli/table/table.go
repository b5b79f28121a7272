// Package table prints lists for people and for programs.
package table

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Table is a list with named columns.
type Table struct {
	columns []string
	rows    [][]string
}

// New returns a table with those columns.
func New(columns ...string) *Table { return &Table{columns: columns} }

// Add appends a row of values in the order of the columns.
func (t *Table) Add(values ...any) {
	row := make([]string, len(values))
	for i, v := range values {
		row[i] = clean(fmt.Sprint(v))
	}
	t.rows = append(t.rows, row)
}

// Print writes aligned columns with a heading to a terminal, and lines separated
// by tabs without a heading otherwise.
func (t *Table) Print(out io.Writer, terminal bool) error {
	if !terminal {
		for _, r := range t.rows {
			if _, err := fmt.Fprintln(out, strings.Join(r, "\t")); err != nil {
				return err
			}
		}
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(t.columns, "\t")))
	for _, r := range t.rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return w.Flush()
}

// JSON writes v as indented JSON.
func JSON(out io.Writer, v any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// clean replaces control characters, which could change what a terminal shows.
func clean(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, s)
}
