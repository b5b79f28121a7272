// Package table prints tables, aligned for terminals or separated by tabs for other
// programs, and JSON.
package table

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Table holds rows of text under named columns.
type Table struct {
	columns []string
	rows    [][]string
}

// New returns an empty table with those columns.
func New(columns ...string) *Table { return &Table{columns: columns} }

// Add appends a row with one value for each column, in their order. Values are formatted
// as by fmt.Sprint, with control characters replaced by '?'.
func (t *Table) Add(values ...any) {
	row := make([]string, len(values))
	for i, v := range values {
		row[i] = sanitize(fmt.Sprint(v))
	}
	t.rows = append(t.rows, row)
}

// Print writes aligned columns with a heading if out is a terminal, else lines of values
// separated by tabs, without a heading. It returns errors of out.
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

// JSON writes v as indented JSON. It returns errors of encoding and of out.
func JSON(out io.Writer, v any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// sanitize replaces control characters by '?'. Those in names from other programs could
// send escape sequences to the terminal.
func sanitize(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, s)
}
