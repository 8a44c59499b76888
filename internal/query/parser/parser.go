package parser

import (
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/container/sorter"
)

// statementLexer splits statements into quoted strings, comparison operators and words. The rule "space"
// begins with a lower-case letter, which makes participle skip its tokens.
var statementLexer = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "String", Pattern: `"(\\"|[^"])*"`},
	{Name: "Operator", Pattern: `!=|<=|>=|[=<>~]`},
	{Name: "Word", Pattern: `-?[A-Za-z0-9_][A-Za-z0-9_.:/%@-]*`},
	{Name: "space", Pattern: `\s+`},
})

// statementParser parses statements by the grammar in the tags of Statement.
var statementParser = participle.MustBuild[Statement](
	participle.Lexer(statementLexer), participle.Unquote("String"), participle.UseLookahead(2),
)

// Verbs are the words that a statement can begin with.
var Verbs = []string{"cancel", "drain", "explain", "quota", "set", "show", "submit", "undrain"}

// Nouns are the words that can follow "show".
var Nouns = []string{
	"audit", "config", "fleet", "hosts", "jobs", "links", "quotas", "requests", "shards",
	"tasks", "why", "workers", "workspaces",
}

// options are the words that set properties of a submitted job.
var options = []string{
	"accelerators", "class", "cores", "memory", "min_running", "one_shot", "priority",
	"rack", "retries", "run_time", "tasks", "team",
}

// keywords are the words that are suggested in place of a misspelled one.
var keywords = append(append(append([]string{
	"and", "asc", "batch", "by", "desc", "gang", "host", "if", "limit", "order", "rack",
	"service", "version", "where", "worker",
}, Verbs...), Nouns...), options...)

// Error is a syntax error in a statement.
type Error struct {
	// Text is the statement.
	Text string
	// Column is the position in Text at which the error begins, from 1.
	Column int
	// Problem describes the error.
	Problem string
}

// Error returns the problem, followed by the statement with a caret under the position of the error.
func (e *Error) Error() string {
	return e.Problem + "\n  " + e.Text + "\n  " + strings.Repeat(" ", max(e.Column-1, 0)) + "^"
}

// Parse parses one statement. Syntax errors and unknown nouns are returned as *Error.
func Parse(text string) (*Statement, error) {
	statement, err := statementParser.ParseString("", text)
	if err != nil {
		return nil, newSyntaxError(text, err)
	}
	if statement.Show != nil && statement.Show.Why == "" {
		if err := checkNoun(text, statement.Show.Noun); err != nil {
			return nil, err
		}
	}
	return statement, nil
}

// checkNoun returns an error if a noun can't be shown.
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

// newSyntaxError converts an error of the parsing library to an Error. If the rejected word resembles a
// keyword, that keyword is suggested.
func newSyntaxError(text string, err error) error {
	var parseErr participle.Error
	if !errors.As(err, &parseErr) {
		return errors.Errorf("read statement: %w", err)
	}
	column := parseErr.Position().Column
	problem := parseErr.Message()
	if word := wordAt(text, column); word != "" {
		problem += sorter.Suggest(word, keywords)
	}
	return &Error{Text: text, Column: column, Problem: problem}
}

// wordAt returns the word that begins at a column of the text, or "" if the column is outside of it.
func wordAt(text string, column int) string {
	if column < 1 || column > len(text) {
		return ""
	}
	word, _, _ := strings.Cut(text[column-1:], " ")
	return word
}
