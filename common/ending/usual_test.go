package ending_test

import (
	"fmt"
	"time"

	"github.com/havenrudder/havenrudder/common/ending"
)

func ExampleUsualTimes() {
	var u ending.UsualTimes
	fmt.Println(u.Needed("orders"))
	u.Add("orders", time.Second)
	u.Add("orders", 2*time.Second)
	fmt.Println(u.Needed("orders"))
	// Output:
	// 0s
	// 1.65s
}
