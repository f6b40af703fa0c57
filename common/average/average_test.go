package average

import (
	"fmt"
	"time"
)

func ExampleDurations() {
	var d Durations
	fmt.Println(d.Of("orders"))
	d.Add("orders", time.Second)
	d.Add("orders", 2*time.Second)
	fmt.Println(d.Of("orders"))
	// Output:
	// 0s
	// 1.1s
}
