// Package tabler defines the tables that queries return, and filters, sorts and prints them.
//
// # Usage
//
//	t := tabler.Table{Columns: []string{"job", "state"}}
//	t.Add("menu-17", "running")
//	err := t.Where("state", tabler.Equal, "running")
//	err = t.Print(os.Stdout, tabler.FormatTable)
package tabler

import (
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/container/sorter"
)

// Table is the result of a query.
type Table struct {
	Columns []string   `json:"columns" cbor:"columns"`
	Rows    [][]string `json:"rows" cbor:"rows"`
	// Missing lists the parts of the cell that are not in the rows, with the reason.
	Missing []string `json:"missing,omitempty" cbor:"missing,omitempty"`
	// Notes are remarks for the operator about the rows.
	Notes []string `json:"notes,omitempty" cbor:"notes,omitempty"`
}

// Operator compares a column with a value.
type Operator string

// Operators of conditions. Contains matches substrings.
const (
	Contains Operator = "~"
	Equal    Operator = "="
	Greater  Operator = ">"
	Less     Operator = "<"
	NotEqual Operator = "!="
	AtLeast  Operator = ">="
	AtMost   Operator = "<="
)

// Output formats of Print.
const (
	FormatJSON  = "json"
	FormatTable = "table"
)

// Add adds a row with one value per column.
func (t *Table) Add(values ...string) {
	t.Rows = append(t.Rows, values)
}

// Append adds the rows, missing parts and notes of another table with the same columns. A table without
// columns takes those of the other table.
func (t *Table) Append(o Table) {
	if len(t.Columns) == 0 {
		t.Columns = o.Columns
	}
	t.Rows = append(t.Rows, o.Rows...)
	t.Missing = append(t.Missing, o.Missing...)
	t.Notes = append(t.Notes, o.Notes...)
}

// column returns the index of a column, or an error if there is no such column.
func (t *Table) column(name string) (int, error) {
	i := slices.Index(t.Columns, name)
	if i < 0 {
		return 0, errors.Newf("column %q is unknown, want one of %s%s",
			name, strings.Join(t.Columns, ", "), sorter.Suggest(name, t.Columns))
	}
	return i, nil
}

// Where keeps the rows that match a condition. Two numbers are compared as numbers, two durations (such
// as "1m5s") as durations, and all other values as text. It returns an error if the column is unknown.
func (t *Table) Where(name string, operator Operator, value string) error {
	i, err := t.column(name)
	if err != nil {
		return errors.Errorf("filter rows: %w", err)
	}
	t.Rows = slices.DeleteFunc(t.Rows, func(row []string) bool {
		return !matches(row[i], operator, value)
	})
	return nil
}

// matches reports whether a value of a row meets a condition. Unknown operators match nothing.
func matches(have string, operator Operator, want string) bool {
	order := compare(have, want)
	switch operator {
	case AtLeast:
		return order >= 0
	case AtMost:
		return order <= 0
	case Contains:
		return strings.Contains(have, want)
	case Equal:
		return order == 0
	case Greater:
		return order > 0
	case Less:
		return order < 0
	case NotEqual:
		return order != 0
	}
	return false
}

// compare orders two values: numbers and durations by size, other values as text.
func compare(a, b string) int {
	left, leftErr := strconv.ParseFloat(a, 64)
	right, rightErr := strconv.ParseFloat(b, 64)
	if leftErr == nil && rightErr == nil {
		return cmp.Compare(left, right)
	}
	leftDuration, leftDurationErr := time.ParseDuration(a)
	rightDuration, rightDurationErr := time.ParseDuration(b)
	if leftDurationErr == nil && rightDurationErr == nil {
		return cmp.Compare(leftDuration, rightDuration)
	}
	return cmp.Compare(a, b)
}

// OrderBy sorts the rows by a column, with the comparison of Where; equal rows keep their order. It
// returns an error if the column is unknown.
func (t *Table) OrderBy(name string, descending bool) error {
	i, err := t.column(name)
	if err != nil {
		return errors.Errorf("order rows: %w", err)
	}
	slices.SortStableFunc(t.Rows, func(a, b []string) int {
		order := compare(a[i], b[i])
		if descending {
			return -order
		}
		return order
	})
	return nil
}

// Limit keeps the first n rows and adds a note with the number of rows that were removed.
func (t *Table) Limit(n int) {
	if len(t.Rows) <= n {
		return
	}
	t.Notes = append(t.Notes, strconv.Itoa(len(t.Rows)-n)+" more rows are not shown")
	t.Rows = t.Rows[:n]
}

// Print writes the table in the given format, text for all but FormatJSON. Text ends with the notes in
// parentheses and the missing parts after "MISSING:". It returns write errors.
func (t *Table) Print(w io.Writer, format string) error {
	if format == FormatJSON {
		return errors.Wrap(json.NewEncoder(w).Encode(t), "write table as JSON")
	}
	writer := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	lines := make([]string, 0, len(t.Rows)+1)
	if len(t.Columns) > 0 {
		lines = append(lines, strings.ToUpper(strings.Join(t.Columns, "\t")))
	}
	for _, row := range t.Rows {
		lines = append(lines, strings.Join(row, "\t"))
	}
	for _, line := range lines {
		if _, err := io.WriteString(writer, line+"\n"); err != nil {
			return errors.Errorf("write table: %w", err)
		}
	}
	if err := writer.Flush(); err != nil {
		return errors.Errorf("write table: %w", err)
	}
	return t.printNotes(w)
}

// printNotes writes the notes and the missing parts, one per line.
func (t *Table) printNotes(w io.Writer) error {
	for _, note := range t.Notes {
		if _, err := io.WriteString(w, "("+note+")\n"); err != nil {
			return errors.Errorf("write note: %w", err)
		}
	}
	for _, missing := range t.Missing {
		if _, err := io.WriteString(w, "MISSING: "+missing+"\n"); err != nil {
			return errors.Errorf("write missing part: %w", err)
		}
	}
	return nil
}
