package quarantine

// An innocent request came each time with one that ends its replicas, at the same box, and
// was put on the same replica. It had the same three ends, and all boxes turned it away for
// ten minutes, as they did the guilty one. Lines of one box, of one run in ten of the path test:
//
//	"reason":"replica ended under requests","in_flight":2,"upstream":"r-1"
//	"reason":"request quarantined, replicas ended under it","tries":3,"digest":"07e7"
//	"reason":"request quarantined, replicas ended under it","tries":3,"digest":"50fd"
//
// In virtual time the order of ends, answers and datagrams is drawn from the seed.

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// mayHold is for how long an innocent request may be turned away: 2 s that a replica must
// survive it, and 0.6 s for datagrams that are lost twice, 0.25 s for the next round of a
// box and 0.15 s for the ways there and back.
const mayHold = 3 * time.Second

// accompanied returns an installation in which innocent requests come with a poison one.
func accompanied(seed uint64, regions, perRegion, n int) Terms {
	terms := usual(seed)
	terms.Regions = regions
	terms.PerRegion = perRegion
	terms.Beside = n
	terms.Rate = 1
	terms.Loss = 0.02
	return terms
}

func TestAnInnocentRequestThatComesWithAPoisonOneIsNotTurnedAwayForLong(t *testing.T) {
	for _, size := range []struct{ regions, perRegion, seeds int }{{1, 3, 20}, {3, 3, 20}, {6, 10, 5}, {10, 30, 1}} {
		for _, n := range []int{1, 10, 100} {
			t.Run(fmt.Sprint(size.regions*size.perRegion, " boxes, ", n), func(t *testing.T) {
				is := is.New(t)
				for seed := range uint64(size.seeds) {
					row := Measure(accompanied(seed, size.regions, size.perRegion, n))
					is.True(row.MostEnded >= endsThatCount)
					is.True(row.MostEnded <= mayEnd)
					is.True(row.MostLate <= mayBeLate)
					is.True(row.BesideLongMs <= mayHold.Milliseconds())
					is.Equal(row.OthersRefused+row.PopularRefused, 0)
				}
			})
		}
	}
}

func TestAPopularRequestIsServedAmongManyBoxesBesideTenPoisonOnes(t *testing.T) {
	is := is.New(t)
	for seed := *first; seed < *first+*seeds; seed++ {
		row := Measure(manyBoxes(seed))
		t.Logf("seed %d: %+v", seed, row)
		is.Equal(row.PopularRefused, 0)
		is.Equal(row.OthersRefused, 0)
		is.True(row.MostLate <= mayBeLate)
	}
}
