// Command lentilrock is a cluster scheduler for mixed workloads: services, batch jobs, gangs and short requests.
package main

import (
	"os"

	"lentilrock.example/internal/cli/commander"
)

func main() {
	os.Exit(commander.Main(os.Args[1:]))
}
