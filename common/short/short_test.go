package short

import "fmt"

func ExampleOf() {
	fmt.Println(Of("replica-1") == Of("replica-1"), Of("replica-1") == Of("replica-2"))
	// Output: true false
}
