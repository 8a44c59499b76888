package parser

import (
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/container/sorter"
)

var words = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "String", Pattern: `"(\\"|[^"])*"`},
	{Name: "Operator", Pattern: `!=|<=|>=|[=<>~]`},
	{Name: "Word", Pattern: `-?[A-Za-z0-9_][A-Za-z0-9_.:/%@-]*`},
	{Name: "space", Pattern: `\s+`},
})

var grammar = participle.MustBuild[Statement](
	participle.Lexer(words), participle.Unquote("String"), participle.UseLookahead(2),
)

// Verbs are the first words of statements.
var Verbs = []string{"cancel", "drain", "explain", "quota", "set", "show", "submit", "undrain"}

// Nouns are what can be shown.
var Nouns = []string{
	"audit", "config", "fleet", "hosts", "jobs", "links", "quotas", "requests", "shards",
	"tasks", "why", "workers",
}

var options = []string{
	"accelerators", "class", "cores", "memory", "min_running", "one_shot", "priority",
	"rack", "retries", "run_time", "tasks", "team",
}

var keywords = append(append(append([]string{
	"and", "asc", "batch", "by", "desc", "gang", "host", "if", "limit", "order", "rack",
	"service", "version", "where", "worker",
}, Verbs...), Nouns...), options...)

// Error is a statement that can't be understood.
type Error struct {
	// Text is the statement.
	Text string
	// Column is where the wrong word begins, from 1.
	Column  int
	Problem string
}

// Error prints the statement with a mark under the wrong word.
func (e *Error) Error() string {
	return e.Problem + "\n  " + e.Text + "\n  " + strings.Repeat(" ", max(e.Column-1, 0)) + "^"
}

// Parse reads one statement.
func Parse(text string) (*Statement, error) {
	statement, err := grammar.ParseString("", text)
	if err != nil {
		return nil, explain(text, err)
	}
	if statement.Show != nil && statement.Show.Why == "" {
		if err := checkNoun(text, statement.Show.Noun); err != nil {
			return nil, err
		}
	}
	return statement, nil
}

func checkNoun(text, noun string) error {
	for _, known := range Nouns {
		if noun == known {
			return nil
		}
	}
	return &Error{
		Text: text, Column: strings.Index(text, noun) + 1,
		Problem: "can't show \"" + noun + "\", want one of " + strings.Join(Nouns, ", ") + sorter.Suggest(noun, Nouns),
	}
}

// explain points at the wrong word and offers the nearest right one.
func explain(text string, err error) error {
	var wrong participle.Error
	if !errors.As(err, &wrong) {
		return errors.Errorf("read statement: %w", err)
	}
	column := wrong.Position().Column
	problem := wrong.Message()
	if word := wordAt(text, column); word != "" {
		problem += sorter.Suggest(word, keywords)
	}
	return &Error{Text: text, Column: column, Problem: problem}
}

func wordAt(text string, column int) string {
	if column < 1 || column > len(text) {
		return ""
	}
	word, _, _ := strings.Cut(text[column-1:], " ")
	return word
}
