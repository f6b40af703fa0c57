package quota

import (
	"math"
	"sync"
	"time"

	"github.com/havenrudder/havenrudder/common/decay"
)

// RegionShares divides quotas among regions by the demand of their callers. It is safe for
// concurrent use.
type RegionShares struct {
	mu           sync.Mutex
	self         string
	others       []string // regions except this one
	reports      map[string]regionReport
	round        int                           // completed rounds of reports
	agreedShares map[string]map[string]float64 // of the other regions by organisation, from the last round in which all were reachable
}

type regionReport struct {
	requestedAt time.Duration
	receivedAt  time.Duration
	usage       map[string]Usage // by organisation
}

// Share is a region's share of a quota.
type Share struct {
	Of                float64 // fraction of the quota
	OfReachable       float64 // fraction of ReachableFraction
	ReachableFraction float64 // fraction of the quota that the reachable regions divide, including this one
	Reachable         int     // number of other regions that are reachable
	Granted           float64 // units that they granted in the last window
}

// NewRegionShares returns the shares of region self among all, without reports of the others.
func NewRegionShares(self string, regions []string) *RegionShares {
	s := &RegionShares{
		self:         self,
		reports:      make(map[string]regionReport),
		agreedShares: make(map[string]map[string]float64),
	}
	for _, region := range regions {
		if region != self {
			s.others = append(s.others, region)
		}
	}
	return s
}

// Others returns the number of other regions.
func (s *RegionShares) Others() int { return len(s.others) }

// equal returns the share of each region while the demand of all is unknown.
func (s *RegionShares) equal() float64 { return 1 / float64(len(s.others)+1) }

// RecordReport records the usage report of another region or of another allocator of this one. It was
// requested at requestSent and received at now. It takes ownership of the map.
func (s *RegionShares) RecordReport(region string, usage map[string]Usage, requestSent, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports[region] = regionReport{
		requestedAt: requestSent,
		receivedAt:  now,
		usage:       usage,
	}
}

// EndRound records that reports were requested from all other regions.
func (s *RegionShares) EndRound() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.round++
}

// Round returns the number of completed rounds.
func (s *RegionShares) Round() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.round
}

// Of returns the share of this region in a quota, with a demand of own. An unreachable region may be
// partitioned and still admit requests, so it keeps its share of the last round in which all were
// reachable, or an equal one, and at least what it last reported as granted and that may still be in
// the window; the other regions divide the rest.
func (s *RegionShares) Of(organisation string, t Limit, own float64, now time.Duration) Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Share{
		ReachableFraction: 1,
	}
	sum := own
	for _, region := range s.others {
		if !s.reachable(region, now) {
			out.ReachableFraction -= max(s.lastAgreedShare(organisation, region), s.lastGranted(organisation, region, t, now))
			continue
		}
		out.Reachable++
		report := s.reports[region]
		use := report.usage[organisation]
		sum += use.Demand
		out.Granted += use.grantedAfter(now-report.receivedAt, expiryPeriod)
	}
	out.ReachableFraction = max(out.ReachableFraction, 0)
	out.OfReachable = demandShare(own, sum, out.ReachableFraction*t.PerSecond(), out.Reachable+1)
	out.Of = out.ReachableFraction * out.OfReachable
	return out
}

// handover returns the last report of another allocator of this region. Without a recent one it was
// received long ago.
func (s *RegionShares) handover(organisation string, now time.Duration) handover {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.reports[s.self]
	if !ok || now-r.receivedAt > takeoverTimeout {
		return handover{
			receivedAt: math.MinInt64 / 2,
		}
	}
	return handover{
		receivedAt: r.receivedAt,
		usage:      r.usage[organisation],
	}
}

func (s *RegionShares) reachable(region string, now time.Duration) bool {
	report, ok := s.reports[region]
	return ok && now-report.requestedAt <= regionTimeout
}

// demandShare returns the share of a region with the demand own of a total of sum. Unused units,
// at least minEqualFraction of all, are divided equally, so that callers may start in any region;
// the rest is divided in proportion to demand.
func demandShare(own, sum, perSecond float64, regions int) float64 {
	equal := 1 / float64(regions)
	spare := max(minEqualFraction, 1-sum/max(perSecond, 1))
	if sum <= 0 {
		return equal
	}
	return spare*equal + (1-spare)*own/sum
}

// RecordAgreedShares records the shares after a round in which all regions received each
// other's reports; own is the report of this one. All regions compute the same shares, up to
// changes within the round.
func (s *RegionShares) RecordAgreedShares(own map[string]Usage, perSecond func(organisation string) float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sums := make(map[string]float64, len(own))
	for organisation, u := range own {
		sums[organisation] = u.Demand
	}
	for _, region := range s.others {
		for organisation, u := range s.reports[region].usage {
			sums[organisation] += u.Demand
		}
	}
	clear(s.agreedShares)
	for organisation, sum := range sums {
		regionShares := make(map[string]float64, len(s.others))
		for _, region := range s.others {
			regionShares[region] = demandShare(s.reports[region].usage[organisation].Demand, sum, perSecond(organisation), len(s.others)+1)
		}
		s.agreedShares[organisation] = regionShares
	}
}

// lastAgreedShare returns the share that an unreachable region keeps.
func (s *RegionShares) lastAgreedShare(organisation, region string) float64 {
	if share, ok := s.agreedShares[organisation][region]; ok {
		return share
	}
	return s.equal()
}

// lastGranted returns the fraction of a quota that a region reported as granted and that may still be in
// the window.
func (s *RegionShares) lastGranted(organisation, region string, t Limit, now time.Duration) float64 {
	r, ok := s.reports[region]
	if !ok || t.Units <= 0 {
		return 0
	}
	return r.usage[organisation].Granted / t.Units * max(0, 1-(now-r.receivedAt).Seconds()/t.Window.Seconds())
}

func perSecond(n *decay.Count, now time.Duration) float64 {
	return n.At(now, demandHalfLife) * math.Ln2 / demandHalfLife.Seconds()
}
