package gossip

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// In a region of more boxes than one datagram has signs of life for, each box took others
// for dead that lived, told that on, and learned of a death after half a minute.
func TestInALargeRegionNoLivingBoxIsTakenForDeadAndADeathIsKnownSoon(t *testing.T) {
	is := is.New(t)
	w := New(Size{
		Boxes:   300,
		Regions: 1,
		Seed:    1,
	})
	w.Run(20 * time.Second)
	wrong := 0
	for range 20 {
		w.Run(sample)
		wrong += w.falseDeaths()
	}
	took := w.death(150)
	t.Logf("%d living taken for dead in 20 looks of 300 boxes, a death is known everywhere after %v", wrong, took)
	is.Equal(wrong, 0)
	is.True(took <= deathKnown)
}

// deathKnown is within what callers may be named a box after its end, 6 s as in a smaller
// region.
const deathKnown = 6 * time.Second
