// Package tabler holds the tables that queries answer, and filters, orders and prints them.
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

// Table is the answer to a query.
type Table struct {
	Columns []string   `json:"columns" cbor:"columns"`
	Rows    [][]string `json:"rows" cbor:"rows"`
	// Missing says which parts of the cell are not in the rows, and why.
	Missing []string `json:"missing,omitempty" cbor:"missing,omitempty"`
	// Notes are lines for the operator beside the rows.
	Notes []string `json:"notes,omitempty" cbor:"notes,omitempty"`
}

// Operator compares a column with a value.
type Operator string

// The operators of conditions.
const (
	Contains Operator = "~"
	Equal    Operator = "="
	Greater  Operator = ">"
	Less     Operator = "<"
	NotEqual Operator = "!="
	AtLeast  Operator = ">="
	AtMost   Operator = "<="
)

// Formats of printed tables.
const (
	FormatJSON  = "json"
	FormatTable = "table"
)

// Add adds a row.
func (t *Table) Add(values ...string) {
	t.Rows = append(t.Rows, values)
}

// Append adds the rows of another table with the same columns.
func (t *Table) Append(o Table) {
	if len(t.Columns) == 0 {
		t.Columns = o.Columns
	}
	t.Rows = append(t.Rows, o.Rows...)
	t.Missing = append(t.Missing, o.Missing...)
	t.Notes = append(t.Notes, o.Notes...)
}

func (t *Table) column(name string) (int, error) {
	i := slices.Index(t.Columns, name)
	if i < 0 {
		return 0, errors.Newf("column %q is unknown, want one of %s%s",
			name, strings.Join(t.Columns, ", "), sorter.Suggest(name, t.Columns))
	}
	return i, nil
}

// Where keeps the rows for which a condition holds. Values that are numbers, or lengths of
// time, on both sides compare as such.
func (t *Table) Where(name string, operator Operator, value string) error {
	i, err := t.column(name)
	if err != nil {
		return errors.Errorf("filter rows: %w", err)
	}
	t.Rows = slices.DeleteFunc(t.Rows, func(row []string) bool {
		return !holds(row[i], operator, value)
	})
	return nil
}

func holds(have string, operator Operator, want string) bool {
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

func compare(a, b string) int {
	left, leftErr := strconv.ParseFloat(a, 64)
	right, rightErr := strconv.ParseFloat(b, 64)
	if leftErr == nil && rightErr == nil {
		return cmp.Compare(left, right)
	}
	shorter, shorterErr := time.ParseDuration(a)
	longer, longerErr := time.ParseDuration(b)
	if shorterErr == nil && longerErr == nil {
		return cmp.Compare(shorter, longer)
	}
	return cmp.Compare(a, b)
}

// OrderBy sorts the rows by a column.
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

// Limit keeps the first n rows and notes how many there were.
func (t *Table) Limit(n int) {
	if len(t.Rows) <= n {
		return
	}
	t.Notes = append(t.Notes, strconv.Itoa(len(t.Rows)-n)+" more rows are not shown")
	t.Rows = t.Rows[:n]
}

// Print writes the table.
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

func (t *Table) printNotes(w io.Writer) error {
	for _, note := range t.Notes {
		if _, err := io.WriteString(w, "("+note+")\n"); err != nil {
			return errors.Errorf("write note: %w", err)
		}
	}
	for _, missing := range t.Missing {
		if _, err := io.WriteString(w, "MISSING: "+missing+"\n"); err != nil {
			return errors.Errorf("write what is missing: %w", err)
		}
	}
	return nil
}
