package decay

import (
	"fmt"
	"time"
)

func ExampleCount() {
	var c Count
	c.Add(4, 0, time.Second)
	c.Add(1, time.Second, time.Second)
	fmt.Println(c.At(time.Second, time.Second), c.At(2*time.Second, time.Second))
	// Output: 3 1.5
}
