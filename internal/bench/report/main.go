// Command report compares the planner with the baselines and prints the results that
// docs/MEASUREMENTS.md records.
//
// # Usage
//
//	go run ./internal/bench/report --seed 1
package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/alecthomas/kong"

	"lentilrock.example/internal/bench/baseline"
	"lentilrock.example/internal/bench/comparer"
	"lentilrock.example/internal/container/sorter"
	"lentilrock.example/internal/core/planner"
)

type command struct {
	Seed uint64  `default:"1" help:"Seed of the trace."`
	Load float64 `default:"0.9" help:"Load of the trace, as a fraction of the scarcest resource."`
}

// compare simulates the planner and the baselines on the clusters of both users, Svacinka and
// Lakeshore, and prints the results.
func (c command) compare() {
	for _, cluster := range []comparer.Cluster{comparer.Svacinka, comparer.Lakeshore} {
		trace := comparer.Generate(cluster, c.Load, c.Seed)
		fmt.Printf("%s: %d jobs, load %.2f, seed %d\n", cluster.Name, len(trace.Arrivals), c.Load, c.Seed)
		p := planner.New(planner.Options{})
		for _, host := range cluster.Hosts() {
			p.PutWorker(host)
		}
		printResult("planner", comparer.Run(p, trace))
		for _, fit := range []baseline.Fit{baseline.FirstFit, baseline.RandomFit} {
			rng := rand.New(rand.NewPCG(c.Seed, c.Seed))
			name := map[baseline.Fit]string{baseline.FirstFit: "first fit", baseline.RandomFit: "random fit"}[fit]
			printResult(name, comparer.Run(baseline.New(fit, cluster.Hosts(), rng), trace))
		}
	}
}

func printResult(name string, r comparer.Result) {
	fmt.Printf("  %-10s packing %.3f, starts %d, evictions %d, never started %d, %.1f us per start\n", name,
		r.Packing, r.Starts, r.Evictions, r.Unstarted,
		float64(r.ProcessorTime.Microseconds())/float64(max(r.Starts, 1)))
	for _, class := range sorter.Keys(r.Waiting) {
		q := r.Waiting[class]
		fmt.Printf("    %-8s %6d waits: p50 %10s  p99 %10s  longest %10s\n", class, q.Count,
			q.P50.Round(time.Millisecond), q.P99.Round(time.Millisecond), q.Longest.Round(time.Millisecond))
	}
}

func main() {
	var c command
	kong.Parse(&c, kong.Name("report"))
	c.compare()
}
