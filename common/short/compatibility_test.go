package short

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against changes of the hash by which boxes of two builds refer to names.
func TestShortNamesAreThoseOfAnEarlierBuild(t *testing.T) {
	is := is.New(t)
	is.Equal(Of(""), uint32(0x811c9dc5))
	is.Equal(Of("north-hall-2-front-12"), uint32(0x7bee0377))
}
