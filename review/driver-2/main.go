//go:build review2

package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// maxTime bounds a case.
const maxTime = 110 * time.Second

// outcome is the result of a case.
type outcome struct {
	isBroken bool
	text     string
}

// cases has the function of each case. hasTrouble is false if the disruption is to be left out.
var cases = map[string]func(ctx context.Context, r *recorder, hasTrouble bool) (outcome, error){}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver-2 CASE RECORD")
		return exitNotRun
	}
	r, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxTime)
	defer cancel()
	result, err := cases[os.Args[1]](ctx, r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.log("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case result.isBroken:
		r.log("BROKEN: %s", result.text)
		fmt.Println("broken:", result.text)
		return exitBroken
	}
	r.log("HELD: %s", result.text)
	fmt.Println("held:", result.text)
	return exitHeld
}
