// Package parser reads the operators' query and command language.
//
// The reference page docs/reference/language.md has an example of each statement.
//
// # Usage
//
//	statement, err := parser.Parse("show jobs where state = waiting limit 20")
//	if err != nil {
//		fmt.Println(err) // points at the word that is wrong
//	}
package parser

// Statement is one command; exactly one of its fields but Explain is set.
type Statement struct {
	Explain bool    `parser:"@'explain'?"`
	Show    *Show   `parser:"( 'show' @@"`
	Submit  *Submit `parser:"| 'submit' @@"`
	Cancel  *Cancel `parser:"| 'cancel' @@"`
	Drain   *Drain  `parser:"| 'drain' @@"`
	Undrain *Drain  `parser:"| 'undrain' @@"`
	Set     *Set    `parser:"| 'set' @@"`
	Quota   *Quota  `parser:"| 'quota' @@ )"`
}

// Show is a query.
type Show struct {
	Why   string      `parser:"( 'why' @(Word|String)"`
	Noun  string      `parser:"| @Word )"`
	Where []Condition `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	Order *Order      `parser:"( 'order' 'by' @@ )?"`
	Limit *int        `parser:"( 'limit' @Word )?"`
}

// Condition compares a column with a value.
type Condition struct {
	Column   string `parser:"@Word"`
	Operator string `parser:"@Operator"`
	Value    string `parser:"@(Word|String)"`
}

// Order sorts rows by a column.
type Order struct {
	Column     string `parser:"@Word"`
	Descending bool   `parser:"( @'desc' | 'asc' )?"`
}

// Submit hands in a job.
type Submit struct {
	Kind    string   `parser:"@('batch'|'gang'|'service')"`
	ID      string   `parser:"@(Word|String)"`
	Options []Option `parser:"@@*"`
}

// Option is one setting of a job.
type Option struct {
	OneShot bool   `parser:"( @'one_shot'"`
	Name    string `parser:"| @('accelerators'|'class'|'cores'|'memory'|'min_running'|'priority'|'rack'|'retries'|'run_time'|'tasks'|'team')"`
	Value   string `parser:"@(Word|String) )"`
}

// Cancel ends jobs: one by name, or all for which the conditions hold.
type Cancel struct {
	Where []Condition `parser:"( 'where' @@ ( 'and' @@ )*"`
	ID    string      `parser:"| 'job'? @(Word|String) )"`
}

// Drain moves work off a worker or rack, or takes a host out of service.
type Drain struct {
	Kind string `parser:"@('host'|'rack'|'worker')"`
	Name string `parser:"@(Word|String)"`
}

// Set changes a key of the configuration.
type Set struct {
	Key     string `parser:"@Word '='"`
	Value   string `parser:"@(Word|String)"`
	Version *int64 `parser:"( 'if' 'version' @Word )?"`
}

// Quota sets the part of the cell, in percent, that a team may count on.
type Quota struct {
	Team    string `parser:"@Word '='"`
	Percent string `parser:"@Word"`
	Version *int64 `parser:"( 'if' 'version' @Word )?"`
}
