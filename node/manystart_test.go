package node

import (
	"fmt"
	"testing"
	"time"
)

const (
	startSpread  = time.Second             // from the first start of a box to the last one
	agreementLag = 1500 * time.Millisecond // from the last start until all boxes list each other as alive
	maxWatched   = 50 * time.Second
	watchStep    = 100 * time.Millisecond
)

// Guards against live boxes that others do not list, or learn of late, when all have started at once.
func TestBoxesThatAllStartAtOnceListEachOther(t *testing.T) {
	t.Parallel()
	for _, perRegion := range []int{14, 20} {
		for _, loss := range []float64{0, 0.03} {
			t.Run(fmt.Sprint(3*perRegion, " boxes, loss ", loss), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(3) {
					in := newInstallation(seed, 3, perRegion)
					in.idle = true
					var missing []string // after agreementLag
					in.lossRate = loss
					in.startAll(startSpread, 0)
					in.run(startSpread)
					lag := time.Duration(0)
					for ; len(in.unlisted()) > 0 && lag < maxWatched; lag += watchStep {
						if lag == agreementLag {
							missing = in.unlisted()
						}
						in.run(watchStep)
					}
					if lag > agreementLag {
						t.Errorf("seed %d: %v until all boxes list each other; after %v %v", seed, lag, agreementLag, missing)
					}
				}
			})
		}
	}
}
