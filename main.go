// Command lentilrock is a cluster scheduler for unlike workloads.
package main

import (
	"os"

	"lentilrock.example/internal/cli/commander"
)

func main() {
	os.Exit(commander.Main(os.Args[1:]))
}
