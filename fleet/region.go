package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/bundle"
	"github.com/havenrudder/havenrudder/upstream"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	awayBoxes  = 2               // boxes of one other region that are tried
	summaryAge = 5 * time.Second // an older summary says nothing
	invites    = 0.7             // load of a region up to which it takes others' requests
)

// Summary is what a region tells of itself.
type Summary struct {
	Load float64 // requests there over slots
	At   time.Duration
}

// Summarize returns the summary of this box's own region.
func (f *Fleet) Summarize(now time.Duration) Summary {
	s := Summary{
		At: now,
	}
	load := 0
	slots := 0
	for _, name := range f.inventory.Names(func(r *upstream.Replica) bool { return !r.Leaving && !r.Out(now) }) {
		r := f.inventory.Get(name)
		slots += r.Slots
		load += r.Load(now)
	}
	s.Load = 1 // nothing there invites nobody
	if slots > 0 {
		s.Load = float64(load) / float64(slots)
	}
	return s
}

// TakeSummary takes the summary of another region in.
func (f *Fleet) TakeSummary(region string, s Summary) { f.regions[region] = s }

// Away returns boxes of other regions that data of org may enter for a service,
// the least loaded region first. A region that told of late that it is loaded or
// has nothing is left out; one that told nothing comes last, and refuses for
// itself when it can't take the request.
func (f *Fleet) Away(policy *bundle.Policy, org wire.Organisation, service wire.Service, homeOnly bool, now time.Duration) []Box {
	var regions []string
	for _, region := range org.Regions {
		if region != f.region && policy.Allowed(org, service, region, homeOnly) && f.inviting(region, now) {
			regions = append(regions, region)
		}
	}
	slices.SortStableFunc(regions, func(a, b string) int {
		return cmp.Compare(f.expectedLoad(a, now), f.expectedLoad(b, now))
	})
	var out []Box
	for _, region := range regions {
		boxes := f.RegionBoxes(region, org.Name)
		out = append(out, boxes[:min(awayBoxes, len(boxes))]...)
	}
	return out
}

func (f *Fleet) recent(region string, now time.Duration) (Summary, bool) {
	s, ok := f.regions[region]
	return s, ok && now-s.At <= summaryAge
}

func (f *Fleet) inviting(region string, now time.Duration) bool {
	s, ok := f.recent(region, now)
	return !ok || s.Load < invites
}

func (f *Fleet) expectedLoad(region string, now time.Duration) float64 {
	s, ok := f.recent(region, now)
	if !ok {
		return invites
	}
	return s.Load
}
