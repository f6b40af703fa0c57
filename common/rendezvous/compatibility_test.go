package rendezvous

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against changes of the ranking on which boxes of two builds have to agree.
func TestWeightsAreThoseOfAnEarlierBuild(t *testing.T) {
	is := is.New(t)
	is.Equal(Score("chat", "north-1"), uint64(0x80845c0212ba43de))
	is.Equal(Score("", ""), uint64(0xe934a84adb052768))
	is.Equal(Rank("chat", []string{"north-1", "north-2", "south-1", "south-2"}), []string{"south-2", "north-2", "north-1", "south-1"})
}
