package tabler

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

func sample() Table {
	t := Table{Columns: []string{"job", "tasks", "age"}}
	t.Add("a", "9", "1m5s")
	t.Add("b", "10", "59s")
	t.Add("c", "2", "900ms")
	return t
}

func names(t Table) []string {
	var list []string
	for _, row := range t.Rows {
		list = append(list, row[0])
	}
	return list
}

func TestOrderBy(t *testing.T) {
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
			table := sample()
			require.NoError(t, table.OrderBy(test.column, test.descending))
			require.Equal(t, test.want, names(table))
		})
	}
}

func TestWhere(t *testing.T) {
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
			table := sample()
			require.NoError(t, table.Where(test.column, test.operator, test.value))
			require.Equal(t, test.want, names(table))
		})
	}
	table := sample()
	require.ErrorContains(t, table.Where("taks", Equal, "1"), "did you mean tasks?")
}

func TestALimitSaysWhatItLeftOut(t *testing.T) {
	table := sample()
	table.Limit(1)
	table.Missing = []string{"data centre b"}
	var out bytes.Buffer
	require.NoError(t, table.Print(&out, FormatTable))
	require.Equal(t, "JOB  TASKS  AGE\na    9      1m5s\n(2 more rows are not shown)\nMISSING: data centre b\n", out.String())
}
