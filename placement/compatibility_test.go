package placement

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against changes of the hash by which boxes of two builds refer to prompt segments.
func TestKeysOfSegmentsAreThoseOfAnEarlierBuild(t *testing.T) {
	is := is.New(t)
	for part, want := range map[string]SegmentKey{
		"":                 0x811c9dc5,
		"system-prompt-17": 0x5c71b088,
	} {
		is.Equal(SegmentKeyOf(part), want)
	}
}
