package budgeter_test

import (
	"fmt"
	"testing"
	"time"

	"lentilrock.example/internal/web/budgeter"
)

// BenchmarkOpenWhileFull measures a connection that replaces one of a full pool, each twice as
// long after it came as it has to stay.
func BenchmarkOpenWhileFull(b *testing.B) {
	for _, connections := range []int{500, 5000} {
		b.Run(fmt.Sprint(connections), func(b *testing.B) {
			p := budgeter.New(budgeter.PoolLimits{Connections: connections, Memory: 1 << 40})
			for range connections {
				_, _, _ = p.Open(first, startTime)
			}
			now := startTime.Add(time.Minute)
			for b.Loop() {
				now = now.Add(2 * budgeter.MinStall / time.Duration(connections))
				if _, _, err := p.Open(first, now); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkReserveWhileFull measures memory that a connection takes from one of a full pool, in which half of the clients have stalled.
func BenchmarkReserveWhileFull(b *testing.B) {
	for _, connections := range []int{500, 5000} {
		b.Run(fmt.Sprint(connections), func(b *testing.B) {
			now := startTime.Add(time.Minute)
			for b.Loop() {
				b.StopTimer()
				p := budgeter.New(budgeter.PoolLimits{Connections: connections, Memory: int64(connections) * (budgeter.ConnectionBytes + 1000)})
				for range connections - 1 {
					lease, _, _ := p.Open(first, startTime)
					_, _ = lease.Reserve(1000, startTime)
				}
				lease, _, _ := p.Open(second, now)
				b.StartTimer()
				for range 100 {
					if _, err := lease.Reserve(12_288, now); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}
