package decay

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/havenrudder/havenrudder/internal/fixed"
)

func ExampleLeft() {
	fmt.Println(Left(0, time.Second), Left(time.Second, time.Second), Left(time.Hour, time.Second))
	// Output: 1 0.5 0
}

func TestTheTableIsNearThePower(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		age := time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "age"))
		half := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(time.Minute)).Draw(t, "half life"))
		exact := math.Exp2(-float64(age) / float64(half))
		if math.Abs(Left(age, half)-exact) > 1e-4 {
			t.Fatalf("%g, exactly %g", Left(age, half), exact)
		}
	})
}
