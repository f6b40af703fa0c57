package virtual

import (
	"fmt"
	"time"
)

func ExampleClock() {
	var c Clock
	c.After(2*time.Second, func() { fmt.Println("second", c.Now()) })
	c.After(time.Second, func() { fmt.Println("first", c.Now()) })
	c.RunUntil(time.Minute)
	fmt.Println(c.Now())
	// Output:
	// first 1s
	// second 2s
	// 1m0s
}
