package node

import (
	"testing"
	"time"
)

// Guards against an overloaded cold replica when all boxes start before their seeds: with an incomplete
// roster, each box must still compute its share of the rate limit from the size of the region.
func TestBoxesThatAllStartBeforeTheirSeedsKeepThePaceOfAColdReplica(t *testing.T) {
	in := newInstallation(1, 3, 21)
	in.startAll(400*time.Millisecond, 700*time.Millisecond)
	in.run(10 * time.Second)
	in.checkColdRate(t)
}

// Guards against too many retries while rosters are incomplete.
func TestBoxesThatAllStartBeforeTheirSeedsKeepTheBudgetOfRepeats(t *testing.T) {
	in := newInstallation(1, 3, 21)
	in.retrying = true
	in.startAll(400*time.Millisecond, 6*time.Second)
	in.run(15 * time.Second)
	n := in.maxRetries()
	t.Logf("%d retries within %v", n, retryWindow)
	if n > retryExtra {
		t.Fatalf("%d retries within %v, %d are allowed", n, retryWindow, retryExtra)
	}
}

// Guards against a retry budget that is exceeded, or left mostly unused, while active boxes change, are
// isolated or restart.
func TestTheBudgetOfRepeatsIsKeptAndUsedByTheBoxesThatTakeCallers(t *testing.T) {
	t.Parallel()
	const extra = 640
	in := newInstallation(1, 3, 36)
	in.retrying = true
	in.extra = extra
	in.startAll(400*time.Millisecond, 300*time.Millisecond)
	in.run(16 * time.Second)
	calm := in.maxRetries()
	t.Logf("%d retries within %v without disruptions", calm, retryWindow)
	if calm < extra/4 || calm > extra {
		t.Errorf("%d retries within %v, %d are allowed and a quarter is of use", calm, retryWindow, extra)
	}
	for i, m := range in.machines {
		if i%3 == 0 {
			in.restart(m, in.upTo(2*time.Second))
		}
	}
	in.run(4 * time.Second)
	alone := func(m *machine) bool { return m.name[len(m.name)-1] == '4' }
	in.cut = func(from, to *machine) bool {
		return alone(from) || alone(to) || (from.region == "region-1") != (to.region == "region-1")
	}
	in.run(12 * time.Second)
	in.cut = func(*machine, *machine) bool { return false }
	for _, m := range in.machines {
		in.restart(m, in.upTo(time.Second))
	}
	in.run(12 * time.Second)
	if n := in.maxRetries(); n > extra {
		t.Errorf("%d retries within %v, %d are allowed", n, retryWindow, extra)
	}
}

// startAll starts all boxes within a time, the seeds later than the others by seedsLater.
func (in *installation) startAll(within, seedsLater time.Duration) {
	seeds := make(map[string]bool)
	for _, addr := range in.seeds {
		seeds[addr] = true
	}
	for _, m := range in.machines {
		at := in.upTo(within)
		if seeds[m.addr] {
			at += seedsLater
		}
		in.after(at, func() { in.start(m) })
	}
}
