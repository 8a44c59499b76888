// Package parser parses the operators' query and command language.
//
// The reference page docs/reference/language.md has an example of each statement.
//
// # Usage
//
//	statement, err := parser.Parse("show jobs where state = waiting limit 20")
//	if err != nil {
//		fmt.Println(err) // marks the position of the error
//	}
package parser

// Statement is one parsed statement. Exactly one of its pointers is set. Explain requests a dry run of a
// change: its effect is shown, but nothing is changed.
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

// Show is a query. Either Why is set, to the ID of a job or task whose state is to be explained, or
// Noun, to the kind of rows to show.
type Show struct {
	Why   string      `parser:"( 'why' @(Word|String)"`
	Noun  string      `parser:"| @Word )"`
	Where []Condition `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	Order *Order      `parser:"( 'order' 'by' @@ )?"`
	Limit *int        `parser:"( 'limit' @Word )?"`
}

// Condition compares the values of a column with a fixed value.
type Condition struct {
	Column   string `parser:"@Word"`
	Operator string `parser:"@Operator"`
	Value    string `parser:"@(Word|String)"`
}

// Order is the column to sort by and the direction.
type Order struct {
	Column     string `parser:"@Word"`
	Descending bool   `parser:"( @'desc' | 'asc' )?"`
}

// Submit submits a job.
type Submit struct {
	Kind    string   `parser:"@('batch'|'gang'|'service')"`
	ID      string   `parser:"@(Word|String)"`
	Options []Option `parser:"@@*"`
}

// Option is one property of a submitted job. OneShot is set for "one_shot", the only option without a
// value.
type Option struct {
	OneShot bool   `parser:"( @'one_shot'"`
	Name    string `parser:"| @('accelerators'|'class'|'cores'|'memory'|'min_running'|'priority'|'rack'|'retries'|'run_time'|'tasks'|'team')"`
	Value   string `parser:"@(Word|String) )"`
}

// Cancel cancels jobs: the one with the given ID, or all that match the conditions.
type Cancel struct {
	Where []Condition `parser:"( 'where' @@ ( 'and' @@ )*"`
	ID    string      `parser:"| 'job'? @(Word|String) )"`
}

// Drain moves work off a worker or rack, or takes a host out of service. In Statement.Undrain it ends
// the drain.
type Drain struct {
	Kind string `parser:"@('host'|'rack'|'worker')"`
	Name string `parser:"@(Word|String)"`
}

// Set changes the value of a configuration key. If Version is set, the change is applied only while the
// key has that version.
type Set struct {
	Key     string `parser:"@Word '='"`
	Value   string `parser:"@(Word|String)"`
	Version *int64 `parser:"( 'if' 'version' @Word )?"`
}

// Quota sets the share of the cell's capacity that is guaranteed to a team, in percent. If Version is
// set, the change is applied only while the quota has that version.
type Quota struct {
	Team    string `parser:"@Word '='"`
	Percent string `parser:"@Word"`
	Version *int64 `parser:"( 'if' 'version' @Word )?"`
}
