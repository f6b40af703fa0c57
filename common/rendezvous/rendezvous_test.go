package rendezvous

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/havenrudder/havenrudder/internal/fixed"
)

func ExampleTop() {
	fmt.Println(len(Top("key", []string{"a", "b", "c"}, 2)))
	// Output: 2
}

func TestOneNameLessMovesOnlyItsOwnKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		names := rapid.SliceOfNDistinct(rapid.StringN(1, 8, 8), 2, 9, rapid.ID[string]).Draw(t, "names")
		key := rapid.String().Draw(t, "key")
		before := Rank(key, names)
		after := Rank(key, names[1:])
		want := make([]string, 0, len(before))
		for _, name := range before {
			if name != names[0] {
				want = append(want, name)
			}
		}
		is.Equal(after, want) // the order of the others stays
	})
}
