package tabler

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// sampleTable has a numeric, a text and a duration column, whose orders differ.
func sampleTable() Table {
	t := Table{Columns: []string{"job", "tasks", "age"}}
	t.Add("a", "9", "1m5s")
	t.Add("b", "10", "59s")
	t.Add("c", "2", "900ms")
	return t
}

// firstColumn returns the values of the first column.
func firstColumn(t Table) []string {
	var values []string
	for _, row := range t.Rows {
		values = append(values, row[0])
	}
	return values
}

// Guards against sorting numbers and durations as text, which would put "10" before "9".
func TestOrderByComparesNumbersAndDurationsByValue(t *testing.T) {
	tests := []struct {
		column     string
		descending bool
		want       []string
	}{
		{"age", false, []string{"c", "b", "a"}},
		{"job", true, []string{"c", "b", "a"}},
		{"tasks", false, []string{"c", "a", "b"}},
	}
	for _, test := range tests {
		t.Run(test.column, func(t *testing.T) {
			table := sampleTable()
			require.NoError(t, table.OrderBy(test.column, test.descending))
			require.Equal(t, test.want, firstColumn(table))
		})
	}
}

// Guards against comparing numbers and durations as text, and checks that an unknown column gives an
// error that suggests the nearest column.
func TestWhereComparesNumbersAndDurationsByValue(t *testing.T) {
	tests := []struct {
		column   string
		operator Operator
		value    string
		want     []string
	}{
		{"age", Greater, "30s", []string{"a", "b"}},
		{"job", Contains, "b", []string{"b"}},
		{"job", NotEqual, "b", []string{"a", "c"}},
		{"tasks", AtLeast, "9", []string{"a", "b"}},
		{"tasks", AtMost, "2", []string{"c"}},
		{"tasks", Less, "10", []string{"a", "c"}},
	}
	for _, test := range tests {
		t.Run(test.column+string(test.operator), func(t *testing.T) {
			table := sampleTable()
			require.NoError(t, table.Where(test.column, test.operator, test.value))
			require.Equal(t, test.want, firstColumn(table))
		})
	}
	table := sampleTable()
	require.ErrorContains(t, table.Where("taks", Equal, "1"), "did you mean tasks?")
}

// Guards against incomplete tables that look complete: the output states how many rows the limit
// removed and which parts of the cell are missing.
func TestPrintReportsRemovedRowsAndMissingParts(t *testing.T) {
	table := sampleTable()
	table.Limit(1)
	table.Missing = []string{"data centre b"}
	var out bytes.Buffer
	require.NoError(t, table.Print(&out, FormatTable))
	require.Equal(t, "JOB  TASKS  AGE\na    9      1m5s\n(2 more rows are not shown)\nMISSING: data centre b\n", out.String())
}
