package pacing_test

import (
	"fmt"
	"time"

	"github.com/havenrudder/havenrudder/pacing"
)

// A replica takes one request a second from two boxes together: four in 4 s, two of each box.
func ExampleLimiter() {
	boxes := []string{"north-1", "north-2"}
	sent := 0
	for _, name := range boxes {
		l := pacing.NewLimiter(name)
		l.SetStart(-time.Minute)
		l.SetLimit("replica@1", 1)
		for now := time.Duration(0); now < 4*time.Second; now += 10 * time.Millisecond {
			if _, ok := l.Take("replica@1", boxes, now); ok {
				sent++
				l.MarkArrived("replica@1", now, now)
			}
		}
	}
	fmt.Println(sent)
	// Output: 4
}
