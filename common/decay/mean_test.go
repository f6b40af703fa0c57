package decay

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestAShareOfFailuresFollowsOutcomesAndIsForgotten(t *testing.T) {
	is := is.New(t)
	var f Failures
	is.Equal(f.Share(time.Hour), 0.0)
	f.Add(false, time.Second)
	is.Equal(f.Share(time.Second), 0.0)
	f.Add(true, time.Second)
	is.Equal(f.Share(time.Second), failWeight)
	is.Equal(f.Share(time.Second+failHalf), failWeight/2)
	before := f.Share(time.Second)
	for range 40 {
		f.Add(true, time.Second)
		is.True(f.Share(time.Second) > before)
		before = f.Share(time.Second)
	}
	is.True(before > 0.999 && before <= 1)
	f.Add(false, time.Second)
	is.True(math.Abs(f.Share(time.Second)-before*(1-failWeight)) < 1e-12)
	is.Equal(f.Share(time.Hour), 0.0)
}
