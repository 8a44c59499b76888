package parser_test

import (
	"testing"

	"lentilrock.example/internal/query/parser"
)

// FuzzParse guards against statements of operators that end the process.
func FuzzParse(f *testing.F) {
	for _, text := range []string{
		"show jobs where state = running order by age desc limit 3", "cancel jobs where queue = a", "drain worker w-1", "quota a = 100", "show tasks limit 99999999999999999999",
		"show", "\x00", "show jobs where \"", "why job a", "submit batch a team b tasks 9223372036854775807 cores 1e300",
	} {
		f.Add(text)
	}
	f.Fuzz(func(_ *testing.T, text string) {
		if _, err := parser.Parse(text); err != nil {
			_ = err.Error()
		}
	})
}
