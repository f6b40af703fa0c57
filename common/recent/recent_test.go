package recent

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func ExampleSet() {
	s := NewSet[string](2)
	fmt.Println(s.Add("a"), s.Add("a"))
	s.Add("b")
	s.Add("c")
	fmt.Println(s.Add("a"))
	// Output:
	// false true
	// false
}

func TestASetKnowsExactlyItsLastKeys(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		limit := rapid.IntRange(1, 5).Draw(rt, "limit")
		s := NewSet[int](limit)
		var added []int
		for _, key := range rapid.SliceOfN(rapid.IntRange(0, 6), 0, 40).Draw(rt, "keys") {
			last := added[max(len(added)-limit, 0):]
			is.Equal(s.Add(key), slices.Contains(last, key))
			added = append(added, key)
			is.True(len(s.count) <= limit)
		}
	})
}
