//go:build review

// Command driver plays the cases of the review. It starts the entry hosts as processes of their own, with
// the command of the deploy file, against the project's emulated platform, which runs in this process. It
// sends the requests of clients, brings about the disruption of the case, and judges what clients, workers
// and the machine service have seen.
//
// # Usage
//
//	TROUBLE=0 target/review/driver CASE RECORD
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not be run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRunTime bounds a case.
const maxRunTime = 110 * time.Second

// scenario plays a case in a world. With hasTrouble unset it leaves the disruption out. Breaches of the rule are
// reported with world.breach; an error means that the case could not be run.
type scenario struct {
	prepare func(w *world)
	play    func(w *world, hasTrouble bool) error
}

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(scenarios[os.Args[1]], os.Args[2]))
}

func run(s scenario, recordPath string) int {
	w, err := newWorld(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	played := make(chan error, 1)
	go func() {
		s.prepare(w)
		played <- s.play(w, os.Getenv("TROUBLE") != "0")
	}()
	select {
	case err = <-played:
	case <-time.After(maxRunTime):
		err = fmt.Errorf("the case took longer than %s", maxRunTime)
	case sig := <-signals:
		err = fmt.Errorf("ended by signal %s", sig)
	}
	breaches := w.breaches()
	switch {
	case err != nil:
		w.note("the case could not be run: %v", err)
		fmt.Println("could not be run:", err)
		return 2
	case len(breaches) > 0:
		w.note("RESULT: broken, %d breaches", len(breaches))
		fmt.Println("broken:", breaches[0])
		return 1
	}
	w.note("RESULT: held")
	fmt.Println("held")
	return 0
}
